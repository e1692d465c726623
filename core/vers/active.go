package vers

import (
	"magnolialedge"
)

// ActiveVersion holds the active version of the configuration. Its revision
// only increases.
type ActiveVersion struct {
	version magnolialedge.DocumentVersion
}

// Version returns the active version; its revision is 0 when there is none.
func (h *ActiveVersion) Version() magnolialedge.DocumentVersion {
	return h.version
}

// Advance activates v if its revision is higher than the active one, and
// reports whether it did.
func (h *ActiveVersion) Advance(v magnolialedge.DocumentVersion) bool {
	if v.Revision <= h.version.Revision {
		return false
	}
	h.version = v
	return true
}
