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
	// BaseRevision is the revision that the operator saw.
	BaseRevision int64
	Author       string
	Document     magnolialedge.Document
}

// Decision is what becomes of a change.
type Decision int

const (
	// DecisionWrite writes the next version on top of the stored one.
	DecisionWrite Decision = iota
	// DecisionAccepted means that the store holds the change, or held it.
	DecisionAccepted
	// DecisionConflict means that another change came first.
	DecisionConflict
	// DecisionTooOld means that the change is older than the changes that the
	// store names, so that it can't be told whether it was accepted.
	DecisionTooOld
)

// maxRecentChanges is the number of earlier changes that a version names.
const maxRecentChanges = 64

// Decide decides on a change by the stored version.
func Decide(stored magnolialedge.DocumentVersion, c Change) (Decision, int64) {
	i := slices.IndexFunc(stored.Recent, func(r magnolialedge.ChangeRef) bool { return r.ChangeID == c.ID })
	switch {
	case i >= 0:
		return DecisionAccepted, stored.Recent[i].Revision
	case stored.Revision-c.BaseRevision > int64(len(stored.Recent)):
		return DecisionTooOld, stored.Revision
	case stored.Revision != c.BaseRevision:
		return DecisionConflict, stored.Revision
	}
	return DecisionWrite, stored.Revision + 1
}

// NextVersion returns the version that follows stored when c is accepted.
func NextVersion(stored magnolialedge.DocumentVersion, c Change, now time.Time) magnolialedge.DocumentVersion {
	v := magnolialedge.DocumentVersion{
		Revision:   stored.Revision + 1,
		ChangeID:   c.ID,
		Author:     c.Author,
		AcceptedAt: now.UTC(),
		Document:   c.Document,
	}
	v.Recent = append(slices.Clone(stored.Recent), magnolialedge.ChangeRef{Revision: v.Revision, ChangeID: c.ID})
	v.Recent = v.Recent[max(0, len(v.Recent)-maxRecentChanges):]
	return v
}
