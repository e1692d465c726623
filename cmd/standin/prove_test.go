package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShortProve builds the command and injects some faults into entries that run
// as separate processes.
func TestShortProve(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	cmd := exec.Command(binary, "prove", "--short", "--entries", "6", "--pairs", "0",
		"--faults", "kill an entry,freeze an entry,freeze a relay,service loses replies,drain an upstream,stop an entry")
	timer := time.AfterFunc(3*time.Minute, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	out, err = cmd.CombinedOutput()
	t.Log(string(out))
	require.NoError(t, err)
}
