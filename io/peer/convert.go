package peer

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/call"
	"magnolialedge/core/proc"
	"magnolialedge/io/peer/peerpb"
)

// FenceRequestToProto returns the message for a question about a key.
func FenceRequestToProto(a proc.FenceRequest, wait time.Duration) *peerpb.AskRequest {
	return &peerpb.AskRequest{
		Key:          a.Key.ID[:],
		IssuedUnixMs: a.Key.IssuedAt.UnixMilli(),
		Fingerprint:  a.Fingerprint,
		Generation:   a.Generation,
		Heir:         a.ToSuccessor,
		By:           ownerToWire(a.Requester),
		WaitMs:       wait.Milliseconds(),
	}
}

// FenceRequestFromProto reads a question about a key.
func FenceRequestFromProto(m *peerpb.AskRequest) (proc.FenceRequest, error) {
	id, err := uuid.FromBytes(m.GetKey())
	if err != nil {
		return proc.FenceRequest{}, errors.Wrap(err, "key")
	}
	return proc.FenceRequest{
		Key:         call.Key{ID: id, IssuedAt: time.UnixMilli(m.GetIssuedUnixMs())},
		Fingerprint: m.GetFingerprint(),
		Generation:  m.GetGeneration(),
		ToSuccessor: m.GetHeir(),
		Requester:   ownerFromWire(m.GetBy()),
	}, nil
}

// FenceReplyToProto returns the message for the answer to a question.
func FenceReplyToProto(r proc.FenceReply) (*peerpb.AskReply, error) {
	out := &peerpb.AskReply{
		Status:  int32(r.Status),
		Outcome: string(r.Outcome),
		MovedTo: ownerToWire(r.MovedTo),
		Reused:  r.KeyReused,
	}
	if r.Response == nil {
		return out, nil
	}
	body, err := json.Marshal(r.Response)
	out.Answer = body
	return out, err
}

// FenceReplyFromProto reads the answer to a question.
func FenceReplyFromProto(m *peerpb.AskReply) (proc.FenceReply, error) {
	out := proc.FenceReply{
		Status:    proc.FenceStatus(m.GetStatus()),
		Outcome:   magnolialedge.Outcome(m.GetOutcome()),
		MovedTo:   ownerFromWire(m.GetMovedTo()),
		KeyReused: m.GetReused(),
	}
	if len(m.GetAnswer()) == 0 {
		return out, nil
	}
	out.Response = &proc.StoredResponse{}
	return out, errors.Wrap(json.Unmarshal(m.GetAnswer(), out.Response), "stored answer")
}

func ownerToWire(o proc.Owner) *peerpb.Owner {
	return &peerpb.Owner{Peer: o.Peer, Generation: o.Generation, Seq: o.Seq}
}

func ownerFromWire(m *peerpb.Owner) proc.Owner {
	return proc.Owner{Peer: m.GetPeer(), Generation: m.GetGeneration(), Seq: m.GetSeq()}
}
