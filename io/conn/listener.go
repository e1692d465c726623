package conn

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// listener sets TCP_USER_TIMEOUT on the connections that it accepts.
type listener struct {
	net.Listener
	timeout time.Duration
}

// Listen listens on a TCP address. A connection whose peer leaves written bytes
// unacknowledged for longer than timeout is closed.
func Listen(address string, timeout time.Duration) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &listener{Listener: l, timeout: timeout}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	// A connection that has already ended fails its first read.
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.timeout.Milliseconds()))
		})
	}
	return c, nil
}
