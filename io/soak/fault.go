package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"magnolialedge/io/pause"
	"magnolialedge/io/stand"
	platform "magnolialedge/platform/stand"
)

// fault is a kind of fault that a soak test injects.
type fault struct {
	name string
	// inject causes the fault and returns when it is over.
	inject func(ctx context.Context, cl *cluster, r *rand.Rand) error
}

// faults lists the faults that are chosen at random.
var faults = []fault{
	{"pause an entry", pauseEntry},
	{"kill an entry", killEntry},
	{"cut the power of an entry", powerOffEntry},
	{"stop an entry", stopEntry},
	{"send SIGHUP to an entry", hangUpEntry},
	{"disrupt an entry's link to the store", disruptStoreLink},
	{"let calls to the store hang", hangStoreCalls},
	{"cut entries off from the upstreams", cutOffEntries},
	{"make the store fail", failStore},
	{"compact the store's history", compactStore},
	{"restore the store from a copy", restoreStore},
	{"change an upstream's response mode", changeResponseMode},
	{"disrupt an upstream's link", disruptUpstreamLink},
	{"restart an upstream", restartUpstream},
	{"drain an upstream", drainUpstream},
	{"change the configuration several times", changeConfig},
	{"limit an upstream", limitUpstream},
	{"let an upstream leave", leaveUpstream},
	{"pause an upstream", pauseUpstream},
}

// randomDuration returns a random duration for a fault, from 0.2 to 2.5 seconds.
func randomDuration(r *rand.Rand) time.Duration {
	return time.Duration(200+r.IntN(2300)) * time.Millisecond
}

// pauseEntry stops the process of an entry and resumes it.
func pauseEntry(ctx context.Context, cl *cluster, r *rand.Rand) error {
	e, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	defer cl.disturbances.begin(e.settings.Name)()
	p := e.process()
	p.signal(syscall.SIGSTOP)
	pause.Sleep(ctx, randomDuration(r))
	p.signal(syscall.SIGCONT)
	return nil
}

// killEntry kills an entry and starts it again after a random time.
func killEntry(ctx context.Context, cl *cluster, r *rand.Rand) error {
	e, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	defer cl.disturbances.begin(e.settings.Name)()
	e.stop(syscall.SIGKILL)
	pause.Sleep(ctx, randomDuration(r))
	cl.setRelease(e, ReleaseMixed, r)
	return e.start()
}

// powerOffEntry cuts the power of an entry and starts it again after a random time.
func powerOffEntry(ctx context.Context, cl *cluster, r *rand.Rand) error {
	e, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	defer cl.disturbances.begin(e.settings.Name)()
	restore, err := powerOff(e)
	if err != nil {
		return err
	}
	pause.Sleep(ctx, 2*randomDuration(r))
	cl.setRelease(e, ReleaseMixed, r)
	return restore()
}

// stopEntry stops an entry gracefully and starts it again.
func stopEntry(_ context.Context, cl *cluster, r *rand.Rand) error {
	e, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	cl.setRelease(e, ReleaseMixed, r)
	return cl.restartGracefully(e)
}

// hangUpEntry sends SIGHUP to an entry, which reloads its settings.
func hangUpEntry(_ context.Context, cl *cluster, r *rand.Rand) error {
	cl.entries[r.IntN(len(cl.entries))].process().signal(syscall.SIGHUP)
	return nil
}

// disruptStoreLink disrupts the link between an entry and the store.
func disruptStoreLink(ctx context.Context, cl *cluster, r *rand.Rand) error {
	e, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	defer cl.disturbances.begin(e.settings.Name)()
	e.storeLink.SetBehaviour(randomLinkFault(r))
	pause.Sleep(ctx, randomDuration(r))
	e.storeLink.SetBehaviour(stand.LinkBehaviour{})
	return nil
}

// storeCalls is reserved while calls to the store hang.
const storeCalls = "calls to the store"

// hangStoreCalls lets the calls of some entries to the store hang, but not those of one that
// nothing else disturbs meanwhile. The others learn of changes from it in time, so that they
// do not count as disturbed, unless they run an earlier release.
func hangStoreCalls(ctx context.Context, cl *cluster, r *rand.Rand) error {
	_, end, ok := reserve(cl, r, []string{storeCalls})
	if !ok {
		return nil
	}
	defer end()
	connected, release, ok := reserve(cl, r, cl.entries)
	if !ok {
		return nil
	}
	defer release()
	hanging := []stand.LinkBehaviour{{DropForward: true}, {DropBackward: true}, {Frozen: true}}[r.IntN(3)]
	for _, e := range cl.entries {
		if e == connected || r.IntN(3) == 0 {
			continue
		}
		if cl.cfg.PreviousBinary != "" {
			defer cl.disturbances.begin(e.settings.Name)()
		}
		e.storeLink.SetBehaviour(hanging)
		defer e.storeLink.SetBehaviour(stand.LinkBehaviour{})
	}
	pause.Sleep(ctx, 2*randomDuration(r))
	return nil
}

func randomLinkFault(r *rand.Rand) stand.LinkBehaviour {
	return []stand.LinkBehaviour{
		{Down: true},
		{Frozen: true},
		{Blackhole: true},
		{DropForward: true},
		{DropBackward: true},
		{DelayMs: 150},
	}[r.IntN(6)]
}

