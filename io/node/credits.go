package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
	"magnolialedge/core/acct"
	"magnolialedge/io/event"
)

const (
	// creditTick is the time between two checks for credits and votes to renew. waitingTick
	// replaces it while requests wait for credits, and idleTick while no account has a limit.
	creditTick  = 50 * time.Millisecond
	waitingTick = 5 * time.Millisecond
	idleTick    = time.Minute
	// candidatesTTL is how long the candidates of an account are cached.
	candidatesTTL = 100 * time.Millisecond
	// ballotTimeout limits asking another candidate for its vote.
	ballotTimeout = 100 * time.Millisecond
	// exhaustedLogInterval is the shortest time between two log lines about an exhausted
	// account.
	exhaustedLogInterval = time.Second
	// defaultQuotaWindow, defaultQuotaOverage, a fraction, and defaultQuotaSlack, in requests,
	// apply if the settings do not state the bound.
	defaultQuotaWindow  = 5 * time.Second
	defaultQuotaOverage = 0.1
	defaultQuotaSlack   = 20
)

// quotaBound returns the hard bound on the requests of an account.
func quotaBound(s Settings) acct.Bound {
	if s.QuotaWindow <= 0 {
		return acct.Bound{Window: defaultQuotaWindow, Overage: defaultQuotaOverage, Slack: defaultQuotaSlack}
	}
	return acct.Bound{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}
}

// creditPeers sends the messages of credits to other entries.
type creditPeers interface {
	draw(ctx context.Context, to magnolialedge.Instance, m acct.Message, version int64) (map[string]acct.Reply, error)
	vote(ctx context.Context, to magnolialedge.Instance, ballots []acct.Ballot) (map[string]acct.BallotResult, error)
}

// credits keeps the limits of the client accounts together with the other entries. It
// implements serve.AccountQuotas.
type credits struct {
	self    acct.Run
	members func() []magnolialedge.Instance
	peers   creditPeers
	log     event.Logger
	metrics *creditMetrics
	wake    chan struct{}

	// mu guards the fields below. It is never held during I/O.
	mu        sync.Mutex
	holder    *acct.Holder
	scheduler *acct.DrawScheduler
	granter   *acct.Granter
	version   int64
	limits    map[string]acct.Limit
	// replied holds a channel for each account with waiting requests, which is closed at
	// the next reply, and waiting is their number.
	replied map[string]chan struct{}
	waiting int
	// candidates caches the candidates by group of accounts, and instances the entries.
	candidates  map[string][]string
	instances   map[string]magnolialedge.Instance
	candidateAt time.Time
	// owners holds the entry that last granted credits, by account.
	owners            map[string]string
	exhaustedLoggedAt map[string]time.Time
	lost              peerLogLimiter
}

func newCredits(now time.Time, self acct.Run, bound acct.Bound, members func() []magnolialedge.Instance, peers creditPeers, metrics *creditMetrics, log event.Logger) *credits {
	h := acct.NewHolder(self)
	return &credits{
		self: self, members: members, peers: peers, log: log, metrics: metrics,
		wake:              make(chan struct{}, 1),
		holder:            h,
		scheduler:         acct.NewDrawScheduler(h),
		granter:           acct.NewGranter(now, self, bound),
		limits:            map[string]acct.Limit{},
		replied:           map[string]chan struct{}{},
		candidates:        map[string][]string{},
		instances:         map[string]magnolialedge.Instance{},
		owners:            map[string]string{},
		exhaustedLoggedAt: map[string]time.Time{},
	}
}

// setRouting replaces the limits by those of a configuration.
func (c *credits) setRouting(r magnolialedge.RoutingConfig) {
	limits := map[string]acct.Limit{}
	for _, a := range r.Accounts {
		if a.HasLimit() {
			limits[a.Name] = acct.LimitOf(a, r.Version)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.limits = r.Version, limits
	c.signal()
	keep := func(account string) bool { _, ok := limits[account]; return ok }
	maps.DeleteFunc(c.owners, func(account, _ string) bool { return !keep(account) })
	maps.DeleteFunc(c.exhaustedLoggedAt, func(account string, _ time.Time) bool { return !keep(account) })
	for account, ch := range c.replied {
		if !keep(account) {
			close(ch)
			delete(c.replied, account)
		}
	}
}

// run renews credits and votes until ctx is done.
func (c *credits) run(ctx context.Context) {
	timer := time.NewTimer(creditTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
		}
		timer.Reset(c.tick(time.Now()))
	}
}

// tick sends what is due and returns the time until the next tick.
func (c *credits) tick(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.limits) == 0 {
		return idleTick
	}
	c.refreshCandidates(now)
	c.sendBallots(c.granter.Renew(now, c.candidatesOf))
	for _, m := range c.scheduler.Messages(now, c.candidatesOf) {
		c.send(now, m)
	}
	c.holder.Forget(now)
	if c.waiting > 0 {
		return waitingTick
	}
	return creditTick
}

// refreshCandidates drops the cached candidates and lists the entries again if that was done
// longer than candidatesTTL ago. The caller holds c.mu.
func (c *credits) refreshCandidates(now time.Time) {
	if now.Sub(c.candidateAt) < candidatesTTL {
		return
	}
	c.candidateAt = now
	clear(c.candidates)
	clear(c.instances)
	for _, in := range c.members() {
		c.instances[in.Name] = in
		if in.Leaving {
			c.granter.Forget(acct.Run{Name: in.Name, StartedAt: in.StartedAt})
		}
	}
}

