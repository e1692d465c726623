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

// FenceRequestToProto encodes a fence request. The peer may delay its reply by up to wait
// while the key's request is running.
func FenceRequestToProto(r proc.FenceRequest, wait time.Duration) *peerpb.AskRequest {
	return &peerpb.AskRequest{
		Key:          r.Key.ID[:],
		IssuedUnixMs: r.Key.IssuedAt.UnixMilli(),
		Fingerprint:  r.Fingerprint,
		Generation:   r.Generation,
		Heir:         r.ToSuccessor,
		By:           ownerToProto(r.Requester),
		WaitMs:       wait.Milliseconds(),
	}
}

// FenceRequestFromProto decodes a fence request. It returns an error if the key is not a
// UUID.
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
		Requester:   ownerFromProto(m.GetBy()),
	}, nil
}

// FenceReplyToProto encodes a fence reply. The stored response is encoded as JSON.
func FenceReplyToProto(r proc.FenceReply) (*peerpb.AskReply, error) {
	out := &peerpb.AskReply{
		Status:  int32(r.Status),
		Outcome: string(r.Outcome),
		MovedTo: ownerToProto(r.MovedTo),
		Reused:  r.KeyReused,
	}
	if r.Response == nil {
		return out, nil
	}
	body, err := json.Marshal(r.Response)
	out.Answer = body
	return out, err
}

// FenceReplyFromProto decodes a fence reply. It returns an error if the stored response is
// malformed.
func FenceReplyFromProto(m *peerpb.AskReply) (proc.FenceReply, error) {
	out := proc.FenceReply{
		Status:    proc.FenceStatus(m.GetStatus()),
		Outcome:   magnolialedge.Outcome(m.GetOutcome()),
		MovedTo:   ownerFromProto(m.GetMovedTo()),
		KeyReused: m.GetReused(),
	}
	if len(m.GetAnswer()) == 0 {
		return out, nil
	}
	out.Response = &proc.StoredResponse{}
	return out, errors.Wrap(json.Unmarshal(m.GetAnswer(), out.Response), "stored answer")
}

func ownerToProto(o proc.Owner) *peerpb.Owner {
	return &peerpb.Owner{Peer: o.Peer, Generation: o.Generation, Seq: o.Seq}
}

func ownerFromProto(m *peerpb.Owner) proc.Owner {
	return proc.Owner{Peer: m.GetPeer(), Generation: m.GetGeneration(), Seq: m.GetSeq()}
}
