package vers

import (
	"magnolialedge"
)

// ActiveVersion holds the version in force and moves only to higher revisions.
type ActiveVersion struct {
	version magnolialedge.DocumentVersion
}

// Version returns the version in force; revision 0 stands for none.
func (h *ActiveVersion) Version() magnolialedge.DocumentVersion {
	return h.version
}

// Advance puts v in force if its revision is higher, and reports whether it did.
func (h *ActiveVersion) Advance(v magnolialedge.DocumentVersion) bool {
	if v.Revision <= h.version.Revision {
		return false
	}
	h.version = v
	return true
}
