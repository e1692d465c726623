package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"magnolialedge/io/pause"
	"magnolialedge/io/stand"
	platform "magnolialedge/platform/stand"
)

// fault is one kind of trouble. It returns when the trouble is over.
type fault struct {
	name string
	run  func(ctx context.Context, w *world, r *rand.Rand) error
}

// faults lists all kinds of trouble.
var faults = []fault{
	{"pause an entry", pauseEntry},
	{"kill an entry", killEntry},
	{"stop an entry", stopEntry},
	{"hang up on an entry", hangUp},
	{"an entry's store link", storeLink},
	{"the store", storeFault},
	{"the store's history is lost", compact},
	{"an upstream's manner", upstreamManner},
	{"an upstream's link", upstreamLink},
	{"an upstream dies and comes back", rebirth},
	{"an upstream drains", drain},
	{"configurations in quick succession", configure},
}

// length draws how long a trouble lasts.
func length(r *rand.Rand) time.Duration {
	return time.Duration(200+r.IntN(2300)) * time.Millisecond
}

func pauseEntry(ctx context.Context, w *world, r *rand.Rand) error {
	e := w.entries[r.IntN(len(w.entries))]
	defer w.calm.disturb(e.settings.Name)()
	p := e.running()
	p.signal(syscall.SIGSTOP)
	pause.Sleep(ctx, length(r))
	p.signal(syscall.SIGCONT)
	return nil
}

func killEntry(ctx context.Context, w *world, r *rand.Rand) error {
	e, letGo, ok := hold(w, r, w.entries)
	if !ok {
		return nil
	}
	defer letGo()
	defer w.calm.disturb(e.settings.Name)()
	e.finish(syscall.SIGKILL)
	pause.Sleep(ctx, length(r))
	return e.start()
}

// stopEntry stops an entry as planned and starts it again. Only the time between
// its end and its start disturbs it.
func stopEntry(_ context.Context, w *world, r *rand.Rand) error {
	e, letGo, ok := hold(w, r, w.entries)
	if !ok {
		return nil
	}
	defer letGo()
	begun := time.Now()
	if e.finish(syscall.SIGTERM) {
		w.breach("%s did not stop within %s of its signal at %s", e.settings.Name, stopLimit, begun.Format(time.StampMilli))
	}
	defer w.calm.disturb(e.settings.Name)()
	return e.start()
}

func hangUp(_ context.Context, w *world, r *rand.Rand) error {
	w.entries[r.IntN(len(w.entries))].running().signal(syscall.SIGHUP)
	return nil
}

func storeLink(ctx context.Context, w *world, r *rand.Rand) error {
	e := w.entries[r.IntN(len(w.entries))]
	defer w.calm.disturb(e.settings.Name)()
	e.link.SetBehaviour(drawLink(r))
	pause.Sleep(ctx, length(r))
	e.link.SetBehaviour(stand.LinkBehaviour{})
	return nil
}

func drawLink(r *rand.Rand) stand.LinkBehaviour {
	return []stand.LinkBehaviour{
		{Down: true},
		{Frozen: true},
		{Blackhole: true},
		{DropForward: true},
		{DropBackward: true},
		{DelayMs: 150},
	}[r.IntN(6)]
}

func storeFault(ctx context.Context, w *world, r *rand.Rand) error {
	defer w.calm.disturb(everything)()
	kinds := []platform.Fault{platform.FaultUnavailable, platform.FaultHang, platform.FaultReset, platform.FaultLostReply}
	w.store.SetFault(kinds[r.IntN(len(kinds))])
	pause.Sleep(ctx, length(r))
	w.store.SetFault(platform.FaultNone)
	return nil
}

func compact(_ context.Context, w *world, _ *rand.Rand) error {
	w.store.Compact()
	return nil
}

func upstreamManner(ctx context.Context, w *world, r *rand.Rand) error {
	u := w.ups[r.IntN(len(w.ups))].current()
	u.SetResponseMode([]platform.ResponseMode{platform.RespondError, platform.RejectRequest, platform.HangAfterRun, platform.ResetAfterRun, platform.OmitSignature, platform.TruncateBody, platform.DuplicateResponse}[r.IntN(7)])
	pause.Sleep(ctx, length(r))
	u.SetResponseMode(platform.RespondNormally)
	return nil
}

func upstreamLink(ctx context.Context, w *world, r *rand.Rand) error {
	u := w.ups[r.IntN(len(w.ups))]
	u.link.SetBehaviour(drawLink(r))
	pause.Sleep(ctx, length(r))
	u.link.SetBehaviour(stand.LinkBehaviour{})
	return nil
}

func rebirth(ctx context.Context, w *world, r *rand.Rand) error {
	u, letGo, ok := hold(w, r, w.ups)
	if !ok {
		return nil
	}
	defer letGo()
	u.current().Close()
	if r.IntN(2) == 0 {
		u.current().Deregister(w.store)
	}
	pause.Sleep(ctx, length(r))
	u.begin()
	return nil
}

func drain(ctx context.Context, w *world, r *rand.Rand) error {
	u, letGo, ok := hold(w, r, w.ups)
	if !ok {
		return nil
	}
	defer letGo()
	end := u.drain()
	pause.Sleep(ctx, 2*drainLimit)
	end()
	return nil
}

func configure(ctx context.Context, w *world, r *rand.Rand) error {
	for range 1 + r.IntN(5) {
		w.configure()
		pause.Sleep(ctx, time.Duration(20+r.IntN(400))*time.Millisecond)
	}
	return nil
}
