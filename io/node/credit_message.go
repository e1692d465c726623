package node

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/io/event"
)

const (
	// creditPath is the path where an entry asks the owner of accounts for credits, and
	// votePath the one where it asks another candidate for its vote.
	creditPath = "/v1/credits"
	votePath   = "/v1/votes"
	// maxCreditAccounts limits the accounts, maxCredits each number of credits, and
	// maxCreditRate each rate, in requests per second, of a message.
	maxCreditAccounts = 64
	maxCredits        = 100_000
	maxCreditRate     = 1e6
)

var errInvalidCreditMessage = errors.New("the message about credits is invalid")

// creditRequest asks for credits of accounts. Version is that of the sender's
// configuration.
type creditRequest struct {
	From      string       `json:"from"`
	StartedAt int64        `json:"startedAt"`
	Accounts  []creditDraw `json:"accounts"`
}

type creditDraw struct {
	Account  string  `json:"account"`
	Number   int64   `json:"number"`
	Left     int     `json:"left,omitempty"`
	Returned int     `json:"returned,omitempty"`
	Need     int     `json:"need,omitempty"`
	Want     int     `json:"want"`
	Rate     float64 `json:"rate"`
	Version  int64   `json:"version"`
}

type creditReply struct {
	Accounts []creditGrant `json:"accounts"`
}

type creditGrant struct {
	Account     string      `json:"account"`
	Kept        int         `json:"kept,omitempty"`
	Granted     int         `json:"granted"`
	ValidMs     int64       `json:"validMs"`
	ExhaustedMs int64       `json:"exhaustedMs"`
	Share       float64     `json:"share,omitempty"`
	Status      acct.Status `json:"status,omitempty"`
}

// check returns an error if a field has no value that an entry sends.
func (r creditRequest) check() error {
	if r.From == "" || len(r.Accounts) == 0 || len(r.Accounts) > maxCreditAccounts {
		return errors.Wrap(errInvalidCreditMessage, "the sender or the accounts are missing, or there are too many")
	}
	for _, d := range r.Accounts {
		isCount := func(n int) bool { return n >= 0 && n <= maxCredits }
		if d.Account == "" || d.Number <= 0 || !isCount(d.Left) || !isCount(d.Returned) || !isCount(d.Need) || !isCount(d.Want) {
			return errors.Wrap(errInvalidCreditMessage, "a name is missing or a number is out of range")
		}
		if !(d.Rate >= 0 && d.Rate <= maxCreditRate) {
			return errors.Wrap(errInvalidCreditMessage, "a rate is out of range")
		}
	}
	return nil
}

// draws returns the requests for credits and the version of the sender's configuration.
func (r creditRequest) draws() (draws []acct.AccountDraw, version int64) {
	holder := acct.Run{Name: r.From, StartedAt: r.StartedAt}
	for _, d := range r.Accounts {
		draws = append(draws, acct.AccountDraw{Account: d.Account, Draw: acct.Draw{
			Holder: holder, Number: d.Number, Left: d.Left, Returned: d.Returned, Need: d.Need, Want: d.Want, Rate: d.Rate,
		}})
		version = d.Version
	}
	return draws, version
}

// grant returns the reply as the holder uses it. Times beyond those that an owner grants
// are shortened.
func (g creditGrant) grant() acct.Reply {
	return acct.Reply{Status: g.Status, Grant: acct.Grant{
		Kept:      min(maxCredits, max(0, g.Kept)),
		Granted:   min(maxCredits, max(0, g.Granted)),
		Valid:     min(acct.CreditLife, time.Duration(max(0, g.ValidMs))*time.Millisecond),
		Exhausted: min(acct.LongestExhausted, time.Duration(max(0, g.ExhaustedMs))*time.Millisecond),
		Share:     max(0, g.Share),
	}}
}

// voteRequest asks for votes as the owner of accounts, or whether the peer can be reached.
type voteRequest struct {
	From      string        `json:"from"`
	StartedAt int64         `json:"startedAt"`
	Accounts  []voteAccount `json:"accounts"`
}

type voteAccount struct {
	Account string `json:"account"`
	IsCheck bool   `json:"check,omitempty"`
}

type voteReply struct {
	Accounts []voteResult `json:"accounts"`
}

type voteResult struct {
	Account    string `json:"account"`
	IsGiven    bool   `json:"given,omitempty"`
	IsRepeated bool   `json:"repeated,omitempty"`
}

