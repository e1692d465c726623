package mirror

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/event"
)

// streamReader reads the messages of a source's stream.
type streamReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	// idleTimer ends the stream if no bytes arrive for the idle timeout.
	idleTimer *time.Timer
	cancel    context.CancelFunc
}

// openStream opens the stream of a source. The reader must be closed.
func (f *Follower) openStream(ctx context.Context, address string, l limits) (*streamReader, error) {
	ctx, cancel := context.WithCancel(ctx)
	query := f.streamQuery(l)
	r := &streamReader{cancel: cancel, idleTimer: time.AfterFunc(f.cfg.Timing.IdleTimeout, cancel)}
	body, err := f.cfg.Dialer.Open(ctx, address, StreamPath+"?"+query.Encode())
	if err != nil {
		r.idleTimer.Stop()
		cancel()
		return nil, err
	}
	r.body = body
	r.scanner = bufio.NewScanner(&activityReader{r: body, onRead: func() { r.idleTimer.Reset(f.cfg.Timing.IdleTimeout) }})
	r.scanner.Buffer(make([]byte, 0, 4<<10), maxMessageBytes)
	return r, nil
}

// streamQuery returns the query parameters of a stream with the given limits.
func (f *Follower) streamQuery(l limits) url.Values {
	query := url.Values{}
	if l.staleness == unlimitedStaleness {
		query.Set(anyAgeParam, "1")
	}
	if !l.isBackup {
		query.Set(subscriberParam, f.cfg.Name)
		return query
	}
	own := f.position()
	query.Set(eraParam, strconv.FormatInt(own.Era, 10))
	query.Set(revisionParam, strconv.FormatInt(own.Revision, 10))
	return query
}

// next returns the next message, with the items of a snapshot still compressed. A
// message that names no era, as those of entries of earlier releases, gets the given
// one.
func (r *streamReader) next(era int64) (message, error) {
	if !r.scanner.Scan() {
		return message{}, errors.Wrap(cmp.Or(r.scanner.Err(), io.EOF), "stream ended")
	}
	m := message{Position: magnolialedge.Position{Era: magnolialedge.UnknownEra}}
	if err := json.Unmarshal(r.scanner.Bytes(), &m); err != nil {
		return message{}, errors.Wrap(err, "stream")
	}
	m.Position = m.Position.WithEra(era)
	return m, nil
}

// Close ends the stream.
func (r *streamReader) Close() {
	r.idleTimer.Stop()
	_ = r.body.Close()
	r.cancel()
}

// follow applies the messages of a source until its stream ends, the source exceeds
// the limits, or its snapshot is older than this entry's items.
func (f *Follower) follow(ctx context.Context, address string, l limits) error {
	r, err := f.openStream(ctx, address, l)
	if err != nil {
		return err
	}
	defer r.Close()
	for isFirst := true; ; isFirst = false {
		m, err := r.next(f.Era())
		if err != nil {
			return err
		}
		if err := f.check(m, l); err != nil {
			return err
		}
		if isFirst {
			// A source that loses the store later is kept as long as other entries tell it
			// the changes: its subscribers would all need snapshots of another one.
			l.hops = unlimitedHops
			f.cfg.Log.Log(event.SourceFollowed, "source", address, "ageMs", m.AgeMs, "hops", m.Hops, "revision", m.Revision, "ownRevision", f.Revision(), "backup", l.isBackup)
		}
		if err := m.decompress(); err != nil {
			return err
		}
		now := time.Now()
		a := fromPeer(now, f.cfg.Timing, address, m)
		a.isBackup = l.isBackup
		f.apply(now, a, m)
		if l.staleness != unlimitedStaleness {
			f.setInitialized()
		}
	}
}

// check returns an error if a source exceeds the limits or is behind this entry.
func (f *Follower) check(m message, l limits) error {
	own := f.position()
	isLimited := l.staleness != unlimitedStaleness
	switch {
	case isLimited && m.age() > l.staleness:
		return errSourceStale
	case m.Hops > l.hops:
		return errSourceIndirect
	case isLimited && m.Snapshot && m.Position.Before(own):
		return errSourceBehind
	case !m.Snapshot && m.Era != own.Era:
		return errOtherEra
	}
	return nil
}

// activityReader calls onRead after each read of data, so that a long message on a
// slow link does not count as an idle stream.
type activityReader struct {
	r      io.Reader
	onRead func()
}

// Read implements io.Reader.
func (a *activityReader) Read(b []byte) (int, error) {
	n, err := a.r.Read(b)
	if n > 0 {
		a.onRead()
	}
	return n, err
}
