package proc

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
)

// Handover is the key table of an entry that stops, for a peer that will answer
// for it.
type Handover struct {
	Peer         string      `json:"peer"`
	Generations  []int64     `json:"generations"`
	CompleteFrom time.Time   `json:"vouchFrom"`
	Records      []KeyRecord `json:"records"`
}

// Export returns the table for a peer. No key that isn't running yet is run here
// afterwards.
func (k *KeyTable) Export(now time.Time) Handover {
	k.sweep(now)
	h := Handover{Peer: k.cfg.Peer, CompleteFrom: k.completeFrom}
	for g := range k.generations {
		h.Generations = append(h.Generations, g)
	}
	for _, r := range k.records {
		h.Records = append(h.Records, *r)
		if r.State == KeyAcquiring {
			r.State = KeyMoved
		}
	}
	return h
}

// Import takes over the table of an entry that has stopped. It reports false,
// and adopts nothing, when the records don't fit.
func (k *KeyTable) Import(now time.Time, h Handover) bool {
	k.sweep(now)
	if len(k.records)+len(h.Records) > k.cfg.Capacity {
		return false
	}
	for _, r := range h.Records {
		k.importRecord(r)
	}
	for _, g := range h.Generations {
		k.generations[g] = true
	}
	if h.CompleteFrom.After(k.completeFrom) {
		k.completeFrom = h.CompleteFrom
	}
	return true
}

// importRecord merges one record. A record that this entry has already stands,
// unless only the other one says that the key may have been run.
func (k *KeyTable) importRecord(r KeyRecord) {
	have, ok := k.records[r.ID]
	if ok && (have.mayHaveRun() || !r.mayHaveRun()) {
		return
	}
	if !ok {
		have = k.add(call.Key{ID: r.ID, IssuedAt: r.Issued}, r.Fingerprint)
	}
	have.State = r.State
	have.Outcome = r.Outcome
	have.MovedTo = r.MovedTo
	k.storeResponse(have, r.Response)
	switch r.State {
	case KeyAcquiring:
		have.State = KeyEnded
	case KeyRunning:
		have.State = KeyEnded
		have.Outcome = magnolialedge.OutcomeUnknown
	}
}
