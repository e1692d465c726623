package stand

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"magnolialedge/io/entry"
)

// fault is one thing that goes wrong, or one planned change.
type fault struct {
	name string
	// seconds is the usual length, and short the length of a short proof.
	seconds, short int
	// planned tells that no request may be cut by it.
	planned bool
	run     func(p *proof, random *rand.Rand, length time.Duration)
}

func (f fault) length(short bool) time.Duration {
	if short {
		return time.Duration(f.short) * time.Second
	}
	return time.Duration(f.seconds) * time.Second
}

func allFaults() []fault {
	return []fault{
		{"none", 4, 2, true, func(_ *proof, _ *rand.Rand, length time.Duration) { time.Sleep(length) }},
		{"kill an entry", 4, 2, false, killEntry},
		{"kill an upstream", 4, 2, false, killUpstream},
		{"freeze a relay", 5, 3, false, freezeRelay},
		{"freeze an entry", 5, 3, false, freezeEntry},
		{"freeze an upstream", 5, 3, false, freezeUpstream},
		{"cut two regions", 30, 4, false, cutRegions},
		{"service down", 8, 3, true, whileServiceIs(PlatformBehaviour{Down: true})},
		{"service slow", 6, 3, true, whileServiceIs(PlatformBehaviour{DelayMs: 400})},
		{"service loses replies", 6, 3, true, whileServiceIs(PlatformBehaviour{DropWriteResponses: 40})},
		{"list late by 10 s", 12, 4, true, whileServiceIs(PlatformBehaviour{ListLagMs: 10000})},
		{"two operators", 6, 3, true, twoOperators},
		{"stop an entry", 14, 10, true, stopEntry},
		{"replace every entry", 30, 30, true, replaceEntries},
		{"a third silent", 6, 3, false, silentConnections},
		{"drain an upstream", 8, 5, true, drainUpstream},
	}
}

func faultsNamed(names []string) []fault {
	all := allFaults()
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(names, f.name) })
}

func anyEntry(p *proof, random *rand.Rand) *EntryProcess {
	return p.world.Entries[random.IntN(len(p.world.Entries))]
}

func anyUpstream(p *proof, random *rand.Rand) *UpstreamProcess {
	return p.world.Upstreams[random.IntN(len(p.world.Upstreams))]
}

func killEntry(p *proof, random *rand.Rand, length time.Duration) {
	e := anyEntry(p, random)
	e.Kill()
	_ = e.Wait(startTimeout)
	time.Sleep(length / 2)
	if err := p.world.RestartEntry(e); err != nil {
		p.breach("restart of %s: %v", e.Name, err)
	}
	time.Sleep(length / 2)
}

func killUpstream(p *proof, random *rand.Rand, length time.Duration) {
	u := anyUpstream(p, random)
	p.world.KillUpstream(u)
	_ = u.Wait(startTimeout)
	time.Sleep(length / 2)
	if err := p.world.RestartUpstream(u); err != nil {
		p.breach("restart of an upstream: %v", err)
	}
	time.Sleep(length / 2)
}

// freezeRelay freezes a relay and submits a change meanwhile, which must be in
// force at all other entries within 4 s.
func freezeRelay(p *proof, _ *rand.Rand, length time.Duration) {
	for _, d := range p.world.Dumps() {
		if !d.Relay {
			continue
		}
		i := slices.IndexFunc(p.world.Entries, func(e *EntryProcess) bool { return e.Name == d.Instance.Name })
		e := p.world.Entries[i]
		e.Signal(syscall.SIGSTOP)
		defer e.Signal(syscall.SIGCONT)
		other := p.world.Entries[(i+1)%len(p.world.Entries)]
		p.submitAndWait(other, e.Name)
		time.Sleep(length)
		return
	}
}

// inForceLimit is the time within which a change is in force everywhere.
const inForceLimit = 4 * time.Second