// failStore makes all requests to the store fail in one way.
func failStore(ctx context.Context, cl *cluster, r *rand.Rand) error {
	defer cl.disturbances.begin(allEntries)()
	kinds := []platform.Fault{platform.FaultUnavailable, platform.FaultHang, platform.FaultReset, platform.FaultLostReply}
	cl.store.SetFault(kinds[r.IntN(len(kinds))])
	pause.Sleep(ctx, randomDuration(r))
	cl.store.SetFault(platform.FaultNone)
	return nil
}

// compactStore drops the store's history, so that watches from older revisions
// fail.
func compactStore(_ context.Context, cl *cluster, _ *rand.Rand) error {
	cl.store.Compact()
	return nil
}

// lostWrites is the number of writes of each upstream that a restored store loses.
const lostWrites = 4

// restoreStore takes the store away for a moment and returns it from a copy that is
// some time old. The operator and the upstreams then write again what the copy lacks,
// and the operator one more version.
func restoreStore(ctx context.Context, cl *cluster, r *rand.Rand) error {
	copied := cl.store.Copy()
	for range lostWrites {
		cl.registerUpstreamsAgain()
	}
	cl.writeConfig()
	pause.Sleep(ctx, randomDuration(r))
	defer cl.disturbances.begin(allEntries)()
	cl.store.SetFault(platform.FaultReset)
	pause.Sleep(ctx, randomDuration(r)/2)
	cl.store.Restore(copied)
	cl.store.SetFault(platform.FaultNone)
	pause.Sleep(ctx, randomDuration(r)/2)
	cl.rewriteConfig()
	cl.writeConfig()
	cl.registerUpstreamsAgain()
	return nil
}

// changeResponseMode makes an upstream respond in an abnormal way.
func changeResponseMode(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u := cl.upstreams[r.IntN(len(cl.upstreams))].latest()
	u.SetResponseMode([]platform.ResponseMode{platform.RespondError, platform.RejectRequest, platform.HangDuringRun, platform.ResetAfterRun, platform.OmitSignature, platform.TruncateBody, platform.DuplicateResponse}[r.IntN(7)])
	pause.Sleep(ctx, randomDuration(r))
	u.SetResponseMode(platform.RespondNormally)
	return nil
}

// disruptUpstreamLink disrupts the link to an upstream.
func disruptUpstreamLink(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u := cl.upstreams[r.IntN(len(cl.upstreams))]
	u.link.SetBehaviour(randomLinkFault(r))
	pause.Sleep(ctx, randomDuration(r))
	u.link.SetBehaviour(stand.LinkBehaviour{})
	return nil
}

// restartUpstream closes an upstream and starts it again under the same ID. In half
// of the cases its registration is removed meanwhile.
func restartUpstream(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u, release, ok := reserve(cl, r, cl.upstreams)
	if !ok {
		return nil
	}
	defer release()
	u.latest().Close()
	if r.IntN(2) == 0 {
		u.deregister()
	}
	pause.Sleep(ctx, randomDuration(r))
	u.start()
	return nil
}

// drainUpstream registers an upstream as draining for twice maxDrainDelay.
func drainUpstream(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u, release, ok := reserve(cl, r, cl.upstreams)
	if !ok {
		return nil
	}
	defer release()
	endDrain := u.startDrain()
	pause.Sleep(ctx, 2*maxDrainDelay)
	endDrain()
	return nil
}

// limitUpstream makes an upstream announce a limit of 0.5 to 8 requests a second.
func limitUpstream(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u, release, ok := reserve(cl, r, cl.upstreams)
	if !ok {
		return nil
	}
	defer release()
	endLimit := u.startLimit(0.5 + 7.5*r.Float64())
	pause.Sleep(ctx, limitGrace+2*limitWindow)
	endLimit()
	return nil
}

// leaveUpstream makes an upstream say that it is leaving, although the store lists it as
// ready, and then starts it again.
func leaveUpstream(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u, release, ok := reserve(cl, r, cl.upstreams)
	if !ok {
		return nil
	}
	defer release()
	u.latest().SetLeaving(true)
	end := u.startNotice(untilEnd)
	pause.Sleep(ctx, 2*maxDrainDelay)
	end()
	u.latest().Close()
	u.start()
	return nil
}

// pauseUpstream makes an upstream refuse all requests and ask the entry to back off for 1
// to 3 seconds.
func pauseUpstream(ctx context.Context, cl *cluster, r *rand.Rand) error {
	u, release, ok := reserve(cl, r, cl.upstreams)
	if !ok {
		return nil
	}
	defer release()
	wait := time.Duration(1000+r.IntN(2000)) * time.Millisecond
	run := u.latest()
	run.SetRetryAfter(strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	run.SetResponseMode(platform.RejectRequest)
	end := u.startNotice(wait)
	pause.Sleep(ctx, 2*wait)
	end()
	run.SetResponseMode(platform.RespondNormally)
	run.SetRetryAfter("")
	return nil
}

// changeConfig writes up to five versions of the configuration.
func changeConfig(ctx context.Context, cl *cluster, r *rand.Rand) error {
	for range 1 + r.IntN(5) {
		cl.writeConfig()
		pause.Sleep(ctx, time.Duration(20+r.IntN(400))*time.Millisecond)
	}
	return nil
}
