package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/pause"
	platform "magnolialedge/platform/stand"
)

// entryPorts is the number of ports of an entry, from firstPort on.
const entryPorts = 5

// silencing is a way in which an entry stops responding without saying so. It returns the
// function that ends it.
type silencing func(e *entry) (end func() error, err error)

// pauseProcess stops the process of an entry: the kernel still accepts its connections.
func pauseProcess(e *entry) (func() error, error) {
	e.process().signal(syscall.SIGSTOP)
	return func() error {
		e.process().signal(syscall.SIGCONT)
		return nil
	}, nil
}

// killProcess kills an entry, whose ports then refuse connections.
func killProcess(e *entry) (func() error, error) {
	e.stop(syscall.SIGKILL)
	return e.start, nil
}

// powerOff kills an entry and makes its ports take no connection, as if it had no power. The
// ports are taken before the others check why their connections broke.
func powerOff(e *entry) (func() error, error) {
	e.stop(syscall.SIGKILL)
	var ports []*hangingPort
	release := func() error {
		for _, p := range ports {
			p.close()
		}
		return e.start()
	}
	for n := range entryPorts {
		p, err := listenHanging(e.settings.IP, firstPort+n)
		if err != nil {
			return nil, errors.CombineErrors(err, release())
		}
		ports = append(ports, p)
	}
	for _, p := range ports {
		if err := p.fill(); err != nil {
			return nil, errors.CombineErrors(err, release())
		}
	}
	return release, nil
}

// hangingPort is a port that listens and on which connections hang: its queue is full, and nothing
// accepts from it.
type hangingPort struct {
	address string
	fd      int
	filling net.Conn
}

// listenHanging listens without a backlog: the kernel completes one connection and drops the
// packets of further ones.
func listenHanging(ip string, port int) (*hangingPort, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "occupy port")
	}
	p := &hangingPort{address: net.JoinHostPort(ip, strconv.Itoa(port)), fd: fd}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	err = errors.CombineErrors(err, syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte(net.ParseIP(ip).To4())}))
	err = errors.CombineErrors(err, syscall.Listen(fd, 0))
	if err != nil {
		p.close()
		return nil, errors.Wrapf(err, "occupy port %s", p.address)
	}
	return p, nil
}

// fill opens the one connection that the kernel completes, unless another entry has opened it
// already, so that this one hangs.
func (p *hangingPort) fill() error {
	c, err := net.DialTimeout("tcp", p.address, pollInterval)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil
	}
	p.filling = c
	return errors.Wrap(err, "occupy port")
}

func (p *hangingPort) close() {
	if p.filling != nil {
		_ = p.filling.Close()
	}
	_ = syscall.Close(p.fd)
}

// silenceCounts counts what resolve responses said while an entry was silent.
type silenceCounts struct {
	mu        sync.Mutex
	responses int
	// late holds a line for each response that named the silent entry later than the bound.
	late []string
	// leftOut holds a line for each time that a live entry was found to be left out.
	leftOut []string
}

// watchSilence polls all other entries until ctx is done.
func (cl *cluster) watchSilence(ctx context.Context, silent *entry, bound time.Duration) *silenceCounts {
	var counts silenceCounts
	start := time.Now()
	var group sync.WaitGroup
	for _, e := range cl.entries {
		if e == silent {
			continue
		}
		group.Go(func() {
			client := &http.Client{Timeout: pollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
			for ; ctx.Err() == nil; pause.Sleep(ctx, pollInterval) {
				cl.pollSilence(ctx, client, &counts, e, silent, start, bound)
			}
		})
	}
	group.Wait()
	return &counts
}

// pollSilence asks one entry for the addresses of each region, and whom it leaves out.
func (cl *cluster) pollSilence(ctx context.Context, c *http.Client, counts *silenceCounts, e, silent *entry, start time.Time, bound time.Duration) {
	for _, region := range []string{"east", "west"} {
		asked := time.Since(start)
		addresses, err := platform.Resolve(ctx, c, e.settings.DirectoryAddress, region)
		if err != nil {
			continue
		}
		counts.mu.Lock()
		counts.responses++
		if asked > bound && slices.Contains(addresses, silent.settings.CallerAddress) {
			counts.late = append(counts.late, fmt.Sprintf("%s names %s to %s after %s", e.settings.Name, silent.settings.Name, region, asked.Round(time.Millisecond)))
		}
		counts.mu.Unlock()
	}
	status, err := e.status(c)
	if err != nil {
		return
	}
	for name := range status.LeftOut {
		if name != silent.settings.Name && cl.disturbances.isUndisturbed(name, time.Now().Add(-settleTime), time.Now()) {
			counts.mu.Lock()
			counts.leftOut = append(counts.leftOut, fmt.Sprintf("%s leaves out %s after %s: %v", e.settings.Name, name, time.Since(start).Round(time.Millisecond), status.LeftOut[name]))
			counts.mu.Unlock()
		}
	}
}
