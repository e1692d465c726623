package peer

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"magnolialedge/core/call"
	core "magnolialedge/core/proc"
	"magnolialedge/io/peer/peerpb"
)

func TestFenceMessagesRoundTrip(t *testing.T) {
	req := core.FenceRequest{
		Key:         call.Key{ID: uuid.Must(uuid.NewV7()), IssuedAt: time.UnixMilli(1700000000000)},
		Fingerprint: 7,
		Generation:  8,
		Requester:   core.Owner{Peer: "p", Generation: 9, Seq: 10},
	}
	got, err := FenceRequestFromProto(FenceRequestToProto(req, time.Second))
	require.NoError(t, err)
	require.Equal(t, req, got)
	reply := core.FenceReply{Status: core.FenceEnded, Outcome: "ran", Response: &core.StoredResponse{Status: 200, Body: []byte("x")}, MovedTo: req.Requester}
	m, err := FenceReplyToProto(reply)
	require.NoError(t, err)
	gotReply, err := FenceReplyFromProto(m)
	require.NoError(t, err)
	require.Equal(t, reply, gotReply)
}

// FuzzPeerMessages checks that malformed fence messages from a peer cause no panic.
func FuzzPeerMessages(f *testing.F) {
	valid, err := proto.Marshal(FenceRequestToProto(core.FenceRequest{Requester: core.Owner{Peer: "p"}}, time.Second))
	require.NoError(f, err)
	f.Add(valid)
	f.Add([]byte{0x0a, 0x01, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var ask peerpb.AskRequest
		if proto.Unmarshal(data, &ask) == nil {
			_, _ = FenceRequestFromProto(&ask)
		}
		var reply peerpb.AskReply
		if proto.Unmarshal(data, &reply) == nil {
			_, _ = FenceReplyFromProto(&reply)
		}
	})
}
