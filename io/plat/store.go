package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

const (
	// requestTimeout limits a call that the platform responds to without waiting.
	requestTimeout = time.Second
	// watchTimeoutMargin is added to the wait time of a watch for its timeout.
	watchTimeoutMargin = 2 * time.Second
	// maxReplyBytes limits a response body: a value of one megabyte, base64 encoded, fits.
	maxReplyBytes = 3 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the IP address and port of the platform.
	Address   string
	Transport http.RoundTripper
}

// Client implements magnolialedge.Store and magnolialedge.InstanceLister.
type Client struct {
	base string
	http *http.Client
	// mu guards etag and instances: the last list of instances and its entity tag.
	mu        sync.Mutex
	etag      string
	instances []magnolialedge.Instance
}

// NewClient returns a Client for the platform at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	return &Client{base: "http://" + cfg.Address, http: &http.Client{Transport: cfg.Transport}}
}

// Get implements magnolialedge.Store.
func (c *Client) Get(ctx context.Context, key string) (magnolialedge.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.callKeyValue(ctx, http.MethodGet, c.keyURL(key, nil), nil)
}

// Watch implements magnolialedge.Store.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (magnolialedge.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	query := url.Values{
		"after":  {strconv.FormatInt(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.callKeyValue(ctx, http.MethodGet, c.keyURL(key, query), nil)
}

// CompareAndSwap implements magnolialedge.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, baseRevision int64, data []byte, ttl time.Duration) (magnolialedge.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(CompareAndSwapRequest{BaseRevision: baseRevision, Data: data, TTLMs: ttl.Milliseconds()})
	if err != nil {
		return magnolialedge.Value{}, err
	}
	v, err := c.callKeyValue(ctx, http.MethodPut, c.keyURL(key, nil), body)
	if err == nil || errors.Is(err, magnolialedge.ErrRevisionConflict) || errors.Is(err, syscall.ECONNREFUSED) {
		return v, err
	}
	return v, errors.Mark(err, magnolialedge.ErrReplyLost)
}

// Instances implements magnolialedge.InstanceLister. If the platform sends entity tags, an
// unchanged list is not transferred again.
func (c *Client) Instances(ctx context.Context) ([]magnolialedge.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathInstances, nil)
	if err != nil {
		return nil, err
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return slices.Clone(c.instances), nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the platform answered %d", resp.StatusCode)
	}
	var list []magnolialedge.Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	c.etag, c.instances = resp.Header.Get("ETag"), list
	return slices.Clone(list), nil
}

// Announce registers this instance in the platform's list. It substitutes for the
// platform's own agent on an instance.
func (c *Client) Announce(ctx context.Context, in magnolialedge.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	_, _, err = c.do(ctx, http.MethodPost, c.base+PathInstances, body)
	return err
}

func (c *Client) keyURL(key string, query url.Values) string {
	return c.base + PathKeys + url.PathEscape(key) + "?" + query.Encode()
}

func (c *Client) callKeyValue(ctx context.Context, method, target string, body []byte) (magnolialedge.Value, error) {
	reply, status, err := c.do(ctx, method, target, body)
	if err != nil {
		return magnolialedge.Value{}, err
	}
	var v Value
	if err := json.Unmarshal(reply, &v); err != nil {
		return magnolialedge.Value{}, errors.Wrap(err, "key-value service")
	}
	out := magnolialedge.Value{Data: v.Data, Revision: v.Revision}
	if status == http.StatusConflict {
		return out, magnolialedge.ErrRevisionConflict
	}
	return out, nil
}

func (c *Client) do(ctx context.Context, method, target string, body []byte) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return nil, 0, errors.Newf("the platform answered %d", resp.StatusCode)
	}
	return reply, resp.StatusCode, nil
}
