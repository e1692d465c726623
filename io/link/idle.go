package link

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// IsIdle reports whether an unused connection is still open and has no unread
// bytes. Only what has already arrived on this host is seen; a close that is
// still in transit is not.
func (c *Conn) IsIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.netConn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
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
