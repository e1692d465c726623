package proc

import (
	"time"

	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
)

// Owner identifies one try of one entry to run a key. No two tries are equal.
type Owner struct {
	// Peer is the peer address of the entry.
	Peer string `json:"peer"`
	// Generation differs between two starts of an entry.
	Generation int64 `json:"generation"`
	Seq        int64 `json:"seq"`
}

// StoredResponse is an upstream's answer that is kept for callers that ask again.
type StoredResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

func (a *StoredResponse) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for k, vs := range a.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// KeyState is the place of a key in its life at one entry.
type KeyState int

const (
	// KeyAcquiring means that the entry finds out whether it may run the key.
	KeyAcquiring KeyState = iota
	// KeyRunning means that the request may have reached an upstream.
	KeyRunning
	// KeyEnded means that the try here has ended. An empty outcome tells that
	// the key wasn't run here, and may have been elsewhere.
	KeyEnded
	// KeyMoved means that another entry was granted the key. This entry
	// doesn't run it unless the other grants it back.
	KeyMoved
)

// KeyRecord is what an entry remembers of one key.
type KeyRecord struct {
	ID          uuid.UUID             `json:"id"`
	Issued      time.Time             `json:"issued"`
	Fingerprint uint64                `json:"fingerprint"`
	State       KeyState              `json:"state"`
	Outcome     magnolialedge.Outcome `json:"outcome,omitempty"`
	Response    *StoredResponse       `json:"answer,omitempty"`
	MovedTo     Owner                 `json:"movedTo"`
	owner       Owner
}

// KeyStep is what an entry does with a request that carries a key.
type KeyStep int

const (
	// KeyAcquire finds out by the service's finder whether the key may be run.
	KeyAcquire KeyStep = iota
	// KeyJoin waits for the request that has the key already.
	KeyJoin
	// KeyReplay answers with what the key's run gave.
	KeyReplay
	// KeyFollow asks the entry to which the key was moved, then finds.
	KeyFollow
)

// KeyDecision is the answer of KeyTable.Begin.
type KeyDecision struct {
	Step   KeyStep
	Owner  Owner
	Record KeyRecord
}

// FenceStatus is an entry's word on a key that another entry asks for.
type FenceStatus int

const (
	// FenceUnknown means that the entry can't tell whether the key was run.
	FenceUnknown FenceStatus = iota
	// FenceGranted means that the entry hasn't run the key and never will.
	FenceGranted
	// FenceRunning means that the key is being run.
	FenceRunning
	// FenceEnded means that the run has ended.
	FenceEnded
	// FenceMoved means that another entry was granted the key.
	FenceMoved
)

// FenceRequest is the question of one entry to an earlier one.
type FenceRequest struct {
	Key         call.Key
	Fingerprint uint64
	// Generation is the generation asked for, or 0 for any.
	Generation int64
	// ToSuccessor tells that the one asked answers for a stopped entry whose address
	// another one may have taken since.
	ToSuccessor bool
	Requester   Owner
}

// FenceReply is the answer to a FenceRequest.
type FenceReply struct {
	Status   FenceStatus
	Outcome  magnolialedge.Outcome
	Response *StoredResponse
	MovedTo  Owner
	// KeyReused tells that the key is known with another fingerprint.
	KeyReused bool
}
