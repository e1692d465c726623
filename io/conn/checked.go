package conn

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// CheckedConn is a connection to a server. It fails the reading of responses that are broken but
// that net/http would accept. Read must not be called concurrently with itself.
type CheckedConn struct {
	net.Conn
	writeMu sync.Mutex
	// writeErr is the error of the first write that the connection failed.
	writeErr error

	headMu sync.Mutex
	head   headCheck
	// headErr is what is wrong with the head of a response. Nothing is read after it.
	headErr error
}

// NewCheckedConn returns a CheckedConn for c.
func NewCheckedConn(c net.Conn) *CheckedConn {
	return &CheckedConn{Conn: c}
}

// Write implements net.Conn.
func (c *CheckedConn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(b)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes all buffers, with one system call if the connection supports it.
func (c *CheckedConn) WriteBuffers(buffers net.Buffers) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

// recordWrite records the end of a write. Writes that this side ended say nothing about the
// connection. The caller holds c.writeMu.
func (c *CheckedConn) recordWrite(err error) {
	if c.writeErr == nil && !errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) {
		c.writeErr = err
	}
}

// ExpectResponse prepares for the response to a request that is about to be sent, or that has been
// sent. Buffered are the bytes that were already read from the connection and that no earlier
// response has used. The error is that of HeadErr.
func (c *CheckedConn) ExpectResponse(buffered []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.headErr != nil {
		return c.headErr
	}
	c.head = newHeadCheck()
	_, err := c.check(buffered)
	return err
}

// HeadErr returns what is wrong with the head of a response, or nil. The connection has then been
// closed.
func (c *CheckedConn) HeadErr() error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.headErr
}

// hasHead reports whether the head of the expected response has arrived.
func (c *CheckedConn) hasHead() bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.headErr == nil && c.head.isComplete()
}

// Read implements net.Conn. It returns io.EOF only if the server has closed the connection in order,
// and fails before a head that is malformed or too large is complete.
func (c *CheckedConn) Read(b []byte) (int, error) {
	if err := c.HeadErr(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	if passed, headErr := c.checkHead(b[:n]); headErr != nil {
		return passed, headErr
	}
	return n, err
}

// check checks the next bytes and closes the connection if the head is wrong. The caller holds
// c.headMu.
func (c *CheckedConn) check(b []byte) (int, error) {
	n, err := c.head.check(b)
	if err != nil {
		c.headErr = err
		_ = c.Close()
	}
	return n, err
}

func (c *CheckedConn) checkHead(b []byte) (int, error) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.check(b)
}

// endOfStream returns io.EOF, or the error of a write that failed. The kernel reports a reset only
// to the first call that asks for it, so that after a write has taken it, a read sees the end of the
// stream. A write in progress may have taken it too; it is interrupted, since its response has ended.
func (c *CheckedConn) endOfStream() error {
	if !c.writeMu.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writeMu.Lock()
	}
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "the connection failed before the response ended")
	}
	return io.EOF
}
