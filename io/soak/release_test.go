package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// noHistoryStatus is the exit status of scripts/previous without the history of the
// repository.
const noHistoryStatus = 3

// mixedSeeds holds the seeds that TestShortMixedSoak runs.
var mixedSeeds = []struct {
	seed  uint64
	first Release
	// cause is the fault that the seed once found, or empty.
	cause string
}{
	{seed: 61002, first: ReleasePrevious},
}

// buildPrevious returns the program of the earlier release. It skips the test without the
// history of the repository; .ci/run prints the reason.
func buildPrevious(t *testing.T) string {
	t.Helper()
	var stderr strings.Builder
	cmd := exec.Command("../../scripts/previous")
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == noHistoryStatus {
		t.Skip(stderr.String())
	}
	require.NoError(t, err, stderr.String())
	return strings.TrimSpace(string(out))
}

// Guards against a seed that does not repeat its mixture of releases, and against one that
// changes its faults although there is a single release.
func TestReleasesFollowFromTheSeed(t *testing.T) {
	binaries := func(cfg Config) (out []string) {
		cl := emptyCluster()
		cl.cfg, cl.starts = cfg, map[Release]int{}
		cl.cfg.FaultLog = io.Discard
		for range 20 {
			cl.entries = append(cl.entries, &entry{binary: cfg.Binary})
		}
		cl.chooseInitialReleases()
		for _, e := range cl.entries {
			out = append(out, e.binary)
		}
		return out
	}
	mixed := Config{Binary: "new", PreviousBinary: "old", Seed: 5}
	require.Equal(t, binaries(mixed), binaries(mixed))
	require.Subset(t, binaries(mixed), []string{"new", "old"})
	require.NotContains(t, binaries(Config{Binary: "new", Seed: 5}), "old")
	mixed.InitialRelease = ReleasePrevious
	require.NotContains(t, binaries(mixed), "new")

	r, untouched := rand.New(rand.NewPCG(5, 0)), rand.New(rand.NewPCG(5, 0))
	emptyCluster().setRelease(&entry{}, ReleaseMixed, r)
	require.Equal(t, untouched.Uint64(), r.Uint64())
}

// TestShortMixedSoak guards against messages and stored items that one of two releases
// side by side takes for something else.
func TestShortMixedSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	previous, current := buildPrevious(t), buildBinary(t)
	for _, c := range mixedSeeds {
		t.Run(fmt.Sprint(c.seed, c.first, c.cause), func(t *testing.T) {
			r := runShortSoak(t, Config{Binary: current, PreviousBinary: previous, InitialRelease: c.first, Seed: c.seed})
			require.Positive(t, r.Starts[ReleaseCurrent])
			require.Positive(t, r.Starts[ReleasePrevious])
		})
	}
}
