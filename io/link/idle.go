package link

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// IsUsable reports whether the upstream has neither closed an unused connection
// nor sent anything on it, as far as has come to this side.
func (c *Conn) IsIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