// candidatesOf returns the names of the entries that may own an account. The caller holds
// c.mu.
func (c *credits) candidatesOf(account string) []string {
	group := acct.GroupOf(account)
	if names, ok := c.candidates[group]; ok {
		return names
	}
	names := []string{}
	for _, in := range acct.Candidates(slices.Collect(maps.Values(c.instances)), account) {
		names = append(names, in.Name)
	}
	c.candidates[group] = names
	return names
}

// send sends a message to an owner, or handles it if this entry is the owner. The caller
// holds c.mu.
func (c *credits) send(now time.Time, m acct.Message) {
	c.metrics.messages.WithLabelValues("draw").Inc()
	if m.Owner == c.self.Name {
		c.finish(now, m, c.grantAll(now, m.Draws, c.version))
		return
	}
	to, version := c.instances[m.Owner], c.version
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acct.AskTimeout)
		defer cancel()
		replies, err := c.peers.draw(ctx, to, m, version)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			c.recordLost(to, err)
			c.scheduler.Failed(time.Now(), m)
			c.signal()
			return
		}
		c.finish(time.Now(), m, replies)
	}()
}

// recordLost counts a message without a reply, and logs it at most once per peerLogInterval
// and peer. A refused connection shows that the run of the other entry has ended. The caller
// holds c.mu.
func (c *credits) recordLost(to magnolialedge.Instance, err error) {
	c.metrics.messages.WithLabelValues("lost").Inc()
	if c.lost.shouldLog(time.Now(), to.Name) {
		c.log.Log(event.PeerUnreachable, "peer", to.PeerAddress, "err", err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.granter.Forget(acct.Run{Name: to.Name, StartedAt: to.StartedAt})
	}
}

// finish applies the replies to a message and wakes the requests that wait. The caller holds
// c.mu.
func (c *credits) finish(now time.Time, m acct.Message, replies map[string]acct.Reply) {
	c.scheduler.Done(now, m, replies)
	for _, d := range m.Draws {
		if r, ok := replies[d.Account]; ok && r.Status == acct.Granted {
			c.recordOwner(d.Account, m.Owner)
			c.metrics.credits.WithLabelValues("granted").Add(float64(r.Granted))
		}
		c.metrics.credits.WithLabelValues("returned").Add(float64(d.Returned))
		if ch, ok := c.replied[d.Account]; ok {
			close(ch)
			delete(c.replied, d.Account)
		}
	}
	c.signal()
}

// recordOwner records which entry grants the credits of an account, and logs a change. The
// caller holds c.mu.
func (c *credits) recordOwner(account, owner string) {
	before := c.owners[account]
	if before == owner {
		return
	}
	c.owners[account] = owner
	if before != "" {
		c.log.Log(event.QuotaOwnerChanged, "account", account, "owner", owner, "before", before)
	}
}

// leave ends granting credits, before the other entries learn that this one is leaving.
func (c *credits) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granter.Resign()
}

// signal makes run tick soon.
func (c *credits) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// grantAll decides on the requests for credits of one message, whose sender has the given
// version of the configuration. The caller holds c.mu.
func (c *credits) grantAll(now time.Time, draws []acct.AccountDraw, version int64) map[string]acct.Reply {
	c.refreshCandidates(now)
	replies := map[string]acct.Reply{}
	for _, d := range draws {
		limit, ok := c.limits[d.Account]
		if !ok {
			replies[d.Account] = replyWithoutLimit(d, version, c.version)
			continue
		}
		reply, ballots := c.granter.Draw(now, d, limit, c.candidatesOf(d.Account))
		replies[d.Account] = reply
		c.sendBallots(ballots)
	}
	return replies
}

// replyWithoutLimit returns the reply for an account that has no limit here. If this entry
// has the later configuration, the limit has ended.
func replyWithoutLimit(d acct.AccountDraw, version, ownVersion int64) acct.Reply {
	if ownVersion <= version {
		return acct.Reply{Status: acct.Pending}
	}
	return acct.Reply{Grant: acct.Grant{Kept: d.Left, Granted: d.Want, Valid: acct.CreditLife}}
}

// sendBallots asks other candidates for their votes. The caller holds c.mu.
func (c *credits) sendBallots(ballots []acct.Ballot) {
	byPeer := map[string][]acct.Ballot{}
	for _, b := range ballots {
		byPeer[b.To] = append(byPeer[b.To], b)
	}
	for name, group := range byPeer {
		c.metrics.messages.WithLabelValues("vote").Inc()
		go c.askVotes(time.Now(), c.instances[name], group)
	}
}

// askVotes sends ballots to another candidate and applies the results.
func (c *credits) askVotes(sentAt time.Time, to magnolialedge.Instance, ballots []acct.Ballot) {
	ctx, cancel := context.WithTimeout(context.Background(), ballotTimeout)
	defer cancel()
	results, err := c.peers.vote(ctx, to, ballots)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recordLost(to, err)
	}
	now := time.Now()
	for _, b := range ballots {
		r := results[b.Account]
		r.Ballot, r.SentAt, r.Reached = b, sentAt, err == nil
		c.sendBallots(c.granter.Count(now, r, c.candidatesOf(b.Account)))
	}
	c.signal()
}

// handleDraws decides on a message of another entry.
func (c *credits) handleDraws(now time.Time, draws []acct.AccountDraw, version int64) map[string]acct.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grantAll(now, draws, version)
}

// handleBallots decides on the ballots of another entry.
func (c *credits) handleBallots(now time.Time, ballots []acct.Ballot) []acct.BallotResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshCandidates(now)
	results := make([]acct.BallotResult, 0, len(ballots))
	for _, b := range ballots {
		isGiven, isRepeated := c.granter.Vote(now, b, c.candidatesOf(b.Account))
		results = append(results, acct.BallotResult{Ballot: b, Voted: isGiven, IsRepeated: isRepeated})
	}
	return results
}
