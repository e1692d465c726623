package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platform "magnolialedge/platform/stand"
)

// soakSeeds holds the seeds that TestShortSoak runs.
var soakSeeds = []struct {
	seed uint64
	// cause is the fault that the seed once found, or empty.
	cause string
}{
	{seed: 1},
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "magnolialedge")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/magnolialedge").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// A killed entry must disappear from the resolve responses of all others within a
// second. Each entry is killed in turn, so that this includes the entry that watches
// the store for its region.
func TestKilledEntryIsRemovedFromResolveResponses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	cl, err := newCluster(Config{Binary: buildBinary(t), Dir: t.TempDir(), Entries: 6, Upstreams: 2, Seed: 2})
	defer cl.close()
	require.NoError(t, err)
	require.NoError(t, cl.waitReady(context.Background()))
	time.Sleep(settleTime)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, killed := range cl.entries {
		require.False(t, killed.stop(syscall.SIGKILL))
		require.Eventually(t, func() bool {
			for j, e := range cl.entries {
				addresses, err := platform.Resolve(context.Background(), client, e.settings.DirectoryAddress, e.settings.Region)
				if i != j && (err != nil || slices.Contains(addresses, killed.settings.CallerAddress)) {
					return false
				}
			}
			return true
		}, time.Second, 10*time.Millisecond)
		require.NoError(t, killed.start())
		require.NoError(t, cl.waitReady(context.Background()))
		time.Sleep(settleTime)
	}
}

// TestShortSoak runs a short soak test for each seed and expects no violated
// invariant.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := buildBinary(t)
	for _, c := range soakSeeds {
		t.Run(fmt.Sprint(c.seed, c.cause), func(t *testing.T) {
			runShortSoak(t, Config{Binary: binary, Seed: c.seed})
		})
	}
}

// runShortSoak runs a short soak test and expects no violated invariant.
func runShortSoak(t *testing.T, cfg Config) Result {
	t.Helper()
	cfg.Dir = t.TempDir()
	cfg.Entries, cfg.Upstreams, cfg.RequestsPerSecond, cfg.Duration = 4, 6, 40, 8*time.Second
	faultLog, err := os.Create(filepath.Join(cfg.Dir, "faults.txt"))
	require.NoError(t, err)
	defer faultLog.Close()
	cfg.FaultLog = faultLog
	r, err := Run(context.Background(), cfg)
	require.NoError(t, err)
	require.Empty(t, r.Breaches)
	require.Greater(t, r.Succeeded, r.Requests/2)
	return r
}
