package main

import (
	"context"
	"fmt"
	"os"

	"magnolialedge/io/entry"
	"magnolialedge/io/stand"
)

type entryCommand struct {
	entry.Settings
}

// Run serves until ctx is done.
func (c *entryCommand) Run(ctx context.Context) error {
	e, err := entry.New(c.Settings, os.Stderr)
	if err != nil {
		return err
	}
	self := e.Self()
	fmt.Println(stand.ListeningLine(self.CallerAddress + " " + self.PeerAddress + " " + e.OperatorAddress()))
	return e.Run(ctx)
}
