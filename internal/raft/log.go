package raft

import "sort"

// membershipAt is a membership and the index of the entry or snapshot that set
// it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// entryLog holds the entries after the last compaction.
type entryLog struct {
	baseIndex   uint64 // index of the last compacted entry
	baseTerm    uint64 // term of the entry at baseIndex
	entries     []Entry
	memberships []membershipAt // ascending by index; the last one is in force, committed or not
	stable      uint64         // index of the last entry on disk
	commit      uint64         // index of the last entry known to be committed
	applied     uint64         // index of the last entry that the caller has applied
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It reports false if the entry is
// compacted or beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up-to-date as this one. Only candidates with such a log may be
// elected, so that every leader has all committed entries.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// slice returns the entries in (after, to], limited to maxBytes of data but at
// least one entry.
func (l *entryLog) slice(after, to uint64, maxBytes int) []Entry {
	to = min(to, l.lastIndex())
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

// merge adds entries received from a leader. It truncates the log only from the
// first conflicting entry on: a delayed message must not remove matching
// entries.
func (l *entryLog) merge(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.baseIndex || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
		}
		return l.append(entries[i:]...)
	}
	return nil
}

// truncate removes the entries from index on, together with the memberships
// that they set.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, index-1)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// trailingStart returns the index before the last entries up to index that are at
// most keep and hold at most maxBytes of data.
func (l *entryLog) trailingStart(index, keep uint64, maxBytes int) uint64 {
	start := index
	for start > l.baseIndex && index-start < keep {
		maxBytes -= len(l.entries[start-l.baseIndex-1].Data)
		if maxBytes < 0 {
			break
		}
		start--
	}
	return start
}

// compact drops the entries up to and including index.
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

// reset replaces the log with a snapshot.
func (l *entryLog) reset(s Snapshot) {
	*l = entryLog{
		baseIndex: s.Index, baseTerm: s.Term,
		memberships: []membershipAt{{s.Index, s.Membership}},
		stable:      s.Index, commit: s.Index, applied: s.Index,
	}
}

// membership returns the latest membership, committed or not.
func (l *entryLog) membership() Membership {
	if len(l.memberships) == 0 {
		return Membership{}
	}
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the entry or snapshot that set the
// latest membership, or 0 if there is none.
func (l *entryLog) membershipIndex() uint64 {
	if len(l.memberships) == 0 {
		return 0
	}
	return l.memberships[len(l.memberships)-1].index
}

// membershipAsOf returns the membership that was in force at index.
func (l *entryLog) membershipAsOf(index uint64) Membership {
	i := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index > index })
	if i == 0 {
		return Membership{}
	}
	return l.memberships[i-1].membership
}

// findConflictByTerm returns the index and term of the last entry up to index
// whose term is at most term, or those of the last compacted entry if there is
// none. After a rejected append both sides use it to skip whole terms while they
// search for the last matching entry.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for index = min(index, l.lastIndex()); index > l.baseIndex; index-- {
		if t, _ := l.term(index); t <= term {
			return index, t
		}
	}
	return l.baseIndex, l.baseTerm
}
