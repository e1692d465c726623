package node

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/proc"
	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

const (
	// adoptSources is the number of entries that a new entry asks for the requests that are
	// quarantined: one of them may have just started, too.
	adoptSources = 2
	// adoptTimeout limits one question, adoptPoll is the time between two tries, and adoptWithin
	// the time after the start in which they are made.
	adoptTimeout = 300 * time.Millisecond
	adoptPoll    = 50 * time.Millisecond
	adoptWithin  = 5 * time.Second
	// maxAdoptedBytes limits the size of a response, and maxTold the fingerprints in it.
	maxAdoptedBytes = 64 << 10
	maxTold         = 512
)

// quarantinedRequest tells a new entry of a request that is quarantined.
type quarantinedRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	Losses      int    `json:"losses"`
	RemainingMs int64  `json:"remainingMs"`
}

// handleQuarantined tells a new entry which requests are quarantined.
func (n *Node) handleQuarantined(c echo.Context) error {
	known := n.forwarder.Quarantined()
	out := []quarantinedRequest{}
	for _, q := range known[:min(maxTold, len(known))] {
		out = append(out, quarantinedRequest{Fingerprint: q.Fingerprint, Losses: q.Losses, RemainingMs: q.Remaining.Milliseconds()})
	}
	return c.JSON(http.StatusOK, out)
}

// adoptQuarantined asks others which requests are quarantined: they were told when it was found,
// and this entry was not.
func (n *Node) adoptQuarantined(ctx context.Context) {
	asked := map[string]bool{}
	for ctx.Err() == nil && len(asked) < adoptSources && time.Since(n.start) < adoptWithin {
		pause.Sleep(ctx, adoptPoll)
		in, ok := n.adoptSource(asked)
		if !ok {
			continue
		}
		known, err := n.fetchQuarantined(ctx, in)
		if err != nil {
			n.log.Log(event.PeerUnreachable, "peer", in.PeerAddress, "err", err)
			continue
		}
		asked[in.Name] = true
		for _, q := range known {
			if n.forwarder.AdoptQuarantined(proc.Quarantined{Fingerprint: q.Fingerprint, Losses: q.Losses, Remaining: time.Duration(q.RemainingMs) * time.Millisecond}) {
				n.log.Log(event.QuarantineAdopted, "fingerprint", q.Fingerprint, "losses", q.Losses, "remainingMs", q.RemainingMs, "from", in.Name)
			}
		}
	}
}

// adoptSource returns a random entry that was not asked yet, one of this region if there is any.
func (n *Node) adoptSource(asked map[string]bool) (magnolialedge.Instance, bool) {
	var own, others []magnolialedge.Instance
	for _, in := range n.members.responding() {
		switch {
		case in.Name == n.settings.Name || asked[in.Name]:
		case in.Region == n.settings.Region:
			own = append(own, in)
		default:
			others = append(others, in)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return magnolialedge.Instance{}, false
	}
	return own[rand.IntN(len(own))], true
}

func (n *Node) fetchQuarantined(ctx context.Context, in magnolialedge.Instance) ([]quarantinedRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.PeerAddress+crashReportPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := n.peerClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		// An entry of an earlier release tells nothing.
		return nil, nil
	default:
		return nil, errors.Newf("quarantined requests: unexpected status %d", resp.StatusCode)
	}
	var out []quarantinedRequest
	return out, json.NewDecoder(io.LimitReader(resp.Body, maxAdoptedBytes)).Decode(&out)
}
