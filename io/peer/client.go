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

// SecretHeader carries the secret that entries share.
const SecretHeader = "Peer-Secret"

// ClientsConfig constructs Clients.
type ClientsConfig struct {
	Dialer *conn.Dialer
	Secret string
}

// Clients keeps a client for each peer.
type Clients struct {
	cfg    ClientsConfig
	mu     sync.Mutex
	byAddr map[string]peerpb.Peer
	// transports has one transport a region, which all of its peers share.
	transports map[string]*http.Transport
}

// NewClients returns Clients without any client.
func NewClients(cfg ClientsConfig) *Clients {
	return &Clients{cfg: cfg, byAddr: map[string]peerpb.Peer{}, transports: map[string]*http.Transport{}}
}

// ClientFor returns the client for the peer at address in region.
func (c *Clients) ClientFor(region, address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.byAddr[address]; ok {
		return p
	}
	t, ok := c.transports[region]
	if !ok {
		t = c.cfg.Dialer.Transport(region)
		c.transports[region] = t
	}
	p := peerpb.NewPeerProtobufClient("http://"+address, &http.Client{Transport: t})
	c.byAddr[address] = p
	return p
}

// Retain drops the clients of peers that aren't listed any more.
func (c *Clients) Retain(list []magnolialedge.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[string]peerpb.Peer, len(list))
	for _, in := range list {
		if p, ok := c.byAddr[in.PeerAddress]; ok {
			kept[in.PeerAddress] = p
		}
	}
	c.byAddr = kept
}

// WithSecret returns a context whose calls carry the secret.
func (c *Clients) WithSecret(ctx context.Context) context.Context {
	h := http.Header{SecretHeader: {c.cfg.Secret}}
	out, err := twirp.WithHTTPRequestHeaders(ctx, h)
	if err != nil {
		return ctx
	}
	return out
}
