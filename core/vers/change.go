package vers

import (
	"slices"
	"time"

	"magnolialedge"
)

// Change is an operator's request to replace the whole document.
type Change struct {
	// ID is chosen by the client and is unique to the change.
	ID string
	// BaseRevision is the revision that the operator edited.
	BaseRevision int64
	Author       string
	Document     magnolialedge.Document
}

// Decision is the result of comparing a change with the stored version.
type Decision int

const (
	// DecisionWrite means that the change is to be written as the next
	// version.
	DecisionWrite Decision = iota
	// DecisionAccepted means that the change has already been accepted: it
	// is the stored version or one of the recent changes before it.
	DecisionAccepted
	// DecisionConflict means that another change was accepted after the
	// base revision.
	DecisionConflict
	// DecisionTooOld means that the base revision is older than the recent
	// changes listed in the stored version, so whether the change was
	// accepted is unknown.
	DecisionTooOld
)

// maxRecentChanges limits the recent changes listed in a version.
const maxRecentChanges = 64

// Decide compares c with the stored version. It also returns the revision that
// c has or would get, or the stored revision for DecisionConflict and
// DecisionTooOld.
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

// NextVersion returns the version that replaces stored when c is accepted at
// now.
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
