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

// cases are the seeds that a test run plays.
var cases = []struct {
	seed uint64
	// cause is what made the seed fail once; empty for one that never did.
	cause string
}{
	{seed: 1},
}

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "magnolialedge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/magnolialedge").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// TestKilledEntryLeavesTheAnswersSoon kills each entry in turn, the region's
// watcher of the store among them.
func TestKilledEntryLeavesTheAnswersSoon(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	w, err := newWorld(Config{Binary: buildProgram(t), Dir: t.TempDir(), Entries: 6, Upstreams: 2, Seed: 2})
	defer w.close()
	require.NoError(t, err)
	require.NoError(t, w.awaitReady(context.Background()))
	time.Sleep(settled)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, killed := range w.entries {
		require.False(t, killed.finish(syscall.SIGKILL))
		require.Eventually(t, func() bool {
			for j, e := range w.entries {
				found, err := platform.Resolve(context.Background(), client, e.settings.DirectoryAddr, e.settings.Region)
				if i != j && (err != nil || slices.Contains(found, killed.settings.CallerAddr)) {
					return false
				}
			}
			return true
		}, time.Second, 10*time.Millisecond)
		require.NoError(t, killed.start())
		require.NoError(t, w.awaitReady(context.Background()))
		time.Sleep(settled)
	}
}

func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := buildProgram(t)
	for _, c := range cases {
		t.Run(fmt.Sprint(c.seed, c.cause), func(t *testing.T) {
			folder := t.TempDir()
			report, err := os.Create(filepath.Join(folder, "faults.txt"))
			require.NoError(t, err)
			defer report.Close()
			r, err := Run(context.Background(), Config{
				Binary: program, Dir: folder, Entries: 4, Upstreams: 6, RequestsPerSecond: 40, Duration: 8 * time.Second, Seed: c.seed, FaultLog: report,
			})
			require.NoError(t, err)
			require.Empty(t, r.Breaches)
			require.Greater(t, r.Succeeded, r.Requests/2)
		})
	}
}
