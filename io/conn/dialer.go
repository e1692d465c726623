package conn

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// userTimeout is how long written bytes may stay unacknowledged before
	// the kernel gives the connection up.
	userTimeout = 2 * time.Second
)

// DialerConfig constructs a Dialer.
type DialerConfig struct {
	// Gateways maps a region to the HTTP CONNECT gateway that leads there. A
	// region without one is reached directly.
	Gateways map[string]string
	// Timeout bounds the opening of a connection; 0 stands for one second.
	Timeout time.Duration
}

// Dialer opens TCP connections, through a region's gateway where there is one.
type Dialer struct {
	cfg    DialerConfig
	dialer net.Dialer
}

// NewDialer returns a Dialer.
func NewDialer(cfg DialerConfig) *Dialer {
	return &Dialer{cfg: cfg, dialer: net.Dialer{Timeout: cmp.Or(cfg.Timeout, dialTimeout), Control: setUserTimeout}}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Dial connects to address in region.
func (d *Dialer) Dial(ctx context.Context, region, address string) (net.Conn, error) {
	gateway, ok := d.cfg.Gateways[region]
	if !ok {
		return d.dialer.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.dialer.DialContext(ctx, "tcp", gateway)
	if err != nil {
		return nil, err
	}
	if err := connectThrough(ctx, c, address); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func connectThrough(ctx context.Context, c net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address, Header: http.Header{}}
	if err := req.Write(c); err != nil {
		return errors.Wrap(err, "gateway")
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1024), req)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("gateway answered %d", resp.StatusCode)
	}
	return nil
}

// Transport returns an HTTP transport for peers and the platform in region.
func (d *Dialer) Transport(region string) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.Dial(ctx, region, address)
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
	}
}
