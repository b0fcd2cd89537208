package fleet

import "greengagequay/internal/feed"

// maxSuspects is how many of the last reported suspects a control host keeps for
// followers that have not received them yet. A follower that is further behind
// does not receive the older ones.
const maxSuspects = 128

// suspectLog holds the suspects that entry hosts reported, for the other entry
// hosts. It is not safe for concurrent use.
type suspectLog struct {
	revision uint64 // number of suspects reported so far
	recent   []reportedSuspect
}

// reportedSuspect is a suspect and the entry host that reported it.
type reportedSuspect struct {
	feed.Suspect
	reporter string // feed address of the entry host
}

// add adds suspects that one entry host reported.
func (l *suspectLog) add(reporter string, list []feed.Suspect) {
	for _, s := range list {
		l.revision++
		l.recent = append(l.recent, reportedSuspect{s, reporter})
	}
	if extra := len(l.recent) - maxSuspects; extra > 0 {
		l.recent = l.recent[extra:]
	}
}

// since returns the suspects after a revision, except those whose reporter is
// exclude.
func (l *suspectLog) since(revision uint64, exclude string) []feed.Suspect {
	fresh := min(int(l.revision-revision), len(l.recent))
	var list []feed.Suspect
	for _, s := range l.recent[len(l.recent)-fresh:] {
		if s.reporter != exclude {
			list = append(list, s.Suspect)
		}
	}
	return list
}
