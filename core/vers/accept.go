package vers

import (
	"slices"
	"time"

	"magnolialedge"
)

// Change is an operator's whole new document.
type Change struct {
	// ID is chosen by the operator's side and differs for each change.
	ID string
	// Base is the revision that the operator saw.
	Base     int64
	Author   string
	Document magnolialedge.Document
}

// Ruling is what becomes of a change.
type Ruling int

const (
	// RulingWrite writes the next version on top of the stored one.
	RulingWrite Ruling = iota
	// RulingAccepted means that the store holds the change, or held it.
	RulingAccepted
	// RulingConflict means that another change came first.
	RulingConflict
	// RulingTooOld means that the change is older than the changes that the
	// store names, so that it can't be told whether it was accepted.
	RulingTooOld
)

// mostRecent is the number of earlier changes that a version names.
const mostRecent = 64

// Rule decides on a change by the stored version.
func Rule(stored magnolialedge.DocumentVersion, c Change) (Ruling, int64) {
	i := slices.IndexFunc(stored.Recent, func(r magnolialedge.ChangeRef) bool { return r.ChangeID == c.ID })
	switch {
	case i >= 0:
		return RulingAccepted, stored.Recent[i].Revision
	case stored.Revision-c.Base > int64(len(stored.Recent)):
		return RulingTooOld, stored.Revision
	case stored.Revision != c.Base:
		return RulingConflict, stored.Revision
	}
	return RulingWrite, stored.Revision + 1
}

// Next returns the version that follows stored when c is accepted.
func Next(stored magnolialedge.DocumentVersion, c Change, now time.Time) magnolialedge.DocumentVersion {
	v := magnolialedge.DocumentVersion{
		Revision:   stored.Revision + 1,
		ChangeID:   c.ID,
		Author:     c.Author,
		AcceptedAt: now.UTC(),
		Document:   c.Document,
	}
	v.Recent = append(slices.Clone(stored.Recent), magnolialedge.ChangeRef{Revision: v.Revision, ChangeID: c.ID})
	v.Recent = v.Recent[max(0, len(v.Recent)-mostRecent):]
	return v
}
