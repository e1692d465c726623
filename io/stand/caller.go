package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge/io/call"
)

// Caller behaves as a caller should: it asks for addresses, keeps the answer for
// its time to live, and tries the next address when one can't be reached.
type Caller struct {
	entries []string
	http    *http.Client
	mu      sync.Mutex
	known   map[string]resolution
}

type resolution struct {
	call.ResolveResponse
	until time.Time
}

// NewCaller returns a Caller that asks entries, in their order.
func NewCaller(entries []string, client *http.Client) *Caller {
	return &Caller{entries: entries, http: client, known: map[string]resolution{}}
}

// Resolve returns the addresses to use for service.
func (c *Caller) Resolve(ctx context.Context, service string) (call.ResolveResponse, error) {
	c.mu.Lock()
	have, ok := c.known[service]
	c.mu.Unlock()
	if ok && time.Now().Before(have.until) {
		return have.ResolveResponse, nil
	}
	var err error
	for _, entry := range append(have.Addresses, c.entries...) {
		var r call.ResolveResponse
		if r, err = c.ask(ctx, entry, service); err == nil {
			c.mu.Lock()
			c.known[service] = resolution{ResolveResponse: r, until: time.Now().Add(time.Duration(r.TTLMs) * time.Millisecond)}
			c.mu.Unlock()
			return r, nil
		}
	}
	return have.ResolveResponse, errors.Wrap(err, "resolve "+service)
}

// Refresh asks again for the addresses of service, because none of those known
// could be reached.
func (c *Caller) Refresh(ctx context.Context, service string) call.ResolveResponse {
	c.mu.Lock()
	delete(c.known, service)
	c.mu.Unlock()
	r, err := c.Resolve(ctx, service)
	if err != nil {
		return call.ResolveResponse{}
	}
	return r
}

// resolveTimeout bounds one question for addresses.
const resolveTimeout = 2 * time.Second

func (c *Caller) ask(ctx context.Context, entry, service string) (call.ResolveResponse, error) {
	var out call.ResolveResponse
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/resolve?service="+service, nil)
	if err != nil {
		return out, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Newf("%s answered %d", entry, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, err
	}
	if len(out.Addresses) == 0 {
		return out, errors.Newf("%s named no address: %s", entry, out.Reason)
	}
	return out, nil
}

// Request is one request of a caller.
type Request struct {
	Service string
	Method  string
	Path    string
	Key     string
	Tag     string
	Body    []byte
	Header  http.Header
	Timeout time.Duration
	// TriedEntries names the addresses of the entries of earlier attempts.
	TriedEntries []string
}

// Response is the answer to one attempt.
type Response struct {
	Status     int
	Kind       string
	Outcome    string
	Entry      string
	RequestID  string
	RetryAfter time.Duration
	// MatchesRequest tells that the whole answer to this very request came.
	MatchesRequest bool
	// Start is the beginning of an answer that isn't the caller's own.
	BodyPrefix string
	// Cut tells that the answer broke off.
	Truncated bool
	Err       error
}

// OK reports whether the request was served.
func (r Response) OK() bool {
	return r.Err == nil && r.Status > 0 && r.Status < 300
}

// replyMargin is what a caller waits beyond its own timeout.
const replyMargin = 2 * time.Second

// Send sends one attempt to an entry.
func (c *Caller) Send(ctx context.Context, entry, requestID string, q Request) Response {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout+replyMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+entry+"/s/"+q.Service+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return Response{Err: err}
	}
	for k, vs := range q.Header {
		req.Header[k] = vs
	}
	req.Header.Set(call.HeaderRequestID, requestID)
	req.Header.Set(HeaderTag, q.Tag)
	req.Header.Set(call.HeaderTimeout, fmt.Sprint(q.Timeout.Milliseconds()))
	// A request with a key is written once by this side, so that each attempt
	// is counted.
	req.GetBody = nil
	if q.Key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, q.Key)
		setTried(req.Header, q.TriedEntries)
		req.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{RequestID: requestID, Err: err}
	}
	defer resp.Body.Close()
	return readReply(resp, requestID, q)
}

func setTried(h http.Header, tried []string) {
	if len(tried) == 0 {
		h.Set(call.HeaderAttempt, "first")
		return
	}
	h.Set(call.HeaderTriedEntries, strings.Join(tried, ", "))
}

func readReply(resp *http.Response, requestID string, q Request) Response {
	out := Response{
		Status:    resp.StatusCode,
		Kind:      resp.Header.Get(call.HeaderKind),
		Outcome:   resp.Header.Get(call.HeaderOutcome),
		Entry:     resp.Header.Get(call.HeaderEntry),
		RequestID: requestID,
	}
	var seconds int
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &seconds); err == nil {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		out.Truncated = true
		out.Err = err
		return out
	}
	out.MatchesRequest = out.Kind != "" || resp.StatusCode >= 300 || strings.HasPrefix(string(body), q.Tag+" "+q.Method+" ")
	if !out.MatchesRequest {
		out.BodyPrefix = fmt.Sprintf("%s %s got %d from %s: %.80q", q.Method, q.Tag, out.Status, out.Entry, body)
	}
	return out
}
