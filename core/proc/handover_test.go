package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// TestImportedTableCoversStoppedEntry checks that the importing entry responds
// to fence requests for the stopped entry's generation, both for keys in the
// table and for others.
func TestImportedTableCoversStoppedEntry(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	b := NewKeyTable(KeyTableConfig{Peer: "b", Start: start.Add(time.Second)})
	key := newTestKey(now)
	d, err := a.Begin(now, key, 1)
	require.NoError(t, err)
	require.True(t, a.Confirm(key.ID, d.Owner))
	a.End(key.ID, d.Owner, magnolialedge.OutcomeRan, &StoredResponse{Status: 200})
	require.True(t, b.Import(now, a.Export(now)))
	reply := b.Fence(now, FenceRequest{Key: key, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceEnded, reply.Status)
	require.Equal(t, 200, reply.Response.Status)
	unknown := newTestKey(now.Add(time.Second))
	reply = b.Fence(now, FenceRequest{Key: unknown, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceGranted, reply.Status)
}

// TestSuccessorDoesNotGrantKeysOfReusedAddress sends a successor a fence request
// for a key that neither it nor the stopped entry received. A new entry at the
// address of the stopped one may have executed the key.
func TestSuccessorDoesNotGrantKeysOfReusedAddress(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	b := NewKeyTable(KeyTableConfig{Peer: "b", Start: start})
	require.True(t, b.Import(now, a.Export(now)))
	req := FenceRequest{Key: newTestKey(now), Fingerprint: 1, ToSuccessor: true, Requester: Owner{Peer: "c"}}
	require.Equal(t, FenceUnknown, b.Fence(now, req).Status)
	req.Generation = a.Generation()
	require.Equal(t, FenceGranted, b.Fence(now, req).Status)
}

// TestKeyIsNotConfirmedAfterExport covers a forced stop while a request is
// still acquiring its key.
func TestKeyIsNotConfirmedAfterExport(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	a := NewKeyTable(KeyTableConfig{Peer: "a", Start: start})
	key := newTestKey(now)
	d, err := a.Begin(now, key, 1)
	require.NoError(t, err)
	a.Export(now)
	require.False(t, a.Confirm(key.ID, d.Owner))
}

// TestImportedRunOverridesOwnAttempt checks that an execution by the stopped
// entry overrides the successor's own attempt, which did not execute the key.
func TestImportedRunOverridesOwnAttempt(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	key := newTestKey(now)
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
	reply := b.Fence(now, FenceRequest{Key: key, Fingerprint: 1, Generation: a.Generation(), Requester: Owner{Peer: "c"}})
	require.Equal(t, FenceEnded, reply.Status)
}
