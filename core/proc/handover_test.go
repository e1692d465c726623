package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

func TestHandoverAnswersForTheStoppedEntry(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	b := NewKeyTable(KeyTableConfig{Peer: "b", Start: start.Add(time.Second)})
	key := keyAt(now)
	d, err := a.Begin(now, key, 1)
	require.NoError(t, err)
	require.True(t, a.Confirm(key.ID, d.Owner))
	a.End(key.ID, d.Owner, magnolialedge.OutcomeRan, &StoredResponse{Status: 200})
	require.True(t, b.Import(now, a.Export(now)))
	reply := b.AnswerFence(now, FenceRequest{Key: key, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceEnded, reply.Status)
	require.Equal(t, 200, reply.Response.Status)
	unseen := keyAt(now.Add(time.Second))
	reply = b.AnswerFence(now, FenceRequest{Key: unseen, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceGranted, reply.Status)
}

// TestHeirDoesNotVouchForAnAddressThatMayHaveBeenTakenAgain asks an heir about a
// key that neither it nor the stopped entry saw. A new entry at the stopped one's
// address may have run it.
func TestHeirDoesNotVouchForAnAddressThatMayHaveBeenTakenAgain(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	b := NewKeyTable(KeyTableConfig{Peer: "b", Start: start})
	require.True(t, b.Import(now, a.Export(now)))
	ask := FenceRequest{Key: keyAt(now), Fingerprint: 1, ToSuccessor: true, Requester: Owner{Peer: "c"}}
	require.Equal(t, FenceUnknown, b.AnswerFence(now, ask).Status)
	ask.Generation = a.Generation()
	require.Equal(t, FenceGranted, b.AnswerFence(now, ask).Status)
}

// TestKeyIsNotRunAfterItsTableWasHandedOver covers a stop that was forced while
// a request still sought its key.
func TestKeyIsNotRunAfterItsTableWasHandedOver(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	key := keyAt(now)
	d, err := a.Begin(now, key, 1)
	require.NoError(t, err)
	a.Export(now)
	require.False(t, a.Confirm(key.ID, d.Owner))
}

// TestHandoverTellsAnHeirThatTriedTheKeyItself holds that the stopped entry's run
// counts more than the heir's own try.
func TestHandoverTellsAnHeirThatTriedTheKeyItself(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	key := keyAt(now)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	d, err := a.Begin(now, key, 1)
	require.NoError(t, err)
	require.True(t, a.Confirm(key.ID, d.Owner))
	a.End(key.ID, d.Owner, magnolialedge.OutcomeRan, nil)
	b := NewKeyTable(KeyTableConfig{Peer: "b", Start: start})
	d, err = b.Begin(now, key, 1)
	require.NoError(t, err)
	b.EndLookup(key.ID, d.Owner, d.Record, magnolialedge.OutcomeUnknown)
	require.True(t, b.Import(now, a.Export(now)))
	reply := b.AnswerFence(now, FenceRequest{Key: key, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceEnded, reply.Status)
}
