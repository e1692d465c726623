package stand

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkBehaviour configures the delay and the faults of a link.
type LinkBehaviour struct {
	// DelayMs is the one-way delay.
	DelayMs int `json:"delayMs"`
	// Down rejects new connections and closes open ones.
	Down bool `json:"cut"`
	// Frozen delays all bytes until it is unset.
	Frozen bool `json:"frozen"`
	// Blackhole drops all bytes of the connections that are open when it is set,
	// without closing them. New connections work.
	Blackhole bool `json:"silent"`
	// BlackholePercent is the percentage of open connections that Blackhole
	// affects; 0 means all.
	BlackholePercent int `json:"silentPercent"`
	// DropForward and DropBackward drop the bytes that are sent to the far end, or
	// back from it, on open and new connections.
	DropForward  bool `json:"dropThere"`
	DropBackward bool `json:"dropBack"`
}

// Link is an HTTP CONNECT proxy, or a TCP forwarder, that adds delay and injects
// network faults.
type Link struct {
	mu        sync.Mutex
	behaviour LinkBehaviour
	conns     map[*linkConn]bool
	bytes     int64
}

type linkConn struct {
	ends       [2]net.Conn
	mu         sync.Mutex
	blackholed bool
}

func (c *linkConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

func (c *linkConn) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

// NewLink returns a Link with behaviour b.
func NewLink(b LinkBehaviour) *Link {
	return &Link{behaviour: b, conns: map[*linkConn]bool{}}
}

// Handler returns a handler for CONNECT requests and for the control paths of the
// link.
func (l *Link) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPathPrefix+"behave", func(w http.ResponseWriter, r *http.Request) {
		var b LinkBehaviour
		if readJSON(w, r, &b) {
			l.SetBehaviour(b)
			writeJSON(w, http.StatusOK, b)
		}
	})
	mux.HandleFunc("GET "+ControlPathPrefix+"bytes", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, l.Bytes())
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			l.serveConnect(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// SetBehaviour replaces the behaviour. Down and Blackhole also apply to the
// connections that are open.
func (l *Link) SetBehaviour(b LinkBehaviour) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behaviour = b
	n := 0
	for c := range l.conns {
		if b.Down {
			c.close()
		}
		n++
		if b.Blackhole && (b.BlackholePercent == 0 || n*b.BlackholePercent/100 > (n-1)*b.BlackholePercent/100) {
			c.mu.Lock()
			c.blackholed = true
			c.mu.Unlock()
		}
	}
}

// Bytes returns the number of bytes forwarded in both directions.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *Link) currentBehaviour() LinkBehaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour
}

func (l *Link) serveConnect(w http.ResponseWriter, r *http.Request) {
	b := l.currentBehaviour()
	if b.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(2 * time.Duration(b.DelayMs) * time.Millisecond)
	far, err := net.DialTimeout("tcp", r.Host, time.Second)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	near, err := hijack(w)
	if err != nil {
		_ = far.Close()
		return
	}
	l.proxy(near, far)
}

// Forward accepts connections from listener and forwards each to the address that
// target returns, until listener is closed.
func (l *Link) Forward(listener net.Listener, target func() string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near, target())
	}
}

func (l *Link) forward(near net.Conn, address string) {
	if l.currentBehaviour().Down {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l.proxy(near, far)
}

// proxy copies bytes between near and far until both are closed.
func (l *Link) proxy(near, far net.Conn) {
	c := &linkConn{ends: [2]net.Conn{near, far}}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.readChunks(c, near, far, dropsForward) })
	wg.Go(func() { l.readChunks(c, far, near, dropsBackward) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func hijack(w http.ResponseWriter) (net.Conn, error) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil, errors.New("response writer does not support hijacking")
	}
	c, _, err := h.Hijack()
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
	return c, err
}

// chunk is data that was read, with the time at which it is to be written.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// frozenPollInterval is how often a frozen link checks whether it is unfrozen.
const frozenPollInterval = 5 * time.Millisecond

// maxQueuedChunks limits the data in transit in one direction of a connection.
const maxQueuedChunks = 1024

func dropsForward(b LinkBehaviour) bool  { return b.DropForward }
func dropsBackward(b LinkBehaviour) bool { return b.DropBackward }

// readChunks reads from one end and queues the data for writeChunks with the
// delay of the link.
func (l *Link) readChunks(c *linkConn, from, to net.Conn, drops func(LinkBehaviour) bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	go l.writeChunks(c, to, chunks, drops)
	defer close(chunks)
	for {
		buf := make([]byte, 16<<10)
		n, err := from.Read(buf)
		if n > 0 {
			chunks <- chunk{data: buf[:n], deliverAt: time.Now().Add(time.Duration(l.currentBehaviour().DelayMs) * time.Millisecond)}
		}
		if err != nil {
			return
		}
	}
}

// writeChunks writes the queued data when it is due. It closes both ends when it
// returns. A blackholed connection stays open, because a blackhole drops bytes
// without an error at either end.
func (l *Link) writeChunks(c *linkConn, to net.Conn, chunks chan chunk, drops func(LinkBehaviour) bool) {
	defer func() {
		if !c.isBlackholed() {
			c.close()
		}
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.deliverAt))
		for l.currentBehaviour().Frozen && !c.isBlackholed() {
			time.Sleep(frozenPollInterval)
		}
		if c.isBlackholed() || drops(l.currentBehaviour()) {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			for range chunks {
				continue
			}
			return
		}
		l.mu.Lock()
		l.bytes += int64(len(ch.data))
		l.mu.Unlock()
	}
}
