package raft

import "sort"

// membershipAt is a membership and the index from which it holds.
type membershipAt struct {
	index      uint64
	membership Membership
}

// entryLog holds the entries after the last compaction.
type entryLog struct {
	baseIndex   uint64 // last entry that was compacted away
	baseTerm    uint64
	entries     []Entry
	memberships []membershipAt // ascending; the last one holds, committed or not
	stable      uint64         // last entry that is on disk
	commit      uint64
	applied     uint64
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, if it is still known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with the given entry holds at least
// what this one does. Only such a candidate may be elected, so that a leader
// has every committed entry.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// slice returns the entries in (after, to] up to about maxBytes, at least one.
func (l *entryLog) slice(after, to uint64, maxBytes int) []Entry {
	to = min(to, l.last())
	if after >= to {
		return nil
	}
	all := l.entries[after-l.baseIndex : to-l.baseIndex]
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...Entry) error {
	for _, e := range entries {
		if e.Type == EntryMembership {
			m, err := decodeMembership(e.Data)
			if err != nil {
				return err
			}
			l.memberships = append(l.memberships, membershipAt{e.Index, m})
		}
		l.entries = append(l.entries, e)
	}
	return nil
}

// merge adds the entries of a leader. Entries from the first conflict on are
// replaced; entries that match stay, since a late message must not shorten
// the log.
func (l *entryLog) merge(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		return l.append(entries[i:]...)
	}
	return nil
}

// truncate removes the entries from index on. A membership that was not
// committed goes with its entry.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// reset replaces the log by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{
		baseIndex: s.Index, baseTerm: s.Term,
		memberships: []membershipAt{{s.Index, s.Membership}},
		stable:      s.Index, commit: s.Index, applied: s.Index,
	}
}

// membership returns the membership of the latest entry.
func (l *entryLog) membership() Membership {
	if len(l.memberships) == 0 {
		return Membership{}
	}
	return l.memberships[len(l.memberships)-1].membership
}

// membershipFrom returns the index from which the membership holds.
func (l *entryLog) membershipFrom() uint64 {
	if len(l.memberships) == 0 {
		return 0
	}
	return l.memberships[len(l.memberships)-1].index
}

// membershipUpTo returns the membership that held at index.
func (l *entryLog) membershipUpTo(index uint64) Membership {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	if i == 0 {
		return Membership{}
	}
	return l.memberships[i-1].membership
}

// lastNotAfter returns the last entry up to index whose term is at most term.
// Both sides skip whole terms by it when they look for where their logs match.
func (l *entryLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	for index = min(index, l.last()); index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.baseIndex, l.baseTerm
}
