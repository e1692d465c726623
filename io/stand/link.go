package stand

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// LinkBehaviour is how the link between two regions is.
type LinkBehaviour struct {
	// DelayMs is the one-way delay.
	DelayMs int `json:"delayMs"`
	// Cut refuses new connections and breaks open ones.
	Down bool `json:"cut"`
	// Frozen holds all bytes back until it ends.
	Frozen bool `json:"frozen"`
	// Blackhole drops the bytes of the connections that are open now, while new
	// ones work.
	Blackhole bool `json:"silent"`
	// BlackholePercent is the share of open connections that Silent affects; 0
	// stands for all.
	BlackholePercent int `json:"silentPercent"`
	// DropForward and DropBack drop the bytes of one direction, also on new
	// connections.
	DropForward  bool `json:"dropThere"`
	DropBackward bool `json:"dropBack"`
}

// Link is an HTTP CONNECT gateway, or a forwarding listener, that adds delay and
// can be cut or fall silent.
type Link struct {
	mu        sync.Mutex
	behaviour LinkBehaviour
	conns     map[*linkConn]bool
	bytes     int64
}

type linkConn struct {
	ends   [2]net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *linkConn) close() {
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

// NewLink returns a Link.
func NewLink(b LinkBehaviour) *Link {
	return &Link{behaviour: b, conns: map[*linkConn]bool{}}
}

// Handler returns the HTTP interface of the link.
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
			l.connect(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// SetBehaviour sets how the link is from now on.
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
			c.silent = true
			c.mu.Unlock()
		}
	}
}

// Bytes returns the bytes carried in both directions.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *Link) now() LinkBehaviour {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.behaviour
}

func (l *Link) connect(w http.ResponseWriter, r *http.Request) {
	b := l.now()
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
	l.join(near, far)
}

// Forward passes each connection that on accepts to the address that to returns,
// until on is closed.
func (l *Link) Forward(on net.Listener, to func() string) {
	for {
		near, err := on.Accept()
		if err != nil {
			return
		}
		go l.forward(near, to())
	}
}

func (l *Link) forward(near net.Conn, to string) {
	if l.now().Down {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	l.join(near, far)
}

// join carries bytes between two ends until both are closed.
func (l *Link) join(near, far net.Conn) {
	c := &linkConn{ends: [2]net.Conn{near, far}}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.carry(c, near, far, dropsThere) })
	wg.Go(func() { l.carry(c, far, near, dropsBack) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func hijack(w http.ResponseWriter) (net.Conn, error) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil, errors.New("the connection can't be taken over")
	}
	c, _, err := h.Hijack()
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
	return c, err
}

// chunk is what was read, with the time at which it is written.
type chunk struct {
	data []byte
	due  time.Time
}

// frozenStep is how often a frozen link looks whether it goes on.
const frozenStep = 5 * time.Millisecond

// mostChunks bounds what is under way in one direction of a connection.
const mostChunks = 1024

func dropsThere(b LinkBehaviour) bool { return b.DropForward }
func dropsBack(b LinkBehaviour) bool  { return b.DropBackward }

func (l *Link) carry(c *linkConn, from, to net.Conn, drops func(LinkBehaviour) bool) {
	chunks := make(chan chunk, mostChunks)
	go l.deliver(c, to, chunks, drops)
	defer close(chunks)
	for {
		buf := make([]byte, 16<<10)
		n, err := from.Read(buf)
		if n > 0 {
			chunks <- chunk{data: buf[:n], due: time.Now().Add(time.Duration(l.now().DelayMs) * time.Millisecond)}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) deliver(c *linkConn, to net.Conn, chunks chan chunk, drops func(LinkBehaviour) bool) {
	defer func() {
		if !c.isSilent() {
			c.close()
		}
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.due))
		for l.now().Frozen && !c.isSilent() {
			time.Sleep(frozenStep)
		}
		if c.isSilent() || drops(l.now()) {
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
