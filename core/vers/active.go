package vers

import (
	"magnolialedge"
)

// ActiveVersion holds the version in force and moves only to higher revisions.
type ActiveVersion struct {
	version magnolialedge.Version
}

// Version returns the version in force; revision 0 stands for none.
func (h *ActiveVersion) Version() magnolialedge.Version {
	return h.version
}

// Advance puts v in force if its revision is higher, and reports whether it did.
func (h *ActiveVersion) Advance(v magnolialedge.Version) bool {
	if v.Revision <= h.version.Revision {
		return false
	}
	h.version = v
	return true
}
