package replica

// tail holds the latest entries, within maxTail and maxTailBytes.
type tail struct {
	entries []Entry // oldest first
	bytes   int     // of their data
}

// add adds an entry. If that exceeds a limit, it drops the oldest entries until no more
// than half of each limit is used, so that most calls copy nothing.
func (t *tail) add(e Entry) {
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	if len(t.entries) <= maxTail && t.bytes <= maxTailBytes {
		return
	}
	dropped := 0
	for len(t.entries)-dropped > maxTail/2 || t.bytes > maxTailBytes/2 {
		t.bytes -= len(t.entries[dropped].Data)
		dropped++
	}
	t.entries = append([]Entry(nil), t.entries[dropped:]...) // frees the dropped ones
}

// after returns the entries that follow a revision. It returns false if they are not
// all kept.
func (t *tail) after(revision uint64) ([]Entry, bool) {
	for i, e := range t.entries {
		if e.Revision == revision+1 {
			return append([]Entry(nil), t.entries[i:]...), true
		}
	}
	return nil, false
}
