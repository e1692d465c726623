package vers

import (
	"magnolialedge"
)

// Holder holds the version in force and moves only to higher revisions.
type Holder struct {
	version magnolialedge.DocumentVersion
}

// Version returns the version in force; revision 0 stands for none.
func (h *Holder) Version() magnolialedge.DocumentVersion {
	return h.version
}

// Adopt puts v in force if its revision is higher, and reports whether it did.
func (h *Holder) Adopt(v magnolialedge.DocumentVersion) bool {
	if v.Revision <= h.version.Revision {
		return false
	}
	h.version = v
	return true
}
