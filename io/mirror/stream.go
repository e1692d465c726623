package mirror

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/mirror"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// pulseEvery is the time between two messages of a stream without changes.
	pulseEvery = 400 * time.Millisecond
	// streamSilence is how long a stream may be silent before it is given up.
	streamSilence = 1100 * time.Millisecond
	// mostStreamAge is how long ago a source may have reached the store before
	// its readers look for another.
	mostStreamAge = 2200 * time.Millisecond
	// subscriberRoom is the number of messages that may wait for one reader;
	// a reader that falls behind further is cut and begins anew.
	subscriberRoom = 64
	// mostLine bounds one message of a stream, in bytes.
	mostLine = 64 << 20
	// StreamPath is the path at which an entry passes changes on.
	StreamPath = "/v1/changes"
	// readerParam names the entry that asks for changes.
	readerParam = "reader"
)

var (
	errStale  = errors.New("the source has not reached the store of late")
	errBehind = errors.New("the source knows less than this entry")
)

// message is one line of a stream.
type message struct {
	// Snapshot tells that Items are all items rather than changes.
	Snapshot bool                 `json:"snapshot,omitempty"`
	Items    []magnolialedge.Item `json:"items,omitempty"`
	// Packed holds the items of a snapshot in place of Items, as gzip of JSON.
	Packed   []byte `json:"packed,omitempty"`
	Revision int64  `json:"revision"`
	// AgeMs is the time since the source reached the store.
	AgeMs int64 `json:"ageMs"`
}

// PeerDialer opens a stream of another entry.
type PeerDialer interface {
	Open(ctx context.Context, address, path string) (io.ReadCloser, error)
}

// followAny takes changes from the first source that passes them on, for as
// long as it does. False means that none did.
func (f *Follower) followAny(ctx context.Context, sources []string) bool {
	for _, address := range sources {
		begun := time.Now()
		err := f.follow(ctx, address, mostStreamAge)
		f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.Revision())
		if f.cfg.OnSourceLost != nil {
			f.cfg.OnSourceLost(address)
		}
		if time.Since(begun) > mostStreamAge {
			return true
		}
	}
	return false
}

const (
	// seedAfter is how long a new entry waits for the store before it asks its
	// seeds, and seedGap the time between two rounds of asking.
	seedAfter = 300 * time.Millisecond
	seedGap   = 300 * time.Millisecond
)

// seed takes changes from a seed until the store has been listed or a source
// serves. What seeds know may be old; it is all that there is.
func (f *Follower) seed(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.awaitKnown(ctx, cancel)
	pause.Sleep(ctx, seedAfter)
	for ctx.Err() == nil {
		for _, address := range f.cfg.Seeds {
			err := f.follow(ctx, address, anyAge)
			if ctx.Err() == nil {
				f.cfg.Log.Log(event.SourceLost, "source", address, "err", err, "revision", f.Revision())
			}
		}
		pause.Sleep(ctx, seedGap)
	}
}

func (f *Follower) setKnown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
}

// awaitKnown calls done once the store is known.
func (f *Follower) awaitKnown(ctx context.Context, done func()) {
	for ctx.Err() == nil && !f.isKnown() {
		pause.Sleep(ctx, tickEvery/4)
	}
	done()
}

// anyAge takes changes however long ago their source reached the store.
const anyAge = time.Duration(0)

// follow takes changes from a source for as long as it reached the store at most
// mostAge ago.
func (f *Follower) follow(ctx context.Context, address string, mostAge time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(streamSilence, cancel)
	defer silence.Stop()
	body, err := f.cfg.Dialer.Open(ctx, address, StreamPath+"?"+readerParam+"="+url.QueryEscape(f.cfg.Name))
	if err != nil {
		return err
	}
	defer body.Close()
	lines := bufio.NewScanner(&heardReader{r: body, heard: func() { silence.Reset(streamSilence) }})
	lines.Buffer(make([]byte, 0, 4<<10), mostLine)
	for lines.Scan() {
		var m message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return errors.Wrap(err, "stream")
		}
		age := time.Duration(m.AgeMs) * time.Millisecond
		if mostAge != anyAge && age > mostAge {
			return errStale
		}
		if mostAge != anyAge && m.Snapshot && m.Revision < f.Revision() {
			return errBehind
		}
		if err := m.unpack(); err != nil {
			return err
		}
		f.take(mirror.FromPeer, m, time.Now().Add(-age))
		if mostAge != anyAge {
			f.setKnown()
		}
	}
	return errors.Wrap(lines.Err(), "stream ended")
}

// heardReader tells of each part that comes, so that a long message over a narrow
// link isn't taken for silence.
type heardReader struct {
	r     io.Reader
	heard func()
}

// Read implements io.Reader.
func (h *heardReader) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	if n > 0 {
		h.heard()
	}
	return n, err
}

// publish hands a message to all readers; f.mu is held.
func (f *Follower) publish(m message) {
	if len(m.Items) == 0 {
		return
	}
	for sub := range f.subs {
		select {
		case sub <- m:
		default:
			delete(f.subs, sub)
			close(sub)
		}
	}
}

// subscribe returns all items and a channel of the changes that follow.
func (f *Follower) subscribe() (message, chan message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sub := make(chan message, subscriberRoom)
	f.subs[sub] = struct{}{}
	return message{Snapshot: true, Packed: f.packed(), Revision: f.mirror.Revision()}, sub
}

func (f *Follower) unsubscribe(sub chan message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.subs[sub]; ok {
		delete(f.subs, sub)
		close(sub)
	}
}

// ServeHTTP passes changes on to another entry until it goes.
func (f *Follower) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Revision() == 0 {
		http.Error(w, "this entry does not know the store yet", http.StatusServiceUnavailable)
		return
	}
	first, sub := f.subscribe()
	defer f.unsubscribe(sub)
	defer f.readerLost(r.URL.Query().Get(readerParam))
	w.Header().Set("Content-Type", "application/x-ndjson")
	if !f.send(w, first) {
		return
	}
	pulse := time.NewTicker(pulseEvery)
	defer pulse.Stop()
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
		case <-pulse.C:
			m.Revision = f.Revision()
		}
		if !f.send(w, m) {
			return
		}
	}
}

func (f *Follower) readerLost(name string) {
	if name != "" && f.cfg.OnSubscriberLost != nil {
		go f.cfg.OnSubscriberLost(name)
	}
}

func (f *Follower) send(w http.ResponseWriter, m message) bool {
	m.AgeMs = f.Staleness(time.Now()).Milliseconds()
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