func (p *proof) submitAndWait(by *EntryProcess, frozen string) {
	begun := time.Now()
	answer, err := p.world.SubmitComment(by, "with a frozen relay")
	if err != nil || answer.Revision == 0 {
		return
	}
	for time.Since(begun) < inForceLimit {
		behind := 0
		for _, d := range p.world.dumpsBut(frozen) {
			if d.Revision < answer.Revision {
				behind++
			}
		}
		if behind == 0 {
			p.cfg.Report(fmt.Sprintf("with a relay frozen, revision %d was in force at the others after %.2f s", answer.Revision, time.Since(begun).Seconds()))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.breach("revision %d wasn't in force everywhere after 4 s", answer.Revision)
}

func (w *Cluster) dumpsBut(name string) []entry.Dump {
	var out []entry.Dump
	for _, e := range w.Entries {
		if e.Name == name {
			continue
		}
		if d, err := FetchDump(e.OperatorsAddress, Token); err == nil {
			out = append(out, d)
		}
	}
	return out
}

func freezeEntry(p *proof, random *rand.Rand, length time.Duration) {
	e := anyEntry(p, random)
	e.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	e.Signal(syscall.SIGCONT)
}

func freezeUpstream(p *proof, random *rand.Rand, length time.Duration) {
	u := anyUpstream(p, random)
	u.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	u.Signal(syscall.SIGCONT)
}

// cutRegions cuts both directions between two regions.
func cutRegions(p *proof, random *rand.Rand, length time.Duration) {
	regions := p.world.Document.Regions
	i := random.IntN(len(regions))
	a, b := regions[i].Name, regions[(i+1)%len(regions)].Name
	delay := int(p.world.cfg.CrossRegionDelay.Milliseconds())
	for _, name := range []string{a + ">" + b, b + ">" + a} {
		l := p.world.Links[name]
		_ = control(l.Address, LinkBehaviour{DelayMs: delay, Down: true})
		defer func() { _ = control(l.Address, LinkBehaviour{DelayMs: delay}) }()
	}
	time.Sleep(length)
}

func whileServiceIs(b PlatformBehaviour) func(*proof, *rand.Rand, time.Duration) {
	return func(p *proof, _ *rand.Rand, length time.Duration) {
		_ = control(p.world.Platform.Address, b)
		time.Sleep(length)
		_ = control(p.world.Platform.Address, PlatformBehaviour{})
	}
}

// twoOperators submits two changes at the same moment, again and again; of each
// two exactly one must be accepted.
func twoOperators(p *proof, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second) {
		i := random.IntN(len(p.world.Entries))
		pair := []*EntryProcess{p.world.Entries[i], p.world.Entries[(i+1)%len(p.world.Entries)]}
		var accepted [2]int64
		var wg sync.WaitGroup
		for n, e := range pair {
			wg.Go(func() {
				if a, err := p.world.SubmitComment(e, "one of two"); err == nil {
					accepted[n] = a.Revision
				}
			})
		}
		wg.Wait()
		if accepted[0] != 0 && accepted[0] == accepted[1] {
			p.breach("two changes were accepted as revision %d", accepted[0])
		}
	}
}

func stopEntry(p *proof, random *rand.Rand, length time.Duration) {
	begun := time.Now()
	p.replace(anyEntry(p, random))
	time.Sleep(length - time.Since(begun))
}

func (p *proof) replace(e *EntryProcess) {
	if err := p.world.StopEntry(e); err != nil {
		p.breach("stop of %s: %v", e.Name, err)
	}
	if err := p.world.RestartEntry(e); err != nil {
		p.breach("restart of %s: %v", e.Name, err)
	}
}

// replaceEntries replaces every entry, a third of them at a time.
func replaceEntries(p *proof, _ *rand.Rand, _ time.Duration) {
	const atOnce = 3
	for i := range atOnce {
		var wg sync.WaitGroup
		for n := i; n < len(p.world.Entries); n += atOnce {
			wg.Go(func() { p.replace(p.world.Entries[n]) })
		}
		wg.Wait()
		time.Sleep(proveSettle)
	}
}

func silentConnections(p *proof, _ *rand.Rand, length time.Duration) {
	silenceThird(p.world)
	time.Sleep(length)
	for _, l := range p.world.Links {
		_ = control(l.Address, LinkBehaviour{DelayMs: int(p.world.cfg.CrossRegionDelay.Milliseconds())})
	}
}

// drainUpstream lets an upstream drain, and restarts it as a new one.
func drainUpstream(p *proof, random *rand.Rand, length time.Duration) {
	u := anyUpstream(p, random)
	b := p.world.cfg.Upstream
	b.Draining = true
	_ = u.InjectFault(b)
	time.Sleep(length)
}
