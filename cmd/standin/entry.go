package main

import (
	"context"
	"fmt"
	"os"

	"magnolialedge/io/entry"
	"magnolialedge/io/stand"
)

// entryCommand runs an entry and prints its addresses, for the commands that start
// entries as processes.
type entryCommand struct {
	entry.Settings
}

// Run runs the entry until ctx is done.
func (c *entryCommand) Run(ctx context.Context) error {
	e, err := entry.New(c.Settings, os.Stderr)
	if err != nil {
		return err
	}
	self := e.Self()
	fmt.Println(stand.ListeningLine(self.CallerAddress + " " + self.PeerAddress + " " + e.OperatorAddress()))
	return e.Run(ctx)
}
