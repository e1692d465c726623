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

// fault is one failure or one planned change of the cluster.
type fault struct {
	name string
	// durationSeconds is the duration of the fault, and shortSeconds its duration
	// in a short run.
	durationSeconds, shortSeconds int
	// lossless is true if every request must get a complete response during the
	// fault.
	lossless bool
	inject   func(fi *faultInjection, random *rand.Rand, duration time.Duration)
}

func (f fault) duration(short bool) time.Duration {
	if short {
		return time.Duration(f.shortSeconds) * time.Second
	}
	return time.Duration(f.durationSeconds) * time.Second
}

func allFaults() []fault {
	return []fault{
		{"none", 4, 2, true, func(_ *faultInjection, _ *rand.Rand, duration time.Duration) { time.Sleep(duration) }},
		{"kill an entry", 4, 2, false, killEntry},
		{"kill an upstream", 4, 2, false, killUpstream},
		{"freeze a relay", 5, 3, false, freezeRelay},
		{"freeze an entry", 5, 3, false, freezeEntry},
		{"freeze an upstream", 5, 3, false, freezeUpstream},
		{"cut two regions", 30, 4, false, partitionRegions},
		{"service down", 8, 3, true, withPlatformBehaviour(PlatformBehaviour{Down: true})},
		{"service slow", 6, 3, true, withPlatformBehaviour(PlatformBehaviour{DelayMs: 400})},
		{"service loses replies", 6, 3, true, withPlatformBehaviour(PlatformBehaviour{DropWriteResponses: 40})},
		{"list late by 10 s", 12, 4, true, withPlatformBehaviour(PlatformBehaviour{ListLagMs: 10000})},
		{"two operators", 6, 3, true, submitConcurrentChanges},
		{"stop an entry", 14, 10, true, restartEntry},
		{"replace every entry", 30, 30, true, restartAllEntries},
		{"a third silent", 6, 3, false, blackholeConnections},
		{"drain an upstream", 8, 5, true, drainUpstream},
	}
}

func filterFaults(names []string) []fault {
	all := allFaults()
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(f fault) bool { return !slices.Contains(names, f.name) })
}

func randomEntry(fi *faultInjection, random *rand.Rand) *EntryProcess {
	return fi.cluster.Entries[random.IntN(len(fi.cluster.Entries))]
}

func randomUpstream(fi *faultInjection, random *rand.Rand) *UpstreamProcess {
	return fi.cluster.Upstreams[random.IntN(len(fi.cluster.Upstreams))]
}

func killEntry(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	e := randomEntry(fi, random)
	e.Kill()
	_ = e.Wait(startTimeout)
	time.Sleep(duration / 2)
	if err := fi.cluster.RestartEntry(e); err != nil {
		fi.addViolation("restart of %s: %v", e.Name, err)
	}
	time.Sleep(duration / 2)
}

func killUpstream(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	u := randomUpstream(fi, random)
	fi.cluster.KillUpstream(u)
	_ = u.Wait(startTimeout)
	time.Sleep(duration / 2)
	if err := fi.cluster.RestartUpstream(u); err != nil {
		fi.addViolation("restart of an upstream: %v", err)
	}
	time.Sleep(duration / 2)
}

// freezeRelay freezes a relay and submits a change, which all other entries must
// apply within maxPropagation.
func freezeRelay(fi *faultInjection, _ *rand.Rand, duration time.Duration) {
	for _, d := range fi.cluster.Dumps() {
		if !d.IsRelay {
			continue
		}
		i := slices.IndexFunc(fi.cluster.Entries, func(e *EntryProcess) bool { return e.Name == d.Instance.Name })
		e := fi.cluster.Entries[i]
		e.Signal(syscall.SIGSTOP)
		defer e.Signal(syscall.SIGCONT)
		other := fi.cluster.Entries[(i+1)%len(fi.cluster.Entries)]
		fi.submitAndWait(other, e.Name)
		time.Sleep(duration)
		return
	}
}

// maxPropagation limits the time from the submission of a change until every
// entry has applied it.
const maxPropagation = 4 * time.Second

