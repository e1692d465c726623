package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"magnolialedge/io/node"
	"magnolialedge/platform"
)

// serveCommand runs an entry whose routes and upstreams stand in the platform's
// store.
type serveCommand struct {
	SettingsFile string `help:"Path of the settings file that the platform writes." required:"" env:"MAGNOLIALEDGE_NODE_FILE"`
	MetricsPort  int    `help:"Port of metrics and dumps; 0 serves none." default:"0" env:"MAGNOLIALEDGE_METRICS_PORT"`
}

// Run serves until a signal asks the entry to stop.
func (c *serveCommand) Run() error {
	settings, err := platform.ReadSettings(c.SettingsFile)
	if err != nil {
		return err
	}
	n, err := node.New(node.Config{
		Settings:    settings,
		MetricsPort: c.MetricsPort,
		Headers:     platform.HeaderProtocol(),
		Decoder:     platform.Decoder{},
		API:         platform.EntryAPI{},
		NewStore:    platform.OpenStore,
		LogWriter:   os.Stdout,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan node.Reload)
	go c.watchSettings(ctx, reload)
	return n.Run(ctx, reload)
}

// settingsEvery is the time between two looks at the settings file.
const settingsEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and when the file changes.
func (c *serveCommand) watchSettings(ctx context.Context, reload chan<- node.Reload) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	last := modified(c.SettingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if modified(c.SettingsFile).Equal(last) {
				continue
			}
		}
		last = modified(c.SettingsFile)
		s, err := platform.ReadSettings(c.SettingsFile)
		select {
		case reload <- node.Reload{Settings: s, Err: err}:
		case <-ctx.Done():
		}
	}
}

// modified returns when a file was last written; the zero time stands for a file
// that can't be looked at.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
