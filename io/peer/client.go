package peer

import (
	"context"
	"net/http"
	"sync"

	"github.com/twitchtv/twirp"

	"magnolialedge"
	"magnolialedge/io/conn"
	"magnolialedge/io/peer/peerpb"
)

// SecretHeader is the header that carries the secret shared by all entries.
const SecretHeader = "Peer-Secret"

// ClientsConfig configures Clients.
type ClientsConfig struct {
	Dialer *conn.Dialer
	Secret string
}

// Clients caches one RPC client per peer.
type Clients struct {
	cfg       ClientsConfig
	mu        sync.Mutex
	byAddress map[string]peerpb.Peer
	// transports holds one transport per region, which the clients of its peers share.
	transports map[string]*conn.Transport
}

// NewClients returns an empty Clients.
func NewClients(cfg ClientsConfig) *Clients {
	return &Clients{cfg: cfg, byAddress: map[string]peerpb.Peer{}, transports: map[string]*conn.Transport{}}
}

// ClientFor returns the client for the peer at address in region, creating it on first
// use.
func (c *Clients) ClientFor(region, address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.byAddress[address]; ok {
		return p
	}
	t, ok := c.transports[region]
	if !ok {
		t = c.cfg.Dialer.Transport(region)
		c.transports[region] = t
	}
	p := peerpb.NewPeerProtobufClient("http://"+address, &http.Client{Transport: t})
	c.byAddress[address] = p
	return p
}

// Retain removes the clients of peers that are not in list.
func (c *Clients) Retain(list []magnolialedge.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]peerpb.Peer, len(list))
	for _, in := range list {
		if p, ok := c.byAddress[in.PeerAddress]; ok {
			kept[in.PeerAddress] = p
		}
	}
	c.byAddress = kept
}

// WithSecret returns a context whose RPCs carry the shared secret.
func (c *Clients) WithSecret(ctx context.Context) context.Context {
	h := http.Header{SecretHeader: {c.cfg.Secret}}
	out, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx
	}
	return out
}
