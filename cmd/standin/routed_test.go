package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRoutedCommandCutsEntriesOff(t *testing.T) {
	for i, mode := range []string{"hang", "reset", "refuseNew"} {
		c := &routedCommand{
			Entries: 3, FirstPort: 18200 + 20*i, UpstreamsPerZone: 2, Slots: 4, ServiceTime: 10 * time.Millisecond, RequestsPerSecond: 60, Duration: 900 * time.Millisecond, Seed: 1,
			cutOptions: cutOptions{CutEntries: 1, CutMode: mode, CutFor: 200 * time.Millisecond, CutTimes: 2},
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		require.NoError(t, c.Run(ctx))
	}
}

func TestRoutedCommandRunsMeasurement(t *testing.T) {
	c := &routedCommand{Entries: 2, FirstPort: 18160, UpstreamsPerZone: 2, Slots: 4, ServiceTime: 10 * time.Millisecond, NoiseProbability: 0.25, RequestsPerSecond: 60, Duration: 500 * time.Millisecond, Seed: 1, NoiseInterval: 100 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.Run(ctx))
}

// Guards against keys of the sample accounts that the entries refuse.
func TestRoutedCommandMeasuresAccounts(t *testing.T) {
	c := &routedCommand{
		Entries: 2, FirstPort: 18280, UpstreamsPerZone: 2, Slots: 4, ServiceTime: 10 * time.Millisecond, RequestsPerSecond: 60, Duration: 500 * time.Millisecond, Seed: 1,
		accountOptions: accountOptions{Accounts: 2},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.Run(ctx))
	require.Empty(t, (&accountOptions{}).key(7))
	require.Equal(t, "sample-key-1", c.key(7))
}
