package vers

import (
	"slices"

	"magnolialedge"
)

// Edit is one modification of a draft document. Its kind determines which
// fields are used.
type Edit struct {
	Kind    EditKind
	Service string
	Target  magnolialedge.Target
	Rule    magnolialedge.Rule
	// RetryPercent, HedgePercent, DeadlineMs and KeyLookup are used by
	// EditBudgets.
	RetryPercent float64
	HedgePercent float64
	DeadlineMs   int64
	KeyLookup    magnolialedge.KeyLookup
}

// EditKind selects the operation of an Edit.
type EditKind string

// The kinds of edits.
const (
	EditAddTarget      EditKind = "addTarget"
	EditRemoveTarget   EditKind = "removeTarget"
	EditDrainTarget    EditKind = "drainTarget"
	EditActivateTarget EditKind = "serveTarget"
	EditAddRule        EditKind = "addRule"
	EditRemoveRule     EditKind = "removeRule"
	EditBudgets        EditKind = "budgets"
)

// Apply returns a modified copy of doc. It returns doc unchanged if the service
// or the edited item does not exist.
func (e Edit) Apply(doc magnolialedge.Document) magnolialedge.Document {
	s, ok := doc.Service(e.Service)
	if !ok {
		return doc
	}
	switch e.Kind {
	case EditAddTarget:
		s = s.WithTargets(append(slices.Clone(s.Targets), e.Target))
	case EditRemoveTarget:
		s = s.WithTargets(slices.DeleteFunc(slices.Clone(s.Targets), e.isTarget))
	case EditDrainTarget:
		s = s.WithTargets(e.withState(s.Targets, magnolialedge.TargetDraining))
	case EditActivateTarget:
		s = s.WithTargets(e.withState(s.Targets, ""))
	case EditAddRule:
		s.NonIdempotent = append(slices.Clone(s.NonIdempotent), e.Rule)
	case EditRemoveRule:
		s.NonIdempotent = slices.DeleteFunc(slices.Clone(s.NonIdempotent), func(r magnolialedge.Rule) bool { return r == e.Rule })
	case EditBudgets:
		s.RetryPercent = e.RetryPercent
		s.HedgePercent = e.HedgePercent
		s.DeadlineMs = e.DeadlineMs
		s.KeyLookup = e.KeyLookup
	}
	return doc.WithService(s)
}

func (e Edit) isTarget(t magnolialedge.Target) bool {
	return t.Address == e.Target.Address
}

func (e Edit) withState(targets []magnolialedge.Target, state magnolialedge.TargetState) []magnolialedge.Target {
	out := slices.Clone(targets)
	for i := range out {
		if e.isTarget(out[i]) {
			out[i].State = state
		}
	}
	return out
}
