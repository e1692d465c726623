package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
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
)

// checkCrash records that a request crashed an upstream if the upstream that lost the
// request is no longer reachable although one of its neighbors is, and reports it to the
// other entries. Without such a witness the links of this entry may be at fault, and the
// request must not be blamed.
func (f *Forwarder) checkCrash(r magnolialedge.Registration, fingerprint uint64, healthPath string) {
	time.Sleep(crashCheckDelay)
	err := f.checkNewConn(r, healthPath)
	if err == nil || errors.Is(err, link.ErrWrongInstance) {
		return
	}
	f.markUnreachable(r, err)
	witness, ok := f.findWitness(r, healthPath)
	if !ok {
		f.cfg.Log.Log(event.UpstreamLossDoubted, "upstream", r.ID, "service", r.Service, "fingerprint", fingerprint, "err", err)
		return
	}
	f.mu.Lock()
	losses := f.quarantine.RecordLoss(time.Now(), fingerprint)
	f.mu.Unlock()
	f.cfg.Log.Log(event.UpstreamCrashed, "upstream", r.ID, "fingerprint", fingerprint, "losses", losses, "witness", witness.ID)
	f.cfg.ReportCrash(fingerprint, losses)
}

// findWitness returns a neighbor of an upstream that accepts a new connection and
// responds on it, or false if none of those tried does. Existing connections prove
// nothing: a fault of the network may spare them.
func (f *Forwarder) findWitness(r magnolialedge.Registration, healthPath string) (magnolialedge.Registration, bool) {
	f.mu.Lock()
	neighbors := f.fleet.Neighbors(r, crashWitnesses)
	f.mu.Unlock()
	for _, n := range neighbors {
		if f.checkNewConn(n, f.healthPathOf(n.Service, healthPath)) == nil {
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
