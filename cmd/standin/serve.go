package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"magnolialedge/io/stand"
)

type platformCommand struct {
	Listen string  `help:"Address to listen on." default:"127.0.0.1:7000"`
	Writes float64 `help:"Writes a second that the service takes." default:"400"`
	Reads  float64 `help:"Reads a second that the service takes." default:"2000"`
}

// Run serves until ctx is done.
func (c *platformCommand) Run(ctx context.Context) error {
	p := stand.NewPlatform(stand.PlatformConfig{MaxWritesPerSecond: c.Writes, MaxReadsPerSecond: c.Reads})
	return serve(ctx, c.Listen, p.Handler())
}

type linkCommand struct {
	Listen  string `help:"Address to listen on." required:""`
	DelayMs int    `help:"One-way delay in milliseconds." default:"20"`
}

// Run serves until ctx is done.
func (c *linkCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, stand.NewLink(stand.LinkBehaviour{DelayMs: c.DelayMs}).Handler())
}

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

type upstreamCommand struct {
	Listen       string        `help:"Address to listen on." required:""`
	Name         string        `help:"Name that answers carry." required:""`
	Slots        int           `help:"Requests that run at once." default:"4"`
	Queue        int           `help:"Requests that wait for a slot; more are shed." default:"16"`
	MeanMs       float64       `help:"Mean time of a request in milliseconds." default:"5"`
	Constant     bool          `help:"Each request takes the mean time."`
	NoiseFactor  float64       `help:"Factor of slowness while noise lasts." default:"1"`
	NoiseForMs   int           `help:"Length of each noise in milliseconds." default:"0"`
	NoiseEveryMs int           `help:"Time from one noise to the next in milliseconds." default:"0"`
	ColdMs       int           `help:"Time in milliseconds over which a new upstream gets to full speed." default:"0"`
	CrashFor     time.Duration `help:"Time for which a crash takes the upstream away." default:"2s"`
	Seed         uint64        `help:"Seed of the random choices." default:"1"`
}

// Run serves until ctx is done.
func (c *upstreamCommand) Run(ctx context.Context) error {
	u := stand.NewUpstream(stand.UpstreamConfig{
		Name:          c.Name,
		Slots:         c.Slots,
		MaxQueue:      c.Queue,
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
