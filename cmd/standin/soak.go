package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/soak"
)

// soakCommand runs soak tests of entries with random faults.
type soakCommand struct {
	Binary            string        `name:"program" help:"Path of the magnolialedge binary." default:"target/magnolialedge"`
	PreviousBinary    string        `name:"previous" help:"Path of the binary of an earlier release (see scripts/previous). If set, entries start and restart with either."`
	InitialRelease    string        `name:"first" help:"Release that the entries run at first, with --previous." enum:"current,previous,mixed" default:"mixed"`
	Entries           int           `help:"Number of entries." default:"6"`
	Upstreams         int           `help:"Number of upstreams." default:"9"`
	RequestsPerSecond float64       `name:"rate" help:"Requests per second from each of two regions." default:"60"`
	Duration          time.Duration `name:"length" help:"Time during which faults are injected." default:"20s"`
	Seed              uint64        `help:"First seed." default:"1"`
	SeedCount         int           `name:"seeds" help:"Number of seeds to run, one after the other." default:"1"`
	StopRounds        int           `name:"stop-rounds" help:"If set, entries are only stopped and started again, so many times, under load from callers of all kinds."`
	StopCallers       int           `name:"stop-callers" help:"Number of callers of each kind, with --stop-rounds." default:"20"`
	Dir               string        `name:"folder" help:"Directory for the settings, logs and faults of each seed; a new one if empty."`
}

// Run runs a test for each seed, and prints its counts and violated invariants.
func (c *soakCommand) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	total := 0
	for i := range c.SeedCount {
		seed := c.Seed + uint64(i)
		breaches, err := c.runSeed(ctx, seed, filepath.Join(dir, fmt.Sprint(seed)))
		if err != nil {
			return err
		}
		total += breaches
	}
	if total > 0 {
		return errors.Newf("%d breaches; logs are in %s", total, dir)
	}
	return nil
}

// runSeed runs the test for one seed and returns the number of violated invariants.
func (c *soakCommand) runSeed(ctx context.Context, seed uint64, dir string) (int, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return 0, err
	}
	faultLog, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		return 0, err
	}
	defer faultLog.Close()
	cfg := soak.Config{
		Binary: c.Binary, PreviousBinary: c.PreviousBinary, InitialRelease: soak.Release(c.InitialRelease), Dir: dir, Entries: c.Entries, Upstreams: c.Upstreams,
		RequestsPerSecond: c.RequestsPerSecond, Duration: c.Duration, Seed: seed, FaultLog: faultLog,
	}
	var r soak.Result
	if c.StopRounds > 0 {
		r, err = soak.RunStops(ctx, soak.StopsConfig{Config: cfg, Rounds: c.StopRounds, Callers: c.StopCallers})
	} else {
		r, err = soak.Run(ctx, cfg)
	}
	if err != nil {
		return 0, err
	}
	fmt.Printf("seed %d: %d faults, %d calls, %d answered, %d refused, %d breaches\n", seed, r.Faults, r.Requests, r.Succeeded, r.Rejected, len(r.Breaches))
	if c.PreviousBinary != "" {
		fmt.Printf("seed %d: %d starts with the current release, %d with the previous one\n", seed, r.Starts[soak.ReleaseCurrent], r.Starts[soak.ReleasePrevious])
	}
	for _, b := range r.Breaches {
		fmt.Println("BREACH:", b)
	}
	return len(r.Breaches), nil
}
