// Command standin runs small stand-ins for what surrounds an entry, and loads
// and measures entries.
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
	All      allCommand      `cmd:"" help:"Run everything in one process, with a sample document."`
	Platform platformCommand `cmd:"" help:"Run the platform: key-value service and list of instances."`
	Upstream upstreamCommand `cmd:"" help:"Run one upstream."`
	Link     linkCommand     `cmd:"" help:"Run a gateway that adds delay and can be cut or fall silent."`
	Routed   routedCommand   `cmd:"" help:"Run entries on a stand-in of the users' platform, with noisy upstreams, and measure them."`
	Load     loadCommand     `cmd:"" help:"Call entries as callers do, and print what came back."`
	Entry    entryCommand    `cmd:"" hidden:"" help:"Run an entry instance, for the commands that start many."`
	Measure  measureCommand  `cmd:"" help:"Measure the decisions against the naive ones, and print a table."`
	Slopes   slopesCommand   `cmd:"" help:"Measure what entries cost without requests, over their number and that of targets."`
	Prove    proveCommand    `cmd:"" help:"Meet faults under load and check what must always hold."`
	Soak     soakCommand     `cmd:"" help:"Run entries on a stand-in of the users' platform as separate processes, under random faults, and check what must always hold."`
}

func main() {
	var c commands
	k := kong.Must(&c, kong.Name("standin"), kong.Description("Stand-ins and load for magnolialedge."), kong.UsageOnError())
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
