package proc

import (
	"cmp"
	"time"

	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
)

// Owner identifies one attempt of one entry to execute a key. Every attempt has
// a different Owner.
type Owner struct {
	// Peer is the peer address of the entry.
	Peer string `json:"peer"`
	// Generation differs between two starts of an entry.
	Generation int64 `json:"generation"`
	// Seq differs between two attempts of a generation.
	Seq int64 `json:"seq"`
}

// precedes reports whether o keeps a key that both attempts are acquiring. The
// order is total, so that of several attempts exactly one keeps it.
func (o Owner) precedes(other Owner) bool {
	return cmp.Or(cmp.Compare(o.Peer, other.Peer), cmp.Compare(o.Generation, other.Generation), cmp.Compare(o.Seq, other.Seq)) < 0
}

// StoredResponse is a response of an upstream that is kept for repeated
// requests with the same key.
type StoredResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// size returns the approximate memory of the response in bytes.
func (r *StoredResponse) size() int {
	if r == nil {
		return 0
	}
	n := len(r.Body)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// KeyState is the state of a key at one entry.
type KeyState int

const (
	// KeyAcquiring means that the entry is determining whether it may
	// execute the key.
	KeyAcquiring KeyState = iota
	// KeyRunning means that the request may have reached an upstream.
	KeyRunning
	// KeyEnded means that the attempt here has ended. An empty outcome
	// means that the key was not executed here but may have been elsewhere.
	KeyEnded
	// KeyMoved means that the key was granted to another entry. This entry
	// does not execute it unless the other entry grants it back.
	KeyMoved
)

// KeyRecord is the record of one key at one entry.
type KeyRecord struct {
	ID          uuid.UUID             `json:"id"`
	IssuedAt    time.Time             `json:"issued"`
	Fingerprint uint64                `json:"fingerprint"`
	State       KeyState              `json:"state"`
	Outcome     magnolialedge.Outcome `json:"outcome,omitempty"`
	Response    *StoredResponse       `json:"answer,omitempty"`
	// MovedTo is the attempt to which the key was granted, for KeyMoved.
	MovedTo Owner `json:"movedTo"`
	// owner is this entry's latest attempt with the key.
	owner Owner
}

// KeyStep is the next operation for a request with a key.
type KeyStep int

const (
	// KeyAcquire determines with the service's key lookup whether the key
	// may be executed.
	KeyAcquire KeyStep = iota
	// KeyJoin waits for the request that is already processing the key.
	KeyJoin
	// KeyReplay returns the recorded outcome or response of the key.
	KeyReplay
	// KeyFollow queries the entry to which the key was moved, then
	// acquires the key.
	KeyFollow
)

// KeyDecision is the result of KeyTable.Begin.
type KeyDecision struct {
	Step KeyStep
	// Owner identifies the attempt; it is set for KeyAcquire and KeyFollow.
	Owner Owner
	// Record is the record before the step, or the new one for a new key.
	Record KeyRecord
}

// FenceStatus is the state of a key as reported to another entry.
type FenceStatus int

const (
	// FenceUnknown means that the entry cannot determine whether the key
	// was executed.
	FenceUnknown FenceStatus = iota
	// FenceGranted means that the entry has not executed the key and will
	// not.
	FenceGranted
	// FenceRunning means that the key is being executed, or acquired by an
	// attempt that precedes the requester.
	FenceRunning
	// FenceEnded means that the execution has ended.
	FenceEnded
	// FenceMoved means that the key was granted to another entry.
	FenceMoved
)

// FenceRequest asks an entry that may have executed a key to grant it to
// another entry.
type FenceRequest struct {
	Key         call.Key
	Fingerprint uint64
	// Generation is the generation that may have executed the key, or 0 for
	// any.
	Generation int64
	// ToSuccessor means that the receiver is the successor of a stopped
	// entry, whose address another entry may have reused since.
	ToSuccessor bool
	// Requester is the attempt to which the key is granted.
	Requester Owner
}

// FenceReply is the reply to a FenceRequest.
type FenceReply struct {
	Status FenceStatus
	// Outcome and Response are set for FenceEnded.
	Outcome  magnolialedge.Outcome
	Response *StoredResponse
	// MovedTo is set for FenceMoved.
	MovedTo Owner
	// KeyReused reports that the key was used with a different fingerprint.
	KeyReused bool
}
