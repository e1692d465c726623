package conn

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketOption returns a TCP option of a connection.
func socketOption(t *testing.T, c net.Conn, option int) int {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	value := 0
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
	}))
	require.NoError(t, optErr)
	return value
}

// Guards against a change of the options that end a silent connection: TCP_USER_TIMEOUT
// also decides when keep-alive probes give up, whatever their number.
func TestWhatEndsASilentConnection(t *testing.T) {
	const listenerTimeout = 1200 * time.Millisecond
	l, err := Listen("127.0.0.1:0", listenerTimeout)
	require.NoError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	out, err := NewDialer(DialerConfig{}).Dial(context.Background(), "", l.Addr().String())
	require.NoError(t, err)
	defer out.Close()
	in := <-accepted
	defer in.Close()
	require.Equal(t, int(tcpUserTimeout.Milliseconds()), socketOption(t, out, unix.TCP_USER_TIMEOUT))
	require.Equal(t, int(listenerTimeout.Milliseconds()), socketOption(t, in, unix.TCP_USER_TIMEOUT))
	for _, c := range []net.Conn{out, in} {
		require.Equal(t, 15, socketOption(t, c, unix.TCP_KEEPIDLE), "seconds without traffic until the first probe")
		require.Equal(t, 15, socketOption(t, c, unix.TCP_KEEPINTVL), "seconds between two probes")
	}
}
