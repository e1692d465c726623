package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id     string
	method string
	path   string
	sentAt time.Time
	// status is that of the complete answer, or 0 if there was none, and endedAt the time of
	// the answer or of the end of the connection.
	status  int
	endedAt time.Time
}

// head returns the bytes of a request.
func (q *request) head(deadline time.Duration, body string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, headers.RequestID, q.id, headers.Deadline, deadline.Milliseconds())
	if body != "" {
		h += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return h + "\r\n" + body
}

// clientConn is a connection of a client, on which answers come in the order of the requests.
type clientConn struct {
	trial *trial
	conn  net.Conn
	r     *bufio.Reader

	mu sync.Mutex
	// all holds the requests that were sent, and answered is the number of complete answers.
	all      []*request
	answered int
	// isClosing is set once an answer announces the close.
	isClosing bool
}

func dial(t *trial, address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{trial: t, conn: c, r: bufio.NewReader(c)}, nil
}

// send sends a whole request.
func (c *clientConn) send(q *request, deadline time.Duration, body string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosing {
		return errors.New("the connection is closing")
	}
	q.sentAt = time.Now()
	if _, err := io.WriteString(c.conn, q.head(deadline, body)); err != nil {
		return err
	}
	c.all = append(c.all, q)
	c.trial.note("the client has sent %s whole", q.id)
	return nil
}

// next returns the request whose answer is due, or nil.
func (c *clientConn) next() *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered < len(c.all) {
		return c.all[c.answered]
	}
	return nil
}

// readAnswers reads answers until the connection ends.
func (c *clientConn) readAnswers() {
	for {
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			c.end(err)
			return
		}
		q := c.next()
		if q == nil {
			c.trial.note("an answer came on a connection with no request waiting")
			return
		}
		c.mu.Lock()
		q.status, q.endedAt = resp.StatusCode, time.Now()
		c.answered++
		c.isClosing = c.isClosing || resp.Close
		c.mu.Unlock()
		c.trial.note("the client gets the whole answer to %s: %d, closing %v", q.id, resp.StatusCode, resp.Close)
	}
}

// end records the end of the connection.
func (c *clientConn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.all[c.answered:] {
		q.endedAt = time.Now()
		c.trial.note("the connection has ended without an answer to %s: %v", q.id, err)
	}
	c.isClosing = true
	_ = c.conn.Close()
}

// entryAt returns the entry with an address for clients.
func (t *trial) entryAt(address string) *entry {
	for _, e := range t.entries {
		if net.JoinHostPort(e.ip, frontPort) == address {
			return e
		}
	}
	return nil
}

// firstAddress returns the address that a client of a zone uses first, and its entry.
func (t *trial) firstAddress() (string, *entry, error) {
	addresses, ttl, err := t.entries[0].resolve(zones[0])
	if err != nil {
		return "", nil, err
	}
	for _, a := range addresses {
		if e := t.entryAt(a); e != nil {
			t.note("a client is told to use %v for %v, and keeps that for up to three times as long", addresses, ttl)
			return a, e, nil
		}
	}
	return "", nil, fmt.Errorf("no address in %v", addresses)
}
