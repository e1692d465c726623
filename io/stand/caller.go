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

// Caller is a client that follows the caller protocol: it resolves a service to
// entry addresses and caches the result for its time to live.
type Caller struct {
	entryAddresses []string
	http           *http.Client
	mu             sync.Mutex
	resolutions    map[string]cachedResolution
}

type cachedResolution struct {
	call.ResolveResponse
	expiresAt time.Time
}

// NewCaller returns a Caller that resolves services through entries, tried in
// order.
func NewCaller(entries []string, client *http.Client) *Caller {
	return &Caller{entryAddresses: entries, http: client, resolutions: map[string]cachedResolution{}}
}

// Resolve returns the entry addresses for service, from the cache if they have
// not expired. If every entry fails it returns the expired addresses, if any, and
// the last error.
func (c *Caller) Resolve(ctx context.Context, service string) (call.ResolveResponse, error) {
	c.mu.Lock()
	cached, ok := c.resolutions[service]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.ResolveResponse, nil
	}
	var err error
	for _, entry := range append(cached.Addresses, c.entryAddresses...) {
		var r call.ResolveResponse
		if r, err = c.resolveFrom(ctx, entry, service); err == nil {
			c.mu.Lock()
			c.resolutions[service] = cachedResolution{ResolveResponse: r, expiresAt: time.Now().Add(time.Duration(r.TTLMs) * time.Millisecond)}
			c.mu.Unlock()
			return r, nil
		}
	}
	return cached.ResolveResponse, errors.Wrap(err, "resolve "+service)
}

// Refresh discards the cached addresses of service and resolves it again. It is
// used after every cached address failed, and returns no address if resolving
// fails.
func (c *Caller) Refresh(ctx context.Context, service string) call.ResolveResponse {
	c.mu.Lock()
	delete(c.resolutions, service)
	c.mu.Unlock()
	r, err := c.Resolve(ctx, service)
	if err != nil {
		return call.ResolveResponse{}
	}
	return r
}

// resolveTimeout limits one resolve request.
const resolveTimeout = 2 * time.Second

func (c *Caller) resolveFrom(ctx context.Context, entry, service string) (call.ResolveResponse, error) {
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
		return out, errors.Newf("%s: unexpected status %d", entry, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, err
	}
	if len(out.Addresses) == 0 {
		return out, errors.Newf("%s returned no address: %s", entry, out.Reason)
	}
	return out, nil
}

// Request is one request of a caller. Key is the idempotency key, and is empty
// for idempotent requests.
type Request struct {
	Service string
	Method  string
	Path    string
	Key     string
	Tag     string
	Body    []byte
	Header  http.Header
	Timeout time.Duration
	// TriedEntries holds the entry addresses that earlier attempts were sent to.
	TriedEntries []string
}

// Response is the result of one attempt.
type Response struct {
	Status     int
	Kind       string
	Outcome    string
	Entry      string
	RequestID  string
	RetryAfter time.Duration
	// MatchesRequest is true if the response was received whole and belongs to
	// this request. It is always true for refusals and error statuses, which
	// are not checked.
	MatchesRequest bool
	// MismatchDetail describes a response that belongs to another request, with
	// the start of its body.
	MismatchDetail string
	// Truncated is true if the connection broke while the body was read.
	Truncated bool
	Err       error
}

// OK reports whether the whole response was received and has a status below 300.
func (r Response) OK() bool {
	return r.Err == nil && r.Status > 0 && r.Status < 300
}

// responseMargin is how long a caller waits for a response after the timeout that
// it sent with the request.
const responseMargin = 2 * time.Second

// Send sends one attempt to the entry at address entry and reads the whole
// response.
func (c *Caller) Send(ctx context.Context, entry, requestID string, q Request) Response {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout+responseMargin)
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
	// A request with a key gets a body that cannot be rewound, so that net/http
	// does not resend it by itself and every attempt is counted.
	req.GetBody = nil
	if q.Key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, q.Key)
		setAttemptHeader(req.Header, q.TriedEntries)
		req.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{RequestID: requestID, Err: err}
	}
	defer resp.Body.Close()
	return readResponse(resp, requestID, q)
}

func setAttemptHeader(h http.Header, tried []string) {
	if len(tried) == 0 {
		h.Set(call.HeaderAttempt, "first")
		return
	}
	h.Set(call.HeaderTriedEntries, strings.Join(tried, ", "))
}

func readResponse(resp *http.Response, requestID string, q Request) Response {
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
		out.MismatchDetail = fmt.Sprintf("%s %s received status %d from %s: %.80q", q.Method, q.Tag, out.Status, out.Entry, body)
	}
	return out
}
