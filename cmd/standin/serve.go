package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"magnolialedge/io/stand"
)

// platformCommand runs a simulated platform.
type platformCommand struct {
	Listen          string  `help:"Address to listen on." default:"127.0.0.1:7000"`
	WritesPerSecond float64 `name:"writes" help:"Maximum number of writes per second." default:"400"`
	ReadsPerSecond  float64 `name:"reads" help:"Maximum number of reads per second." default:"2000"`
}

// Run serves until ctx is done.
func (c *platformCommand) Run(ctx context.Context) error {
	p := stand.NewPlatform(stand.PlatformConfig{MaxWritesPerSecond: c.WritesPerSecond, MaxReadsPerSecond: c.ReadsPerSecond})
	return serve(ctx, c.Listen, p.Handler())
}

// linkCommand runs a gateway between two regions.
type linkCommand struct {
	Listen  string `help:"Address to listen on." required:""`
	DelayMs int    `help:"One-way delay in milliseconds." default:"20"`
}

// Run serves until ctx is done.
func (c *linkCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, stand.NewLink(stand.LinkBehaviour{DelayMs: c.DelayMs}).Handler())
}

// serve serves h until ctx is done. It prints the address on which it listens.
func serve(ctx context.Context, address string, h http.Handler) error {
	s, err := stand.Listen(address, h)
	if err != nil {
		return err
	}
	fmt.Println(stand.ListeningLine(s.Address()))
	<-ctx.Done()
	s.Close()
	return nil
}

// upstreamCommand runs a simulated upstream.
type upstreamCommand struct {
	Listen        string        `help:"Address to listen on." required:""`
	Name          string        `help:"Name of the upstream in its responses." required:""`
	Slots         int           `help:"Number of requests that run at a time." default:"4"`
	QueueCapacity int           `name:"queue" help:"Number of requests that may wait for a slot; more are rejected." default:"16"`
	MeanMs        float64       `help:"Mean service time in milliseconds." default:"5"`
	Constant      bool          `help:"Use the mean service time for each request."`
	NoiseFactor   float64       `help:"Factor by which requests are slower during noise." default:"1"`
	NoiseForMs    int           `help:"Duration of each period of noise in milliseconds." default:"0"`
	NoiseEveryMs  int           `help:"Time between the starts of two periods of noise in milliseconds." default:"0"`
	ColdMs        int           `help:"Time in milliseconds until a new upstream reaches full speed." default:"0"`
	CrashFor      time.Duration `help:"Time for which the upstream is down after a crash." default:"2s"`
	Seed          uint64        `help:"Seed of the random choices." default:"1"`
}

// Run serves until ctx is done.
func (c *upstreamCommand) Run(ctx context.Context) error {
	u := stand.NewUpstream(stand.UpstreamConfig{
		Name:          c.Name,
		Slots:         c.Slots,
		MaxQueue:      c.QueueCapacity,
		Seed:          c.Seed,
		CrashDuration: c.CrashFor,
		Behaviour: stand.UpstreamBehaviour{
			MeanServiceTimeMs:   c.MeanMs,
			ConstantServiceTime: c.Constant,
			NoiseFactor:         c.NoiseFactor,
			NoiseDurationMs:     c.NoiseForMs,
			NoisePeriodMs:       c.NoiseEveryMs,
			WarmUpMs:            c.ColdMs,
		},
	})
	if err := u.Start(c.Listen); err != nil {
		return err
	}
	fmt.Println(stand.ListeningLine(u.Address()))
	<-ctx.Done()
	u.Close()
	return nil
}
