package fleet

import (
	"slices"

	"greengagequay/internal/feed"
)

// maxSuspects is how many of the last reported suspects a control host keeps for
// followers that have not received them yet. A follower that is further behind
// does not receive the older ones.
const maxSuspects = 128

// suspectLog holds the suspects that entry hosts reported, for the other entry
// hosts. It is not safe for concurrent use.
type suspectLog struct {
	revision uint64 // number of suspects reported so far
	recent   []feed.Suspect
}

// add adds suspects that the entry host with the feed address reporter reported.
func (l *suspectLog) add(reporter string, list []feed.Suspect) {
	for _, s := range list {
		s.Reporter = reporter
		l.revision++
		l.recent = append(l.recent, s)
	}
	if extra := len(l.recent) - maxSuspects; extra > 0 {
		l.recent = l.recent[extra:]
	}
}

// since returns the suspects after a revision.
func (l *suspectLog) since(revision uint64) []feed.Suspect {
	fresh := min(int(l.revision-revision), len(l.recent))
	return slices.Clone(l.recent[len(l.recent)-fresh:])
}
