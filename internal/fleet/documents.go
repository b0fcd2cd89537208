package fleet

import "greengagequay/internal/document"

// maxRecentDocuments is how many versions of the document a control host keeps to
// tell followers what has changed. A follower that is further behind gets the
// whole document.
const maxRecentDocuments = 8

// recentDocuments holds the last versions of the document, oldest first, as
// followers get them. It is not safe for concurrent use.
type recentDocuments []*document.Document

func (r *recentDocuments) add(d *document.Document) {
	*r = append(*r, d)
	if extra := len(*r) - maxRecentDocuments; extra > 0 {
		*r = (*r)[extra:]
	}
}

// next returns what a follower that has the given version needs to get the latest
// one: a delta if the follower applies deltas and the version is still known, else
// the document.
func (r recentDocuments) next(version uint64, deltas bool) (*document.Document, *document.Delta) {
	if len(r) == 0 {
		return nil, nil
	}
	latest := r[len(r)-1]
	for _, d := range r {
		if deltas && d.Version == version {
			return nil, document.Diff(d, latest)
		}
	}
	return latest, nil
}
