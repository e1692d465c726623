package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/stand"
)

type proveCommand struct {
	Entries int      `help:"Entries." default:"16"`
	Pairs   int      `help:"Pairs of faults that are met at once." default:"4"`
	Faults  []string `help:"Names of the faults to meet; none stands for all."`
	Seed    uint64   `help:"Seed of the random choices." default:"1"`
	Short   bool     `help:"Lessen the length of each fault."`
	LogDir  string   `help:"Folder for the entries' logs."`
}

// Run meets the faults under load and prints each breach of what must hold.
func (c *proveCommand) Run(ctx context.Context) error {
	fmt.Println(stand.FaultInjectionTableHeader)
	breaches, err := stand.InjectFaults(ctx, stand.FaultInjectionConfig{
		Entries:     c.Entries,
		FaultPairs:  c.Pairs,
		FaultNames:  c.Faults,
		Seed:        c.Seed,
		ShortFaults: c.Short,
		LogDir:      c.LogDir,
		Report:      func(line string) { fmt.Println(line) },
	})
	if err != nil {
		return err
	}
	for _, b := range breaches {
		fmt.Println("BREACH:", b)
	}
	if len(breaches) > 0 {
		return errors.Newf("%d breaches", len(breaches))
	}
	fmt.Println("no breach")
	return nil
}
