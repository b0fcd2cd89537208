package fleet

import "greengagequay/internal/feed"

// suspectsKept is how many suspicions a control host holds for followers that
// have not taken them yet. An older one has run out anyway.
const suspectsKept = 128

// suspectLog passes suspicions of entry hosts on to the others. It is not safe
// for concurrent use.
type suspectLog struct {
	revision uint64 // of the last suspicion
	kept     []toldSuspect
}

type toldSuspect struct {
	feed.Suspect
	by string // address of the entry host
}

func (l *suspectLog) add(by string, list []feed.Suspect) {
	for _, s := range list {
		l.revision++
		l.kept = append(l.kept, toldSuspect{s, by})
	}
	if extra := len(l.kept) - suspectsKept; extra > 0 {
		l.kept = l.kept[extra:]
	}
}

// since returns the suspicions after a revision, but the host's own.
func (l *suspectLog) since(revision uint64, but string) []feed.Suspect {
	fresh := min(int(l.revision-revision), len(l.kept))
	var list []feed.Suspect
	for _, s := range l.kept[len(l.kept)-fresh:] {
		if s.by != but {
			list = append(list, s.Suspect)
		}
	}
	return list
}
