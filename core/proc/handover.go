package proc

import (
	"time"

	"magnolialedge"
	"magnolialedge/core/call"
)

// Handover is the key table of a stopping entry, sent to the peer that responds
// to fence requests on its behalf.
type Handover struct {
	// Peer is the peer address of the stopping entry.
	Peer string `json:"peer"`
	// Generations are the generations that the table covers.
	Generations []int64 `json:"generations"`
	// CompleteFrom is the issue time after which the table is complete: every
	// key that was issued later and sent to the stopping entry is in Records.
	CompleteFrom time.Time   `json:"vouchFrom"`
	Records      []KeyRecord `json:"records"`
}

// Export returns the table for a peer. Keys in KeyAcquiring are marked as
// moved, so that they are not executed here afterwards.
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

// Import merges the table of a stopped entry. It returns false and imports
// nothing if the records exceed the capacity.
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

// importRecord merges one record. An existing record is kept unless only the
// imported one states that the key may have been executed.
func (k *KeyTable) importRecord(r KeyRecord) {
	existing, ok := k.records[r.ID]
	if ok && (existing.mayHaveRun() || !r.mayHaveRun()) {
		return
	}
	if !ok {
		existing = k.add(call.Key{ID: r.ID, IssuedAt: r.IssuedAt}, r.Fingerprint)
	}
	existing.State = r.State
	existing.Outcome = r.Outcome
	existing.MovedTo = r.MovedTo
	k.storeResponse(existing, r.Response)
	switch r.State {
	case KeyAcquiring:
		existing.State = KeyEnded
	case KeyRunning:
		existing.State = KeyEnded
		existing.Outcome = magnolialedge.OutcomeUnknown
	}
}
