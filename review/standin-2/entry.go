package main

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

//go:embed deployment.toml
var settingsTemplate string

const (
	controlPort  = 8382
	readyPort    = 8388
	entryCount   = 3
	readyTimeout = 15 * time.Second
)

// entry is one entry, run as a process with the command of the deploy file.
type entry struct {
	ip  string
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// loopbackNet returns the first three numbers of loopback addresses on which the ports of the
// entries are free.
func loopbackNet() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", prefix, controlPort))
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", fmt.Errorf("no loopback network has a free port %d", controlPort)
}

// startEntries starts the entries and waits until they are ready.
func startEntries(program, folder, storeAddress string) ([]*entry, error) {
	prefix, err := loopbackNet()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", prefix, i+1, controlPort)))
	}
	var entries []*entry
	for i := range entryCount {
		e := &entry{ip: fmt.Sprintf("%s.%d", prefix, i+1), ended: make(chan struct{})}
		path := filepath.Join(folder, fmt.Sprintf("entry-%d.toml", i+1))
		text := fmt.Sprintf(settingsTemplate, zones[i%len(zones)], i+1, e.ip, strings.Join(seeds, ", "), storeAddress)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return entries, err
		}
		if err := e.start(program, path, filepath.Join(folder, fmt.Sprintf("entry-%d.log", i+1))); err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.waitReady(); err != nil {
			return entries, err
		}
	}
	return entries, nil
}

func (e *entry) start(program, settings, log string) error {
	out, err := os.Create(log)
	if err != nil {
		return err
	}
	defer out.Close()
	e.cmd = exec.Command(program, "serve", "--metrics-port", "9100")
	e.cmd.Env = append(os.Environ(), "MAGNOLIALEDGE_NODE_FILE="+settings)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	return nil
}

func (e *entry) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/ready", e.ip, readyPort), nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the entry at %s is not ready within %s", e.ip, readyTimeout)
		case <-e.ended:
			return fmt.Errorf("the entry at %s has ended", e.ip)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// stop ends the process.
func (e *entry) stop() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.ended
}
