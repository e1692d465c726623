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

// soakCommand runs entries as separate processes under random faults.
type soakCommand struct {
	Program   string        `help:"Path of the entries' program." default:"target/magnolialedge"`
	Entries   int           `help:"Entries." default:"6"`
	Upstreams int           `help:"Upstreams." default:"9"`
	Rate      float64       `help:"Calls a second from each of two regions." default:"60"`
	Length    time.Duration `help:"How long faults are injected." default:"20s"`
	Seed      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"Number of seeds, one after the other." default:"1"`
	Folder    string        `help:"Folder for settings, logs and the faults of each seed; a new one if empty."`
}

// Run prints a line for each seed, and each breach.
func (c *soakCommand) Run(ctx context.Context) error {
	folder := c.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	broken := 0
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		breaches, err := c.one(ctx, seed, filepath.Join(folder, fmt.Sprint(seed)))
		if err != nil {
			return err
		}
		broken += breaches
	}
	if broken > 0 {
		return errors.Newf("%d breaches; logs are in %s", broken, folder)
	}
	return nil
}

func (c *soakCommand) one(ctx context.Context, seed uint64, folder string) (int, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return 0, err
	}
	report, err := os.Create(filepath.Join(folder, "faults.txt"))
	if err != nil {
		return 0, err
	}
	defer report.Close()
	r, err := soak.Run(ctx, soak.Config{
		Binary: c.Program, Dir: folder, Entries: c.Entries, Upstreams: c.Upstreams,
		RequestsPerSecond: c.Rate, Duration: c.Length, Seed: seed, FaultLog: report,
	})
	if err != nil {
		return 0, err
	}
	fmt.Printf("seed %d: %d faults, %d calls, %d answered, %d refused, %d breaches\n", seed, r.Faults, r.Requests, r.Succeeded, r.Rejected, len(r.Breaches))
	for _, b := range r.Breaches {
		fmt.Println("BREACH:", b)
	}
	return len(r.Breaches), nil
}
