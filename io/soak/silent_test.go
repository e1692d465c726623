package soak

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge/core/mirror"
	platform "magnolialedge/platform/stand"
)

const (
	// silenceTime is how long an entry is silent. A lease that was renewed just before ends
	// within it.
	silenceTime = 8 * time.Second
	// returnTime is the time after which an entry must be named again that responds again.
	returnTime = time.Second
)

// besideSilence does something to the other entries, or to the store, while one entry is
// silent.
type besideSilence func(cl *cluster, others []*entry) error

func nothingBeside(*cluster, []*entry) error { return nil }

// stopInTurn stops the other entries one after the other, each while the one before stops.
func stopInTurn(cl *cluster, others []*entry) error {
	return forEach(others, func(i int, e *entry) error {
		time.Sleep(time.Duration(i) * time.Second)
		defer cl.disturbances.begin(e.settings.Name)()
		return cl.restartGracefully(e)
	})
}

// killAll kills the other entries at the same moment and starts them again.
func killAll(cl *cluster, others []*entry) error {
	time.Sleep(time.Second)
	return forEach(others, func(_ int, e *entry) error {
		defer cl.disturbances.begin(e.settings.Name)()
		e.stop(syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		return e.start()
	})
}

// killHalf kills and starts the other entries of the region but one, after they have found the
// silence.
func killHalf(cl *cluster, others []*entry) error {
	time.Sleep(2 * time.Second)
	return killAll(cl, slices.DeleteFunc(slices.Clone(others), func(e *entry) bool { return e.settings.Region != "east" })[1:])
}

// loseStore lets all calls to the store hang.
func loseStore(cl *cluster, _ []*entry) error {
	cl.store.SetFault(platform.FaultHang)
	time.Sleep(silenceTime)
	cl.store.SetFault(platform.FaultNone)
	return nil
}

func forEach(entries []*entry, f func(int, *entry) error) error {
	errs := make(chan error, len(entries))
	for i, e := range entries {
		go func() { errs <- f(i, e) }()
	}
	for range entries {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// Guards against resolve responses that name an entry which has long been off or hangs: because the
// only entry that knew has stopped, because the kernel accepts connections for a program that
// does not respond, or because an entry that has just started knows nothing of it. Also
// guards against leaving out an entry that responds.
func TestSilentEntryIsNotNamed(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for i, c := range []struct {
		name    string
		silence silencing
		beside  besideSilence
	}{
		{"paused", pauseProcess, nothingBeside},
		{"without power", powerOff, nothingBeside},
		{"without power, others stop in turn", powerOff, stopInTurn},
		{"paused, others stop in turn", pauseProcess, stopInTurn},
		{"without power, others of the region are killed", powerOff, killHalf},
		{"without power, all others are killed", powerOff, killAll},
		{"without power, the store is away", powerOff, loseStore},
		{"killed, all others are killed", killProcess, killAll},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cl, err := newCluster(Config{Binary: binary, Dir: t.TempDir(), Entries: 6, Upstreams: 2, Seed: uint64(40 + i)})
			defer cl.close()
			require.NoError(t, err)
			require.NoError(t, cl.waitReady(context.Background()))
			time.Sleep(settleTime)
			silent := cl.namedEntry(t)
			others := slices.DeleteFunc(slices.Clone(cl.entries), func(e *entry) bool { return e == silent })
			end, err := c.silence(silent)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), silenceTime)
			defer cancel()
			besides := make(chan error, 1)
			go func() { besides <- c.beside(cl, others) }()
			counts := cl.watchSilence(ctx, silent, mirror.DefaultPropagation)
			require.NoError(t, <-besides)
			require.NoError(t, end())
			t.Logf("%d responses, %d late, %d times a live entry was left out", counts.responses, len(counts.late), len(counts.leftOut))
			if len(counts.late)+len(counts.leftOut) > 0 {
				t.Log(cl.steeringLines(t))
			}
			require.Greater(t, counts.responses, 100)
			require.Empty(t, counts.late)
			require.Empty(t, counts.leftOut)
			require.Eventually(t, func() bool { return cl.isNamedEverywhere(silent) }, returnTime, pollInterval/4)
		})
	}
}

// namedEntry returns an entry that resolve responses name to the callers of its region.
func (cl *cluster) namedEntry(t *testing.T) *entry {
	for _, e := range cl.entries {
		addresses, err := platform.Resolve(context.Background(), http.DefaultClient, e.settings.DirectoryAddress, "east")
		require.NoError(t, err)
		if e.settings.Region == "east" && slices.Contains(addresses, e.settings.CallerAddress) {
			return e
		}
	}
	require.FailNow(t, "no entry is named to the callers of its region")
	return nil
}

// steeringLines returns the lines of all logs that tell whom resolve responses leave out, and when entries
// started and stopped.
func (cl *cluster) steeringLines(t *testing.T) string {
	var out []string
	for _, e := range cl.entries {
		text, err := os.ReadFile(e.logPath)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if steeringLine.MatchString(line) {
				out = append(out, line)
			}
		}
	}
	slices.SortFunc(out, func(a, b string) int { return strings.Compare(timeOf(a), timeOf(b)) })
	return strings.Join(out, "")
}

var steeringLine = regexp.MustCompile(`name=(ready|draining|stopped|steeringChanged|memberGone) `)

// timeOf returns the time field of a log line.
func timeOf(line string) string {
	_, after, _ := strings.Cut(line, "ts=")
	return after[:min(len(after), len("2006-01-02T15:04:05.000000"))]
}

// isNamedEverywhere reports whether all entries name the given one to the callers of its region.
func (cl *cluster) isNamedEverywhere(e *entry) bool {
	client := &http.Client{Timeout: pollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, o := range cl.entries {
		addresses, err := platform.Resolve(context.Background(), client, o.settings.DirectoryAddress, e.settings.Region)
		if err != nil || !slices.Contains(addresses, e.settings.CallerAddress) {
			return false
		}
	}
	return true
}
