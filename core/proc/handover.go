package proc

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
)

// Handover is the key table of an entry that stops, for a peer that will answer
// for it.
type Handover struct {
	Peer        string      `json:"peer"`
	Generations []int64     `json:"generations"`
	VouchFrom   time.Time   `json:"vouchFrom"`
	Records     []KeyRecord `json:"records"`
}

// Export returns the table for a peer. No key that isn't running yet is run here
// afterwards.
func (k *Keys) Export(now time.Time) Handover {
	k.sweep(now)
	h := Handover{Peer: k.cfg.Peer, VouchFrom: k.vouchFrom}
	for g := range k.generations {
		h.Generations = append(h.Generations, g)
	}
	for _, r := range k.records {
		h.Records = append(h.Records, *r)
		if r.State == KeyAsking {
			r.State = KeyMoved
		}
	}
	return h
}

// Adopt takes over the table of an entry that has stopped. It reports false,
// and adopts nothing, when the records don't fit.
func (k *Keys) Adopt(now time.Time, h Handover) bool {
	k.sweep(now)
	if len(k.records)+len(h.Records) > k.cfg.Capacity {
		return false
	}
	for _, r := range h.Records {
		k.adoptRecord(r)
	}
	for _, g := range h.Generations {
		k.generations[g] = true
	}
	if h.VouchFrom.After(k.vouchFrom) {
		k.vouchFrom = h.VouchFrom
	}
	return true
}

// adoptRecord merges one record. A record that this entry has already stands,
// unless only the other one says that the key may have been run.
func (k *Keys) adoptRecord(r KeyRecord) {
	have, ok := k.records[r.ID]
	if ok && (have.mayHaveRun() || !r.mayHaveRun()) {
		return
	}
	if !ok {
		have = k.add(call.Key{ID: r.ID, Issued: r.Issued}, r.Fingerprint)
	}
	have.State = r.State
	have.Outcome = r.Outcome
	have.MovedTo = r.MovedTo
	k.keep(have, r.Answer)
	switch r.State {
	case KeyAsking:
		have.State = KeyEnded
	case KeyRunning:
		have.State = KeyEnded
		have.Outcome = magnolialedge.OutcomeUnknown
	}
}
