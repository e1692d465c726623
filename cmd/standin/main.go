// Command standin runs simulations of the systems around an entry, such as
// upstreams and the platform, and load tests, benchmarks and fault tests of entries.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type commands struct {
	All      allCommand      `cmd:"" help:"Run a platform, upstreams and entries in one process, with a sample document."`
	Platform platformCommand `cmd:"" help:"Run a simulated platform: a key-value service and a list of instances."`
	Upstream upstreamCommand `cmd:"" help:"Run a simulated upstream."`
	Link     linkCommand     `cmd:"" help:"Run a gateway that adds delay and can close connections or drop data."`
	Routed   routedCommand   `cmd:"" help:"Run entries on a simulation of the users' platform with upstreams of varying speed, and measure them."`
	Load     loadCommand     `cmd:"" help:"Send requests to entries as callers do, and print the results."`
	Entry    entryCommand    `cmd:"" hidden:"" help:"Run an entry instance; used by commands that start many."`
	Measure  measureCommand  `cmd:"" help:"Compare the load balancing with a naive baseline, and print a table."`
	Slopes   slopesCommand   `cmd:"" help:"Measure the resource usage of idle entries for different numbers of entries and targets."`
	Prove    proveCommand    `cmd:"" help:"Inject faults under load and check invariants."`
	Soak     soakCommand     `cmd:"" help:"Run entries on a simulation of the users' platform as separate processes, inject random faults, and check invariants."`
}

func main() {
	var c commands
	k := kong.Must(&c, kong.Name("standin"), kong.Description("Simulated environment, load tests and fault tests for magnolialedge."), kong.UsageOnError())
	parsed, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
