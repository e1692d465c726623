package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"magnolialedge/io/conn"
	"magnolialedge/io/link"
	"magnolialedge/io/node"
	"magnolialedge/platform"
)

// serveCommand runs an entry that reads its routes and upstreams from the
// platform's store.
type serveCommand struct {
	SettingsFile    string `help:"Path of the settings file that the platform writes." required:"" env:"MAGNOLIALEDGE_NODE_FILE"`
	UpstreamGateway string `help:"Address of an HTTP CONNECT proxy for connections to upstreams; without one they are opened directly." env:"MAGNOLIALEDGE_UPSTREAM_GATEWAY"`
	Admission       bool   `help:"Refuse less urgent requests at once while capacity is short, also without client accounts." env:"MAGNOLIALEDGE_ADMISSION"`
	MetricsPort     int    `help:"Port for metrics and dumps; 0 disables them." default:"0" env:"MAGNOLIALEDGE_METRICS_PORT"`
}

// Run runs the entry until SIGTERM or SIGINT stops it.
func (c *serveCommand) Run() error {
	settings, err := platform.ReadSettings(c.SettingsFile)
	if err != nil {
		return err
	}
	setMemoryLimit(settings.MemoryMB)
	n, err := node.New(node.Config{
		Settings:    settings,
		MetricsPort: c.MetricsPort,
		Admission:   c.Admission,
		Headers:     platform.HeaderProtocol(),
		Decoder:     platform.Decoder{},
		API:         platform.EntryAPI{},
		NewStore:    platform.OpenStore,
		LogWriter:   os.Stdout,

		UpstreamDialer: c.upstreamDialer(),
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

// memoryLimitRatio is the fraction of the memory of the process above which garbage is collected
// more often. The rest is for what the runtime does not count.
const memoryLimitRatio = 0.7

// setMemoryLimit makes the garbage collector keep the heap below its part of the memory of the
// process; 0 sets no limit.
func setMemoryLimit(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes) * (1 << 20) * memoryLimitRatio))
	}
}

// upstreamDialer returns a dialer that uses the gateway, or nil if there is none.
func (c *serveCommand) upstreamDialer() link.Dialer {
	if c.UpstreamGateway == "" {
		return nil
	}
	return conn.NewDialer(conn.DialerConfig{Gateways: map[string]string{"": c.UpstreamGateway}})
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings file again on SIGHUP and when its modification
// time changes, and sends the result to reload. It returns when ctx is done.
func (c *serveCommand) watchSettings(ctx context.Context, reload chan<- node.Reload) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	last := modTime(c.SettingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if modTime(c.SettingsFile).Equal(last) {
				continue
			}
		}
		last = modTime(c.SettingsFile)
		s, err := platform.ReadSettings(c.SettingsFile)
		select {
		case reload <- node.Reload{Settings: s, Err: err}:
		case <-ctx.Done():
		}
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// cannot be accessed.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
