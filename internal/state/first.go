package state

import "greengagequay/internal/settings"

// FirstSet returns the revision of the first change that set the key at the
// path. It reports false if no change did, or if the history is full and may
// have dropped the first changes.
func (s *State) FirstSet(path, key string) (uint64, bool) {
	if len(s.history) >= maxHistory {
		return 0, false
	}
	for _, c := range s.history {
		for _, op := range c.Ops {
			if op.Action == settings.Set && op.Path == path && op.Key == key {
				return c.Revision, true
			}
		}
	}
	return 0, false
}
