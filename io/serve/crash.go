package serve

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/conn"
	"magnolialedge/io/event"
	"magnolialedge/io/link"
)

const (
	// crashCheckDelay is the time between the loss of a connection and the health
	// check of its upstream.
	crashCheckDelay = 30 * time.Millisecond
	// crashWitnesses is the number of neighbors of a lost upstream that are tried until
	// one responds.
	crashWitnesses = 2
	// peerCheckTimeout limits asking another entry whether it reaches an upstream.
	peerCheckTimeout = 600 * time.Millisecond
)

// checkCrash records that a request crashed an upstream if the upstream that lost the
// request is no longer reachable, and reports it to the other entries. Losses of one
// upstream at the same time share one check.
func (f *Forwarder) checkCrash(r magnolialedge.Registration, fingerprint uint64, healthPath string) {
	f.mu.Lock()
	waiting, isChecked := f.crashChecks[r.ID]
	f.crashChecks[r.ID] = append(waiting, fingerprint)
	f.mu.Unlock()
	if isChecked {
		return
	}
	time.Sleep(crashCheckDelay)
	crashed, witness := f.hasCrashed(r, healthPath)
	f.mu.Lock()
	fingerprints := f.crashChecks[r.ID]
	delete(f.crashChecks, r.ID)
	f.mu.Unlock()
	if !crashed {
		return
	}
	slices.Sort(fingerprints)
	for _, fingerprint := range slices.Compact(fingerprints) {
		f.recordCrash(r, fingerprint, witness)
	}
}

func (f *Forwarder) recordCrash(r magnolialedge.Registration, fingerprint uint64, witness string) {
	f.mu.Lock()
	losses := f.quarantine.RecordLoss(time.Now(), fingerprint)
	f.mu.Unlock()
	f.cfg.Log.Log(event.UpstreamCrashed, "upstream", r.ID, "fingerprint", fingerprint, "losses", losses, "witness", witness)
	if losses > 0 {
		f.cfg.ReportCrash(fingerprint, losses)
	}
}

// hasCrashed reports whether an upstream that lost a connection is down. This entry must
// not reach it although it reaches a neighbor of it, and another entry must not reach it
// either, if one can tell. Otherwise the links of this entry may be at fault, wholly or in
// part. Nothing is sent to an upstream of an evacuated zone, so that it cannot be told.
func (f *Forwarder) hasCrashed(r magnolialedge.Registration, healthPath string) (crashed bool, witness string) {
	if f.isEvacuated(r.Zone) {
		return false, ""
	}
	err := f.checkNewConn(r, healthPath)
	if err == nil || errors.Is(err, link.ErrWrongInstance) {
		return false, ""
	}
	f.markUnreachable(r, err)
	if conn.IsBroken(err) {
		return false, ""
	}
	neighbor, ok := f.findWitness(r, healthPath)
	if !ok {
		f.cfg.Log.Log(event.UpstreamLossUnconfirmed, "upstream", r.ID, "service", r.Service, "err", err)
		return false, ""
	}
	if peer, reached := f.askPeer(r.ID); reached {
		f.cfg.Log.Log(event.UpstreamLossUnconfirmed, "upstream", r.ID, "service", r.Service, "reachedBy", peer, "err", err)
		return false, ""
	}
	return true, neighbor.ID
}

// askPeer asks another entry whether it reaches an upstream, and returns its name.
func (f *Forwarder) askPeer(upstreamID string) (peer string, reached bool) {
	if f.cfg.AskPeer == nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCheckTimeout)
	defer cancel()
	return f.cfg.AskPeer(ctx, upstreamID)
}

// CheckUpstream checks for another entry whether this one reaches an upstream over a new
// connection. known is false if this entry cannot tell.
func (f *Forwarder) CheckUpstream(id string) (reached, known bool) {
	f.mu.Lock()
	r, ok := f.fleet.Find(id)
	f.mu.Unlock()
	if !ok || f.isEvacuated(r.Zone) || f.isLost(r.Service) || !f.spendProbe() {
		return false, false
	}
	err := f.checkNewConn(r, f.healthPathOf(r.Service, "/"))
	if err != nil {
		f.cfg.Log.Log(event.PeerCheckFailed, "upstream", id, "err", err)
	}
	return err == nil || conn.IsBroken(err), !errors.Is(err, link.ErrWrongInstance)
}

// findWitness returns a neighbor of an upstream that accepts a new connection and
// responds on it, or false if none of those tried does or the probe budget is exhausted. Existing connections prove
// nothing: a fault of the network may spare them.
func (f *Forwarder) findWitness(r magnolialedge.Registration, healthPath string) (magnolialedge.Registration, bool) {
	f.mu.Lock()
	neighbors := f.fleet.Neighbors(time.Now(), r, crashWitnesses)
	f.mu.Unlock()
	for _, n := range neighbors {
		if !f.spendProbe() {
			break
		}
		if err := f.checkNewConn(n, f.healthPathOf(n.Service, healthPath)); err == nil || conn.IsBroken(err) {
			return n, true
		}
	}
	return magnolialedge.Registration{}, false
}

// checkNewConn checks the health of an upstream over a new connection.
func (f *Forwarder) checkNewConn(r magnolialedge.Registration, healthPath string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := f.openConn(ctx, r)
	if err != nil {
		return err
	}
	defer f.cfg.Pool.Put(c)
	return f.checkHealth(ctx, c, healthPath)
}

// healthPathOf returns the health path of a service, or fallback if it is not known.
func (f *Forwarder) healthPathOf(service, fallback string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.routes == nil {
		return fallback
	}
	for _, s := range f.routes.Config().Services {
		if s.Name == service {
			return s.HealthPath
		}
	}
	return fallback
}
