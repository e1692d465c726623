package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cases are the seeds that a test run plays.
var cases = []struct {
	seed uint64
	// cause is what made the seed fail once; empty for one that never did.
	cause string
}{
	{seed: 1},
}

func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := filepath.Join(t.TempDir(), "magnolialedge")
	out, err := exec.Command("go", "build", "-o", program, "../../cmd/magnolialedge").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, c := range cases {
		t.Run(fmt.Sprint(c.seed, c.cause), func(t *testing.T) {
			folder := t.TempDir()
			report, err := os.Create(filepath.Join(folder, "faults.txt"))
			require.NoError(t, err)
			defer report.Close()
			r, err := Run(context.Background(), Config{
				Program: program, Folder: folder, Entries: 4, Upstreams: 6, Rate: 40, Length: 8 * time.Second, Seed: c.seed, Report: report,
			})
			require.NoError(t, err)
			require.Empty(t, r.Breaches)
			require.Greater(t, r.Answered, r.Calls/2)
		})
	}
}