// submitAndWait submits a change through the entry via and waits until all entries
// but the frozen one have applied it.
func (fi *faultInjection) submitAndWait(via *EntryProcess, frozen string) {
	start := time.Now()
	result, err := fi.cluster.SubmitComment(via, "with a frozen relay")
	if err != nil || result.Revision == 0 {
		return
	}
	for time.Since(start) < maxPropagation {
		behind := 0
		for _, d := range fi.cluster.dumpsExcept(frozen) {
			if d.Revision < result.Revision {
				behind++
			}
		}
		if behind == 0 {
			fi.cfg.Report(fmt.Sprintf("with the relay frozen, the other entries applied revision %d within %.2f s", result.Revision, time.Since(start).Seconds()))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	fi.addViolation("revision %d was not applied by every other entry within 4 s", result.Revision)
}

func (c *Cluster) dumpsExcept(name string) []entry.Dump {
	var out []entry.Dump
	for _, e := range c.Entries {
		if e.Name == name {
			continue
		}
		if d, err := FetchDump(e.OperatorAddress, Token); err == nil {
			out = append(out, d)
		}
	}
	return out
}

func freezeEntry(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	e := randomEntry(fi, random)
	e.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	e.Signal(syscall.SIGCONT)
}

func freezeUpstream(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	u := randomUpstream(fi, random)
	u.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	u.Signal(syscall.SIGCONT)
}

// partitionRegions takes down the links between two regions in both directions.
func partitionRegions(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	regions := fi.cluster.Document.Regions
	i := random.IntN(len(regions))
	a, b := regions[i].Name, regions[(i+1)%len(regions)].Name
	delay := int(fi.cluster.cfg.CrossRegionDelay.Milliseconds())
	for _, name := range []string{a + ">" + b, b + ">" + a} {
		l := fi.cluster.Links[name]
		_ = setBehaviour(l.Address, LinkBehaviour{DelayMs: delay, Down: true})
		defer func() { _ = setBehaviour(l.Address, LinkBehaviour{DelayMs: delay}) }()
	}
	time.Sleep(duration)
}

func withPlatformBehaviour(b PlatformBehaviour) func(*faultInjection, *rand.Rand, time.Duration) {
	return func(fi *faultInjection, _ *rand.Rand, duration time.Duration) {
		_ = setBehaviour(fi.cluster.Platform.Address, b)
		time.Sleep(duration)
		_ = setBehaviour(fi.cluster.Platform.Address, PlatformBehaviour{})
	}
}

// submitConcurrentChanges submits two changes at the same time, once per second.
// They must not both be accepted as the same revision.
func submitConcurrentChanges(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second) {
		i := random.IntN(len(fi.cluster.Entries))
		pair := []*EntryProcess{fi.cluster.Entries[i], fi.cluster.Entries[(i+1)%len(fi.cluster.Entries)]}
		var accepted [2]int64
		var wg sync.WaitGroup
		for n, e := range pair {
			wg.Go(func() {
				if a, err := fi.cluster.SubmitComment(e, "one of two"); err == nil {
					accepted[n] = a.Revision
				}
			})
		}
		wg.Wait()
		if accepted[0] != 0 && accepted[0] == accepted[1] {
			fi.addViolation("two changes were accepted as revision %d", accepted[0])
		}
	}
}

func restartEntry(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	start := time.Now()
	fi.stopAndRestart(randomEntry(fi, random))
	time.Sleep(duration - time.Since(start))
}

func (fi *faultInjection) stopAndRestart(e *EntryProcess) {
	if err := fi.cluster.StopEntry(e); err != nil {
		fi.addViolation("stop of %s: %v", e.Name, err)
	}
	if err := fi.cluster.RestartEntry(e); err != nil {
		fi.addViolation("restart of %s: %v", e.Name, err)
	}
}

// restartAllEntries stops and restarts every entry, a third of them at a time.
func restartAllEntries(fi *faultInjection, _ *rand.Rand, _ time.Duration) {
	const batches = 3
	for i := range batches {
		var wg sync.WaitGroup
		for n := i; n < len(fi.cluster.Entries); n += batches {
			wg.Go(func() { fi.stopAndRestart(fi.cluster.Entries[n]) })
		}
		wg.Wait()
		time.Sleep(settleDuration)
	}
}

func blackholeConnections(fi *faultInjection, _ *rand.Rand, duration time.Duration) {
	blackholeThird(fi.cluster)
	time.Sleep(duration)
	for _, l := range fi.cluster.Links {
		_ = setBehaviour(l.Address, LinkBehaviour{DelayMs: int(fi.cluster.cfg.CrossRegionDelay.Milliseconds())})
	}
}

// drainUpstream makes an upstream report that it drains, until it is restarted by
// another fault.
func drainUpstream(fi *faultInjection, random *rand.Rand, duration time.Duration) {
	u := randomUpstream(fi, random)
	b := fi.cluster.cfg.Upstream
	b.Draining = true
	_ = u.InjectFault(b)
	time.Sleep(duration)
}
