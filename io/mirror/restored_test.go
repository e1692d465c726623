package mirror

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// copyState is a state of a fakeStore.
type copyState struct {
	items    map[string]magnolialedge.Item
	history  []magnolialedge.Item
	revision int64
}

func (s *fakeStore) copyState() copyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyState{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// restore begins a new era from a copy.
func (s *fakeStore) restore(c copyState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.era++
}

// Guards against a change that is missed because the restored store has passed the
// revision of the last call again, so that its history seems to be complete.
func TestChangesBelowAReachedRevisionAreNotMissed(t *testing.T) {
	s := newFakeStore()
	copied := s.copyState()
	s.set("a", false)
	s.set("a", false)
	_, k := startFollower(t, s, noSources)
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.restore(copied)
	for _, key := range []string{"b", "c", "d", "e"} {
		s.set(key, false)
	}
	s.setDown(false)
	require.Eventually(t, k.has("b"), waitTimeout, time.Millisecond)
	require.Eventually(t, k.has("e"), waitTimeout, time.Millisecond)
}

// Guards against an entry that rejects the first source that has noticed the
// restoration, or follows one that has not.
func TestSubscriberFollowsItsSourceThroughARestoration(t *testing.T) {
	s := newFakeStore()
	copied := s.copyState()
	for range 5 {
		s.set("a", false)
	}
	source, _ := startFollower(t, s, noSources)
	srv := httptest.NewServer(source)
	t.Cleanup(srv.CloseClientConnections)
	require.Eventually(t, source.hasListed, waitTimeout, time.Millisecond)
	subscriber, k := startFollower(t, newFakeStore(), func() []string { return []string{srv.Listener.Addr().String()} })
	require.Eventually(t, k.has("a"), waitTimeout, time.Millisecond)
	s.restore(copied)
	s.set("b", false)
	require.Eventually(t, k.has("b"), waitTimeout, time.Millisecond)
	require.EqualValues(t, 1, subscriber.Era())
	s.set("c", false)
	require.Eventually(t, k.has("c"), waitTimeout, time.Millisecond)
	require.True(t, k.has("a")(), "what the copy lacks is held")
	require.Eventually(t, k.lacks("a"), 3*time.Second, time.Millisecond)
}

// Guards against replies of the era before that arrive late.
func TestReplyOfAnEarlierEraChangesNothing(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	old := s.copyState()
	f := NewFollower(Config{Store: s, OnChange: ignoreChanges, Sources: noSources, Dialer: httpPeers{}})
	s.era = 2
	require.NoError(t, f.list(context.Background(), false))
	s.era = 1
	s.set("b", false)
	require.Error(t, f.list(context.Background(), false))
	require.Error(t, f.fetchChanges(context.Background()))
	require.Equal(t, magnolialedge.Position{Era: 2, Revision: old.revision}, f.position())
	require.Equal(t, 1, f.Size())
}

// Guards against an entry that loses the store because some of its replies name no era.
func TestReplyWithoutEraCountsAsTheKnownOne(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	f := NewFollower(Config{Store: s, OnChange: ignoreChanges, Sources: noSources, Dialer: httpPeers{}})
	s.era = 2
	require.NoError(t, f.list(context.Background(), false))
	s.era = magnolialedge.UnknownEra
	s.set("b", false)
	require.NoError(t, f.fetchChanges(context.Background()))
	require.NoError(t, f.list(context.Background(), false))
	require.EqualValues(t, 2, f.Era())
	require.Equal(t, 2, f.Size())
}

// Guards against an entry that follows no source of an earlier release, whose messages
// name no era, while a new release is rolled out.
func TestMessageWithoutEraIsAccepted(t *testing.T) {
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"snapshot":true,"items":[{"key":"b","revision":5}],"revision":5,"ageMs":0}`+"\n"+`{"items":[{"key":"c","revision":6}],"revision":6,"ageMs":0}`+"\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(source.CloseClientConnections)
	s := newFakeStore()
	s.set("a", false)
	s.era = 2
	f, k := startFollower(t, s, noSources)
	require.Eventually(t, f.hasListed, waitTimeout, time.Millisecond)
	go func() {
		_ = f.follow(t.Context(), source.Listener.Addr().String(), limits{staleness: maxSourceStaleness, hops: subscriberHops})
	}()
	require.Eventually(t, k.has("c"), waitTimeout, time.Millisecond)
	require.EqualValues(t, 2, f.Era())
}

// Guards against a subscriber that learns of a position, or an era, before the changes that
// lead to it, because the heartbeat falls due while they wait to be sent.
func TestHeartbeatDoesNotPrecedeWaitingMessages(t *testing.T) {
	s := newFakeStore()
	s.set("a", false)
	f := NewFollower(Config{Store: s, OnChange: ignoreChanges, Sources: noSources, Dialer: httpPeers{}})
	require.NoError(t, f.list(context.Background(), false))
	_, sub := f.subscribe(magnolialedge.Position{})
	m, ok := f.heartbeat(sub)
	require.True(t, ok)
	require.Equal(t, f.position(), m.Position)
	s.set("b", false)
	require.NoError(t, f.fetchChanges(context.Background()))
	_, ok = f.heartbeat(sub)
	require.False(t, ok)
	require.Equal(t, f.position(), (<-sub).Position)
	_, ok = f.heartbeat(sub)
	require.True(t, ok)
}
