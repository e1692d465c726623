package proc

import (
	"slices"
	"time"

	"magnolialedge"
)

// RoundRobin picks the targets of the document in turn and ignores load,
// latency and failures. It is the baseline for measurements.
type RoundRobin struct {
	targets []magnolialedge.Target
	next    int
}

// NewRoundRobin returns a RoundRobin over targets that starts at index start.
func NewRoundRobin(targets []magnolialedge.Target, start int) *RoundRobin {
	return &RoundRobin{targets: targets, next: start}
}

// Pick implements magnolialedge.Picker.
func (p *RoundRobin) Pick(_ time.Time, req magnolialedge.PickRequest) (magnolialedge.Pick, bool) {
	for range p.targets {
		i := p.next % len(p.targets)
		p.next++
		t := p.targets[i]
		if t.IsDraining() || slices.Contains(req.Exclude, t.Address) {
			continue
		}
		return magnolialedge.Pick{Address: t.Address}, true
	}
	return magnolialedge.Pick{}, false
}

// Done implements magnolialedge.Picker. It does nothing.
func (p *RoundRobin) Done(time.Time, magnolialedge.AttemptResult) {}

// Report implements magnolialedge.Picker. It does nothing.
func (p *RoundRobin) Report(time.Time, string, magnolialedge.LoadReport) {}
