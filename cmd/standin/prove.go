package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/stand"
)

// proveCommand injects each fault, and pairs of faults, into a system under load.
type proveCommand struct {
	Entries    int      `help:"Number of entries." default:"16"`
	FaultPairs int      `name:"pairs" help:"Number of times that two faults are injected at once." default:"4"`
	Faults     []string `help:"Names of the faults to inject; all if empty."`
	Seed       uint64   `help:"Seed of the random choices." default:"1"`
	Short      bool     `help:"Shorten each fault."`
	LogDir     string   `help:"Directory for the logs of the entries."`
}

// Run injects the faults under load and prints each violated invariant.
func (c *proveCommand) Run(ctx context.Context) error {
	fmt.Println(stand.FaultInjectionTableHeader)
	breaches, err := stand.InjectFaults(ctx, stand.FaultInjectionConfig{
		Entries:     c.Entries,
		FaultPairs:  c.FaultPairs,
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
