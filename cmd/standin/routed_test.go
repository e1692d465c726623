package main

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRoutedRunsAndMeasures(t *testing.T) {
	c := &routedCommand{Entries: 2, Port: 18160, PerZone: 2, Slots: 4, Work: 10 * time.Millisecond, Noise: 0.25, Rate: 60, Duration: 500 * time.Millisecond, Seed: 1, NoiseStep: 100 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	require.NoError(t, c.Run(ctx))
}
