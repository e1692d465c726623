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
func (a *ActiveVersion) Version() magnolialedge.DocumentVersion {
	return a.version
}

// Advance activates v if its revision is higher than the active one, and
// reports whether it did.
func (a *ActiveVersion) Advance(v magnolialedge.DocumentVersion) bool {
	if v.Revision <= a.version.Revision {
		return false
	}
	a.version = v
	return true
}
