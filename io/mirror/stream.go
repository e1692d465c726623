package mirror

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// maxSourceStaleness is the longest time since a source last reached the
	// store. After it the subscribers switch to another source.
	maxSourceStaleness = 2200 * time.Millisecond
	// maxQueuedMessages is the number of messages that may wait for one
	// subscriber. A subscriber that falls further behind is disconnected and
	// starts again with a snapshot.
	maxQueuedMessages = 64
	// maxMessageBytes limits the size of one message of a stream, both before
	// and after decompression.
	maxMessageBytes = 64 << 20
	// StreamPath is the path of the change stream.
	StreamPath = "/v1/changes"
	// subscriberParam is the query parameter with the name of the subscribing
	// entry.
	subscriberParam = "reader"
	// anyAgeParam is the query parameter of a subscriber that accepts items
	// regardless of their age.
	anyAgeParam = "anyAge"
	// eraParam and revisionParam are the query parameters with the position of a
	// subscriber. It receives a snapshot only if it lacks changes.
	eraParam      = "era"
	revisionParam = "revision"
)

var (
	errSourceStale    = errors.New("the source has not reached the store within the staleness limit")
	errSourceIndirect = errors.New("the source follows other entries instead of the store")
	errSourceBehind   = errors.New("the source is at an older revision than this entry")
	errOtherEra       = errors.New("the source's changes belong to another era of the store")
)

// message is one line of a stream.
type message struct {
	// Snapshot is set when Items are all items rather than changes.
	Snapshot bool                 `json:"snapshot,omitempty"`
	Items    []magnolialedge.Item `json:"items,omitempty"`
	// Compressed holds the items in place of Items, as gzip-compressed JSON.
	Compressed []byte `json:"packed,omitempty"`
	magnolialedge.Position
	// AgeMs is the time since the source last reached the store.
	AgeMs int64 `json:"ageMs"`
	// Hops is the number of entries between the source and the store.
	Hops int `json:"hops,omitempty"`
	// Relays is set by entries that pass confirmations on at once. Those of earlier
	// releases send them with the next heartbeat.
	Relays bool `json:"relays,omitempty"`
	// Unreachable names the entries that do not respond. Only earlier releases use it.
	Unreachable []string `json:"unreachable,omitempty"`
}

// age returns the time since the source last reached the store.
func (m message) age() time.Duration {
	return time.Duration(m.AgeMs) * time.Millisecond
}

// PeerDialer opens a change stream of another entry.
type PeerDialer interface {
	Open(ctx context.Context, address, path string) (io.ReadCloser, error)
}

// limits restricts the sources that an entry follows.
type limits struct {
	// staleness is the longest time since the source last reached the store.
	// With unlimitedStaleness only the end of the stream matters.
	staleness time.Duration
	// hops is the largest number of entries between the source and the store.
	// It keeps entries that have lost the store from following each other in a
	// circle, in which no change arrives.
	hops int
	// isBackup is set for a stream beside the primary way.
	isBackup bool
}

const (
	// subscriberHops applies to entries that may not watch the store: their
	// source may follow an entry that does.
	subscriberHops = 1
	unlimitedHops  = math.MaxInt
)

// sourceLimits returns the limits for sources. An entry that may watch the store
// itself follows only one that does.
func (f *Follower) sourceLimits() limits {
	if f.cfg.MayWatch == nil || f.cfg.MayWatch() {
		return limits{staleness: maxSourceStaleness}
	}
	return limits{staleness: maxSourceStaleness, hops: subscriberHops}
}

// followAny follows the first source, and each further one after the stream of the
// one before has ended. It returns true when a stream ends that lasted longer than
// maxSourceStaleness, and false if none did.
func (f *Follower) followAny(ctx context.Context, sources []string, l limits) bool {
	for _, address := range sources {
		start := time.Now()
		err := f.follow(ctx, address, l)
		f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.Revision())
		if f.cfg.OnSourceLost != nil {
			f.cfg.OnSourceLost(address)
		}
		if time.Since(start) > maxSourceStaleness {
			return true
		}
	}
	return false
}

const (
	// seedDelay is how long a new entry waits for the store before it contacts
	// its seeds, and seedRetryDelay the delay between two rounds of contacting
	// them.
	seedDelay      = 300 * time.Millisecond
	seedRetryDelay = 300 * time.Millisecond
)

// followSeeds follows the seeds one after the other until the store has been listed
// or a source has delivered items. The items of a seed are accepted regardless of
// their age, because there are no others.
func (f *Follower) followSeeds(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.awaitInitialized(ctx, cancel)
	pause.Sleep(ctx, seedDelay)
	for ctx.Err() == nil {
		for _, address := range f.cfg.Seeds {
			err := f.follow(ctx, address, limits{staleness: unlimitedStaleness, hops: unlimitedHops})
			if ctx.Err() == nil {
				f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.Revision())
			}
		}
		pause.Sleep(ctx, seedRetryDelay)
	}
}

