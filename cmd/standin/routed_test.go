package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRoutedCommandRunsMeasurement(t *testing.T) {
	c := &routedCommand{Entries: 2, FirstPort: 18160, UpstreamsPerZone: 2, Slots: 4, ServiceTime: 10 * time.Millisecond, NoiseProbability: 0.25, RequestsPerSecond: 60, Duration: 500 * time.Millisecond, Seed: 1, NoiseInterval: 100 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.Run(ctx))
}
