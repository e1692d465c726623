package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/platform/stand"
)

const inForce = 2 * time.Second

func TestNewVersionIsInForceSoonAndAnOlderOneNever(t *testing.T) {
	w := newWorld(t)
	w.routes = append(w.routes, route("added", "/added/", "safe", 1000, "svc"))
	w.configure()
	require.Eventually(t, func() bool {
		a, _ := w.call("GET", "/added/1", "")
		return a.status == http.StatusOK
	}, inForce, 10*time.Millisecond)
	w.version = 0
	w.routes = w.routes[:2]
	w.configure()
	time.Sleep(500 * time.Millisecond)
	a, _ := w.call("GET", "/added/1", "")
	require.Equal(t, http.StatusOK, a.status)
}

func TestSplitKeepsItsWeights(t *testing.T) {
	w := newWorld(t)
	other := w.addUpstreamOf("u3", "other")
	w.routes = append(w.routes, fmt.Sprintf(`{"name":"split","host":%q,"prefix":"/split/","route-type":"safe","timeout-ms":1000,"aim-ms":300,"traffic-split":[{"service":"svc","weight":75},{"service":"other","weight":25}],"max-attempts":2}`, host))
	w.configure()
	require.Eventually(t, func() bool {
		a, _ := w.call("GET", "/split/1", "")
		return a.status == http.StatusOK
	}, inForce, 10*time.Millisecond)
	before := len(other.Runs())
	for range 40 {
		a, _ := w.call("GET", "/split/1", "")
		require.Equal(t, http.StatusOK, a.status)
	}
	require.InDelta(t, 10, len(other.Runs())-before, 1)
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	w := newWorld(t)
	w.ups[0].Register(w.store, "draining")
	time.Sleep(400 * time.Millisecond)
	before := len(w.ups[0].Runs())
	for range 10 {
		a, _ := w.call("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Len(t, w.ups[0].Runs(), before)
}

func TestUnreadableEntryNamesNoUpstreamAndHarmsNoOther(t *testing.T) {
	w := newWorld(t)
	for key, value := range map[string]string{
		"servers/bad1": "{",
		"servers/bad2": `{"service":7}`,
		"servers/bad3": `{"service":"svc","address":"nowhere","zone":"east-a","slots":1,"state":"ready","cold-left-ms":0,"seq":1}`,
		"servers/bad4": `{"service":"svc","address":"127.0.0.1:1","zone":"east-a","slots":1,"state":"asleep","cold-left-ms":0,"seq":1}`,
	} {
		w.store.Put(key, []byte(value))
	}
	time.Sleep(300 * time.Millisecond)
	for range 6 {
		a, _ := w.call("GET", "/reads/1", "")
		require.Equal(t, http.StatusOK, a.status)
	}
	require.Contains(t, w.entries[0].logs.String(), "name=itemUnusable")
}

func TestOutageOfTheStoreStopsNothing(t *testing.T) {
	for _, fault := range []stand.Fault{stand.FaultUnavailable, stand.FaultReset, stand.FaultHang, stand.FaultLostReply} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			w := newWorld(t)
			w.store.SetFault(fault)
			time.Sleep(1500 * time.Millisecond)
			a, _ := w.call("GET", "/reads/1", "")
			require.Equal(t, http.StatusOK, a.status)
			w.routes = append(w.routes, route("added", "/added/", "safe", 1000, "svc"))
			w.configure()
			w.store.Compact()
			w.store.SetFault(stand.FaultNone)
			require.Eventually(t, func() bool {
				a, _ := w.call("GET", "/added/1", "")
				return a.status == http.StatusOK
			}, 2*inForce, 20*time.Millisecond)
		})
	}
}

func TestEntryIsListedAgainWhenItsLeaseWasTakenAway(t *testing.T) {
	w := newWorld(t)
	require.Eventually(t, func() bool { return w.store.Has("members/e1") }, inForce, 5*time.Millisecond)
	w.store.SetFault(stand.FaultHang)
	time.Sleep(time.Second)
	w.store.ExpireLeases()
	require.False(t, w.store.Has("members/e1"))
	w.store.SetFault(stand.FaultNone)
	require.Eventually(t, func() bool { return w.store.Has("members/e1") }, 2*inForce, 20*time.Millisecond)
}

// TestEntryThatIsDroppedFromTheListAsksToBeListedAtOnce takes the lease away
// while the store answers, so that the entry learns of it from the change alone.
func TestEntryThatIsDroppedFromTheListAsksToBeListedAtOnce(t *testing.T) {
	w := newWorld(t)
	for range 3 {
		require.Eventually(t, func() bool { return w.store.Has("members/e1") }, inForce, 5*time.Millisecond)
		w.store.ExpireLeases()
		require.Eventually(t, func() bool { return w.store.Has("members/e1") }, 700*time.Millisecond, 5*time.Millisecond)
	}
}

// load calls an entry without pause until it is stopped, and collects the
// requests that got no whole answer.
type load struct {
	stop   context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	failed []string
	served int
}

func startLoad(w *world, address func() string, workers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	for i := range workers {
		l.group.Add(1)
		go func() {
			defer l.group.Done()
			client := &http.Client{Transport: &http.Transport{}}
			for j := 0; ctx.Err() == nil; j++ {
				l.one(client, address(), fmt.Sprintf("load-%d-%d", i, j))
			}
		}()
	}
	return l
}

func (l *load) one(c *http.Client, address, id string) {
	a, err := callAt(context.Background(), c, address, "POST", "/writes/1", "x", id)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && strings.Contains(err.Error(), "connection refused"):
	case err != nil:
		l.failed = append(l.failed, id+": "+err.Error())
	case a.status == http.StatusOK:
		l.served++
	case a.status != http.StatusServiceUnavailable:
		l.failed = append(l.failed, fmt.Sprintf("%s: status %d", id, a.status))
	}
}

func (l *load) end(t *testing.T) {
	l.stop()
	l.group.Wait()
	require.Empty(t, l.failed)
	require.Positive(t, l.served)
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	w := newWorld(t)
	second := w.addEntry("e2", "127.0.0.2")
	both := func() bool { return len(w.entries[0].resolve(t, "east")) == 2 }
	require.Eventually(t, both, inForce, 10*time.Millisecond)
	var mu sync.Mutex
	address := second.settings.CallerAddress
	l := startLoad(w, func() string { mu.Lock(); defer mu.Unlock(); return address }, 6)
	time.Sleep(200 * time.Millisecond)
	second.stop()
	require.Eventually(t, func() bool {
		list := w.entries[0].resolve(t, "east")
		return len(list) == 1 && list[0] == w.entries[0].settings.CallerAddress
	}, time.Second, 10*time.Millisecond)
	require.False(t, second.isReady())
	time.Sleep(time.Second)
	mu.Lock()
	address = w.entries[0].settings.CallerAddress
	mu.Unlock()
	<-second.stopped
	l.end(t)
	require.Contains(t, second.logs.String(), "name=stopped")
	require.NotContains(t, second.logs.String(), "name=stopForced")
}

func TestKilledUpstreamIsLeftAloneAfterTheFirstLoss(t *testing.T) {
	w := newWorld(t)
	for range 4 {
		w.call("GET", "/reads/1", "")
	}
	w.ups[0].Close()
	for range 10 {
		a, _ := w.call("POST", "/writes/1", "x")
		require.Equal(t, http.StatusOK, a.status)
	}
}
