package conn

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is the default timeout for opening a connection, and the timeout
	// for opening one through a gateway.
	dialTimeout = time.Second
	// tcpUserTimeout is how long written bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	tcpUserTimeout = 2 * time.Second
)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	// Gateways maps a region to the address of its HTTP CONNECT gateway. A region
	// without one is dialed directly.
	Gateways map[string]string
	// Timeout bounds the opening of a TCP connection; 0 means one second. A
	// connection through a gateway must in any case be open after one second.
	Timeout time.Duration
	// LocalIP is the address from which connections are opened; the zero value leaves it to
	// the system.
	LocalIP netip.Addr
}

// Dialer opens TCP connections, through the region's gateway if it has one.
type Dialer struct {
	cfg    DialerConfig
	dialer net.Dialer
}

// NewDialer returns a Dialer.
func NewDialer(cfg DialerConfig) *Dialer {
	d := &Dialer{cfg: cfg, dialer: net.Dialer{Timeout: cmp.Or(cfg.Timeout, dialTimeout), Control: setUserTimeout}}
	if cfg.LocalIP.IsValid() {
		d.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(cfg.LocalIP, 0))
	}
	return d
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// Dial opens a connection to address in region.
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
	if err := openTunnel(ctx, c, address); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// openTunnel sends a CONNECT request for address over c and reads the response,
// until ctx is done.
func openTunnel(ctx context.Context, c net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address, Header: http.Header{}}
	if err := req.Write(c); err != nil {
		return errors.Wrap(err, "gateway")
	}
	checked := NewCheckedConn(c)
	_ = checked.ExpectResponse(nil)
	resp, err := http.ReadResponse(bufio.NewReaderSize(checked, 1024), req)
	if err != nil {
		return errors.Wrap(cmp.Or(checked.HeadErr(), err), "gateway")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("gateway answered %d", resp.StatusCode)
	}
	return nil
}

// Transport returns an HTTP transport for requests to peers and the platform in
// region.
func (d *Dialer) Transport(region string) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			c, err := d.Dial(ctx, region, address)
			if err != nil {
				return nil, err
			}
			return NewCheckedConn(c), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
	}}
}
