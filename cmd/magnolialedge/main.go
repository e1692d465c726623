// Command magnolialedge runs an entry of the load balancer, and is the command-line
// tool of its operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/io/entry"
)

// version is set by the linker.
var version = "development"

// Exit codes. Invalid flags and settings have a code of their own.
const (
	exitFailure  = 1
	exitSettings = 2
)

type commands struct {
	Entry   entryCommand   `cmd:"" help:"Run an entry instance."`
	Serve   serveCommand   `cmd:"" help:"Run an entry instance on the platform."`
	Explain explainCommand `cmd:"" help:"Print the log lines that concern one request."`
	Check   checkCommand   `cmd:"" help:"Validate a document without submitting it."`
	Apply   applyCommand   `cmd:"" help:"Submit a document through an entry."`
	Resolve resolveCommand `cmd:"" help:"Ask an entry which addresses to use for a service."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of an entry."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	fmt.Println("magnolialedge", version)
	return nil
}

func main() {
	var c commands
	k := kong.Must(&c,
		kong.Name("magnolialedge"),
		kong.Description("A load balancer for servers whose load shifts in milliseconds."),
		kong.UsageOnError(),
	)
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "magnolialedge:", err)
		os.Exit(exitSettings)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var settings *entry.SettingsError
	if errors.As(err, &settings) || errors.Is(err, magnolialedge.ErrInvalidSettings) {
		return exitSettings
	}
	return exitFailure
}
