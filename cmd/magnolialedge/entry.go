package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"magnolialedge/io/entry"
)

type entryCommand struct {
	entry.Settings
}

// Run serves until a signal asks the entry to stop.
func (c *entryCommand) Run() error {
	e, err := entry.New(c.Settings, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return e.Run(ctx)
}