func (r voteRequest) ballots() ([]acct.Ballot, error) {
	if r.From == "" || len(r.Accounts) == 0 || len(r.Accounts) > maxCreditAccounts {
		return nil, errors.Wrap(errInvalidCreditMessage, "the sender or the accounts are missing, or there are too many")
	}
	candidate := acct.Run{Name: r.From, StartedAt: r.StartedAt}
	ballots := make([]acct.Ballot, 0, len(r.Accounts))
	for _, a := range r.Accounts {
		ballots = append(ballots, acct.Ballot{Account: a.Account, Candidate: candidate, IsCheck: a.IsCheck})
	}
	return ballots, nil
}

// creditClient sends messages about credits over HTTP. It implements creditPeers.
type creditClient struct {
	client *http.Client
	self   acct.Run
}

// draw implements creditPeers.
func (c creditClient) draw(ctx context.Context, to magnolialedge.Instance, m acct.Message, version int64) (map[string]acct.Reply, error) {
	req := creditRequest{From: c.self.Name, StartedAt: c.self.StartedAt}
	for _, d := range m.Draws {
		req.Accounts = append(req.Accounts, creditDraw{
			Account: d.Account, Number: d.Number, Left: d.Left, Returned: d.Returned, Need: d.Need, Want: d.Want, Rate: rounded(d.Rate), Version: version,
		})
	}
	var reply creditReply
	if err := c.post(ctx, to.PeerAddress, creditPath, req, &reply); err != nil {
		return nil, err
	}
	out := map[string]acct.Reply{}
	for _, g := range reply.Accounts {
		out[g.Account] = g.grant()
	}
	return out, nil
}

// rounded returns a rate with three decimal places, which keeps messages short.
func rounded(rate float64) float64 {
	return math.Round(rate*1000) / 1000
}

// vote implements creditPeers.
func (c creditClient) vote(ctx context.Context, to magnolialedge.Instance, ballots []acct.Ballot) (map[string]acct.BallotResult, error) {
	req := voteRequest{From: c.self.Name, StartedAt: c.self.StartedAt}
	for _, b := range ballots {
		req.Accounts = append(req.Accounts, voteAccount{Account: b.Account, IsCheck: b.IsCheck})
	}
	var reply voteReply
	if err := c.post(ctx, to.PeerAddress, votePath, req, &reply); err != nil {
		return nil, err
	}
	out := map[string]acct.BallotResult{}
	for _, r := range reply.Accounts {
		out[r.Account] = acct.BallotResult{Voted: r.IsGiven, IsRepeated: r.IsRepeated}
	}
	return out, nil
}

// post sends a message and decodes its reply.
func (c creditClient) post(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	resp, err := postMessage(ctx, c.client, address, path, body)
	if err != nil {
		return errors.Wrap(err, "send message")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("send message: unexpected status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxPeerMessageBytes)).Decode(reply), "read reply")
}

// creditHandler receives the messages about credits of other entries.
type creditHandler struct {
	credits *credits
	log     event.Logger
	invalid peerLogLimiter
}

func (h *creditHandler) handleDraw(c echo.Context) error {
	var req creditRequest
	err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&req)
	if err == nil {
		err = req.check()
	}
	if err != nil {
		return h.refuse(c, err)
	}
	draws, version := req.draws()
	replies := h.credits.handleDraws(time.Now(), draws, version)
	reply := creditReply{}
	for _, d := range draws {
		r := replies[d.Account]
		reply.Accounts = append(reply.Accounts, creditGrant{
			Account: d.Account, Kept: r.Kept, Granted: r.Granted, Share: rounded(r.Share), Status: r.Status,
			ValidMs: r.Valid.Milliseconds(), ExhaustedMs: r.Exhausted.Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, reply)
}

func (h *creditHandler) handleVote(c echo.Context) error {
	var req voteRequest
	var ballots []acct.Ballot
	err := json.NewDecoder(io.LimitReader(c.Request().Body, maxPeerMessageBytes)).Decode(&req)
	if err == nil {
		ballots, err = req.ballots()
	}
	if err != nil {
		return h.refuse(c, err)
	}
	reply := voteReply{}
	for _, r := range h.credits.handleBallots(time.Now(), ballots) {
		reply.Accounts = append(reply.Accounts, voteResult{Account: r.Account, IsGiven: r.Voted, IsRepeated: r.IsRepeated})
	}
	return c.JSON(http.StatusOK, reply)
}

// refuse refuses an invalid message and logs it at most once per peerLogInterval and peer.
func (h *creditHandler) refuse(c echo.Context, err error) error {
	peer, _, splitErr := net.SplitHostPort(c.Request().RemoteAddr)
	if splitErr != nil {
		peer = c.Request().RemoteAddr
	}
	if h.invalid.shouldLog(time.Now(), peer) {
		h.log.Log(event.CreditMessageInvalid, "peer", peer, "err", err)
	}
	return c.NoContent(http.StatusBadRequest)
}
