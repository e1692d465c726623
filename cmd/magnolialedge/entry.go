package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"magnolialedge/io/entry"
)

// entryCommand runs an entry that is configured by flags.
type entryCommand struct {
	entry.Settings
}

// Run runs the entry until SIGTERM or SIGINT stops it.
func (c *entryCommand) Run() error {
	e, err := entry.New(c.Settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx)
}
