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
	"magnolialedge/core/stop"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
	"magnolialedge/io/peer/peerpb"
)

var discardLog = stdlog.New(io.Discard, "", 0)

type leaveFlag struct {
	value atomic.Bool
}

func (f *leaveFlag) isSet() bool {
	return f.value.Load()
}

// responseMargin is the time reserved for writing the last responses before the stop timeout
// expires.
const responseMargin = 100 * time.Millisecond

// stop removes the entry from resolve responses, serves until callers use other entries and
// requests in flight have ended, and hands over the key table. Work that may last longer is
// refused meanwhile. It returns an error if requests were still in flight when the stop timeout
// expired.
func (e *Entry) stop(runCtx context.Context) error {
	e.leaving.value.Store(true)
	e.server.SetLeaving(stop.NewSchedule(stop.Config{
		Work: e.settings.LeaveDelay + e.settings.StopTimeout - responseMargin,
	}, time.Now()))
	e.log.Log(event.Draining, "inFlight", e.server.InFlight())
	leaving := e.self
	leaving.Leaving = true
	_ = e.platform.Announce(runCtx, leaving)
	e.notifyLeaving(runCtx)
	pause.Sleep(runCtx, e.settings.LeaveDelay)
	ctx, cancel := context.WithTimeout(runCtx, e.settings.StopTimeout)
	defer cancel()
	err := e.servers[callerListener].Shutdown(ctx)
	if err != nil {
		e.log.Log(event.StopForced, "inFlight", e.server.InFlight())
	}
	e.handOver(runCtx)
	e.cancel()
	e.closeInternalServers()
	e.log.Log(event.Stopped)
	return errors.Wrap(err, "shut down the caller server")
}

// notifyLeavingTimeout limits the notification of all peers that this entry is leaving.
const notifyLeavingTimeout = time.Second

// notifyLeaving notifies every peer that this entry is leaving, so that their resolve
// responses omit it before the platform's list does.
func (e *Entry) notifyLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), notifyLeavingTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, in := range e.otherEntries() {
		wg.Go(func() {
			m := &peerpb.Leaver{Peer: e.self.PeerAddress, StartedAtUnixMs: e.self.StartedAt}
			_, _ = e.clients.ClientFor(in.Region, in.PeerAddress).Leave(ctx, m)
		})
	}
	wg.Wait()
}

// closeTimeout limits the graceful shutdown of the peer and operator servers.
const closeTimeout = time.Second

func (e *Entry) closeInternalServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, i := range []int{peerListener, operatorListener} {
		if e.servers[i].Shutdown(ctx) != nil {
			_ = e.servers[i].Close()
		}
	}
}

// handOver sends the key table to the first peer that accepts it, and announces that peer to
// the others as the successor.
func (e *Entry) handOver(ctx context.Context) {
	table := e.keys.Export()
	body, err := encodeHandover(table)
	if err != nil {
		e.log.Log(event.HandoverFailed, "err", err)
		return
	}
	for _, in := range e.otherEntries() {
		if e.sendKeyTable(ctx, in, body) {
			e.log.Log(event.HandedOver, "heir", in.PeerAddress, "keys", len(table.Records))
			e.announceSuccessor(ctx, in.PeerAddress)
			return
		}
	}
	e.log.Log(event.HandoverFailed, "keys", len(table.Records))
}

// otherEntries returns the other entries that are not leaving, those of this region first.
func (e *Entry) otherEntries() []magnolialedge.Instance {
	var sameRegion, otherRegions []magnolialedge.Instance
	for _, in := range e.fleet.Instances() {
		switch {
		case in.PeerAddress == e.self.PeerAddress || in.Leaving:
		case in.Region == e.self.Region:
			sameRegion = append(sameRegion, in)
		default:
			otherRegions = append(otherRegions, in)
		}
	}
	return append(sameRegion, otherRegions...)
}

// handoverTimeout limits the handover to one peer, and the announcement of the successor.
const handoverTimeout = 5 * time.Second

// sendKeyTable sends the encoded key table to a peer and reports whether the peer accepted
// it.
func (e *Entry) sendKeyTable(ctx context.Context, in magnolialedge.Instance, body []byte) bool {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), handoverTimeout)
	defer cancel()
	r, err := e.clients.ClientFor(in.Region, in.PeerAddress).Adopt(ctx, &peerpb.Handover{Body: body})
	return err == nil && r.GetAdopted()
}

func (e *Entry) announceSuccessor(ctx context.Context, successor string) {
	ctx, cancel := context.WithTimeout(e.clients.WithSecret(ctx), handoverTimeout)
	defer cancel()
	for _, in := range e.otherEntries() {
		_, _ = e.clients.ClientFor(in.Region, in.PeerAddress).Succeed(ctx, &peerpb.Successor{Stopped: e.self.PeerAddress, Heir: successor})
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

// maxHandoverBytes limits the size of a decompressed key table.
const maxHandoverBytes = 64 << 20

func decodeHandover(body []byte) (core.Handover, error) {
	var h core.Handover
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return h, errors.Wrap(err, "key table")
	}
	err = json.NewDecoder(io.LimitReader(z, maxHandoverBytes)).Decode(&h)
	return h, errors.Wrap(err, "key table")
}
