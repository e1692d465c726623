package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzip"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
	"magnolialedge/io/peer/peerpb"
)

var discardLog = stdlog.New(io.Discard, "", 0)

type leaveFlag struct {
	set atomic.Bool
}

func (f *leaveFlag) is() bool {
	return f.set.Load()
}

// stop leaves the resolve answers, serves until callers have gone elsewhere and
// requests in flight have ended, and hands the key table over.
func (e *Entry) stop(work context.Context) error {
	e.leaving.set.Store(true)
	e.server.SetLeaving()
	e.log.Log(event.Draining, "inFlight", e.server.InFlight())
	leaving := e.self
	leaving.Leaving = true
	_ = e.platform.Announce(work, leaving)
	e.tellLeaving(work)
	pause.Sleep(work, e.settings.LeaveDelay)
	ctx, cancel := context.WithTimeout(work, e.settings.StopTimeout)
	defer cancel()
	err := e.servers[forCallers].Shutdown(ctx)
	if err != nil {
		e.log.Log(event.StopForced, "inFlight", e.server.InFlight())
	}
	e.handOver(work)
	e.cancel()
	e.closeRest()
	e.log.Log(event.Stopped)
	return errors.Wrap(err, "stop")
}

// leaveTimeout bounds the telling of one peer that this entry leaves.
const leaveTimeout = time.Second

// tellLeaving tells every peer that this entry leaves, so that their resolve
// answers leave it out before the platform's list does.
func (e *Entry) tellLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, in := range e.others() {
		wg.Go(func() {
			m := &peerpb.Leaver{Peer: e.self.PeerAddress, StartedAtUnixMs: e.self.StartedAt}
			_, _ = e.clients.ClientFor(in.Region, in.PeerAddress).Leave(ctx, m)
		})
	}
	wg.Wait()
}

// closeTimeout bounds the end of the peers' and operators' listeners.
const closeTimeout = time.Second

func (e *Entry) closeRest() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, i := range []int{forPeers, forOperators} {
		if e.servers[i].Shutdown(ctx) != nil {
			_ = e.servers[i].Close()
		}
	}
}

// handOver gives the key table to the first peer that takes it and tells the
// others of that peer.
func (e *Entry) handOver(ctx context.Context) {
	table := e.keys.Export()
	body, err := encodeHandover(table)
	if err != nil {
		e.log.Log(event.HandoverFailed, "err", err)
		return
	}
	for _, in := range e.others() {
		if e.offerTable(ctx, in, body) {
			e.log.Log(event.HandedOver, "heir", in.PeerAddress, "keys", len(table.Records))
			e.nameHeir(ctx, in.PeerAddress)
			return
		}
	}
	e.log.Log(event.HandoverFailed, "keys", len(table.Records))
}

// others returns the other live entries, those of this region first.
func (e *Entry) others() []magnolialedge.Instance {
	var near, far []magnolialedge.Instance
	for _, in := range e.fleet.Instances() {
		switch {
		case in.PeerAddress == e.self.PeerAddress || in.Leaving:
		case in.Region == e.self.Region:
			near = append(near, in)
		default:
			far = append(far, in)
		}
	}
	return append(near, far...)
}

// handoverTimeout bounds the handing over to one peer.
const handoverTimeout = 5 * time.Second

func (e *Entry) offerTable(ctx context.Context, in magnolialedge.Instance, body []byte) bool {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), handoverTimeout)
	defer cancel()
	r, err := e.clients.ClientFor(in.Region, in.PeerAddress).Adopt(ctx, &peerpb.Handover{Body: body})
	return err == nil && r.GetAdopted()
}

func (e *Entry) nameHeir(ctx context.Context, heir string) {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), handoverTimeout)
	defer cancel()
	for _, in := range e.others() {
		_, _ = e.clients.ClientFor(in.Region, in.PeerAddress).Succeed(ctx, &peerpb.Successor{Stopped: e.self.PeerAddress, Heir: heir})
	}
}

func encodeHandover(h core.Handover) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(h); err != nil {
		return nil, err
	}
	err := z.Close()
	return b.Bytes(), err
}

// mostHandoverBytes bounds a key table after decompression.
const mostHandoverBytes = 64 << 20

func decodeHandover(body []byte) (core.Handover, error) {
	var h core.Handover
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return h, errors.Wrap(err, "key table")
	}
	err = json.NewDecoder(io.LimitReader(z, mostHandoverBytes)).Decode(&h)
	return h, errors.Wrap(err, "key table")
}
