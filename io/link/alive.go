package link

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// IsUsable reports whether the upstream has neither closed an unused connection
// nor sent anything on it, as far as has come to this side.
func (c *Conn) IsUsable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