func (f *Follower) hopsToStore() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hops
}

func (f *Follower) setInitialized() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initialized = true
}

// awaitInitialized calls done once the follower is initialized or ctx is done.
func (f *Follower) awaitInitialized(ctx context.Context, done func()) {
	for ctx.Err() == nil && !f.isInitialized() {
		pause.Sleep(ctx, tickInterval/4)
	}
	done()
}

// unlimitedStaleness accepts messages regardless of when their source last reached
// the store.
const unlimitedStaleness = time.Duration(0)

// publish queues changes for all subscribers and disconnects those whose queue
// is full; f.mu must be held.
func (f *Follower) publish(m message) {
	for sub := range f.subscribers {
		select {
		case sub <- m:
		default:
			delete(f.subscribers, sub)
			close(sub)
		}
	}
}

// subscribe returns a snapshot of all items and a channel with the changes that follow. A
// subscriber whose position is known receives only the changes after it, unless some of them
// are forgotten.
func (f *Follower) subscribe(known magnolialedge.Position) (message, chan message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sub := make(chan message, maxQueuedMessages)
	f.subscribers[sub] = struct{}{}
	if changes, ok := f.history.after(known); ok {
		return f.changesMessage(changes), sub
	}
	return message{Snapshot: true, Compressed: f.compressedSnapshot(), Position: f.mirror.Position()}, sub
}

func (f *Follower) unsubscribe(sub chan message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.subscribers[sub]; ok {
		delete(f.subscribers, sub)
		close(sub)
	}
}

// ServeHTTP streams a snapshot and the changes after it to another entry until
// that entry disconnects.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Revision() == 0 {
		http.Error(w, "this entry does not know the store yet", http.StatusServiceUnavailable)
		return
	}
	if !r.URL.Query().Has(anyAgeParam) && f.Staleness(time.Now()) > maxSourceStaleness {
		http.Error(w, "this entry has lost the store", http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get(subscriberParam)
	first, sub := f.subscribe(knownPosition(r.URL.Query()))
	defer f.unsubscribe(sub)
	defer f.subscriberLost(name)
	w.Header().Set("Content-Type", "application/x-ndjson")
	if !f.send(w, first) {
		return
	}
	heartbeat := time.NewTicker(f.cfg.Timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		m := message{}
		select {
		case <-r.Context().Done():
			return
		case next, ok := <-sub:
			if !ok {
				return
			}
			m = next
		case <-heartbeat.C:
			var ok bool
			if m, ok = f.heartbeat(sub); !ok {
				continue
			}
		}
		if !f.send(w, m) {
			return
		}
		heartbeat.Reset(f.cfg.Timing.Heartbeat)
	}
}

// knownPosition returns the position of a subscriber, or one before all others if it gives
// none.
func knownPosition(query url.Values) magnolialedge.Position {
	era, err := strconv.ParseInt(query.Get(eraParam), 10, 64)
	if err != nil {
		return magnolialedge.Position{Era: magnolialedge.UnknownEra}
	}
	revision, err := strconv.ParseInt(query.Get(revisionParam), 10, 64)
	if err != nil {
		return magnolialedge.Position{Era: magnolialedge.UnknownEra}
	}
	return magnolialedge.Position{Era: era, Revision: revision}
}

// heartbeat returns the message for a subscriber that has received nothing for a while, or
// false if messages wait for it: the present position must not precede them.
func (f *Follower) heartbeat(sub <-chan message) (message, bool) {
	unreachable := f.unreachablePeers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(sub) > 0 {
		return message{}, false
	}
	return message{Position: f.mirror.Position(), Unreachable: unreachable}, true
}

func (f *Follower) unreachablePeers() []string {
	if f.cfg.Unreachable == nil {
		return nil
	}
	return f.cfg.Unreachable()
}

// subscriberLost reports the end of a subscription.
func (f *Follower) subscriberLost(name string) {
	if name != "" && f.cfg.OnSubscriberLost != nil {
		go f.cfg.OnSubscriberLost(name)
	}
}

// send writes one message as a line and reports whether it succeeded.
func (f *Follower) send(w http.ResponseWriter, m message) bool {
	m.AgeMs = f.Staleness(time.Now()).Milliseconds()
	m.Hops = f.hopsToStore()
	m.Relays = true
	line, err := json.Marshal(m)
	if err != nil {
		f.cfg.Log.Log(event.SourceLost, "err", err)
		return false
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
