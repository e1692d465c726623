package acct

import (
	"slices"
	"time"
)

const (
	// renewRemaining is the remaining time of its votes from which an owner asks for them
	// again.
	renewRemaining = VoteLife / 2
	// standDownTime is how long a candidate declines an account after it has reached a
	// preferred one.
	standDownTime = 200 * time.Millisecond
	// retryTime is the time between two attempts to become the owner.
	retryTime = 50 * time.Millisecond
	// quorumIdleTime is how long an owner keeps its votes without a request for credits.
	// A request that comes later waits for an election.
	quorumIdleTime = 10 * time.Second
)

// Ballot asks another candidate of an account for its vote, or with IsCheck only whether
// it can be reached.
type Ballot struct {
	To        string
	Account   string
	Candidate Run
	IsCheck   bool
}

// BallotResult is the result of a Ballot.
type BallotResult struct {
	Ballot
	SentAt time.Time
	// Reached is set if the other candidate replied, and Voted if it gave its vote.
	Reached bool
	Voted   bool
	// IsRepeated is set if the last vote of the other candidate was for the same run.
	IsRepeated bool
}

// Granter decides on requests for credits at an entry: it becomes the owner of accounts for
// which it is a candidate, and grants credits while it is. It is not safe for concurrent use.
type Granter struct {
	self      Run
	quorum    *Quorum
	buckets   *Buckets
	elections map[string]*election
	// resigned is set when the entry is about to stop.
	resigned bool
	// drawnAt holds the time of the last request for credits by account, without requests
	// that only give credits back, which need no owner.
	drawnAt map[string]time.Time
}

// election is an attempt to become or stay the owner of an account.
type election struct {
	isOpen bool
	// isCheck is set while the entry finds out whether it reaches a preferred candidate, and
	// reached once it has reached one.
	isCheck bool
	reached bool
	// pending is the number of ballots without a result.
	pending int
	// notBefore is the time of the next attempt, and declineUntil the time until which
	// the entry leaves the account to another candidate, which may still be the owner.
	notBefore    time.Time
	declineUntil time.Time
}

// NewGranter returns the Granter of a run that starts at now.
func NewGranter(now time.Time, self Run, bound Bound) *Granter {
	return &Granter{self: self, quorum: NewQuorum(now, self), buckets: NewBuckets(bound), elections: map[string]*election{}, drawnAt: map[string]time.Time{}}
}

// Draw decides on a request for credits, and returns the ballots to send.
func (g *Granter) Draw(now time.Time, d AccountDraw, limit Limit, candidates []string) (Reply, []Ballot) {
	if g.resigned {
		return Reply{Status: Declined}, nil
	}
	remaining := g.quorum.Remaining(now, d.Account, candidates)
	if d.Want > 0 || d.Left > 0 {
		g.drawnAt[d.Account] = now
	}
	if remaining == 0 {
		return g.drawWithoutQuorum(now, d.Account, candidates)
	}
	grant, ok := g.buckets.Grant(now, d.Account, limit, d.Draw)
	if !ok {
		return Reply{Status: Declined}, nil
	}
	if remaining > renewRemaining {
		return Reply{Grant: grant}, nil
	}
	return Reply{Grant: grant}, g.begin(now, d.Account, candidates)
}

// drawWithoutQuorum decides on a request for credits while this entry is not the owner, and
// begins to become it if it is a candidate.
func (g *Granter) drawWithoutQuorum(now time.Time, account string, candidates []string) (Reply, []Ballot) {
	if slices.Index(candidates, g.self.Name) < 0 {
		return Reply{Status: Declined}, nil
	}
	ballots := g.begin(now, account, candidates)
	if now.Before(g.elections[account].declineUntil) {
		return Reply{Status: Declined}, ballots
	}
	return Reply{Status: Pending}, ballots
}

// begin begins an election unless one is open or was held a short time ago. A candidate
// that is not the preferred one first checks that it reaches none before it.
func (g *Granter) begin(now time.Time, account string, candidates []string) []Ballot {
	e, ok := g.elections[account]
	if !ok {
		e = &election{}
		g.elections[account] = e
	}
	rank := slices.Index(candidates, g.self.Name)
	if e.isOpen || rank < 0 || now.Before(e.notBefore) || now.Before(e.declineUntil) {
		return nil
	}
	*e = election{isOpen: true, notBefore: now.Add(retryTime)}
	if rank == 0 {
		return g.askVotes(now, account, candidates)
	}
	e.isCheck, e.pending = true, rank
	return g.ballots(account, candidates[:rank], true)
}

// askVotes gives this entry its own vote and returns the ballots to the other candidates.
func (g *Granter) askVotes(now time.Time, account string, candidates []string) []Ballot {
	e := g.elections[account]
	e.isCheck = false
	isGiven, isRepeated := g.quorum.Vote(now, account, g.self, candidates)
	if !isGiven {
		e.isOpen = false
		e.declineUntil = now.Add(retryTime)
		return nil
	}
	g.recordVote(now, account, g.self.Name, isRepeated, candidates)
	out := g.ballots(account, candidates, false)
	e.pending = len(out)
	e.isOpen = len(out) > 0
	return out
}

// recordVote records a vote for this entry. If the voter may have voted for another owner
// since its last vote for this one, the bucket starts empty.
func (g *Granter) recordVote(askedAt time.Time, account, voter string, isRepeated bool, candidates []string) {
	if !isRepeated && !g.quorum.IsOwner(askedAt, account, candidates) {
		g.buckets.Drop(account)
	}
	g.quorum.Record(askedAt, account, voter)
}

// ballots returns a ballot for each of the names but this entry's.
func (g *Granter) ballots(account string, names []string, isCheck bool) []Ballot {
	var out []Ballot
	for _, name := range names {
		if name != g.self.Name {
			out = append(out, Ballot{To: name, Account: account, Candidate: g.self, IsCheck: isCheck})
		}
	}
	return out
}

// Vote decides on the ballot of another candidate. The results are those of Quorum.Vote.
func (g *Granter) Vote(now time.Time, b Ballot, candidates []string) (isGiven, isRepeated bool) {
	if b.IsCheck {
		return false, false
	}
	isGiven, isRepeated = g.quorum.Vote(now, b.Account, b.Candidate, candidates)
	if isGiven {
		g.buckets.Drop(b.Account)
	}
	return isGiven, isRepeated
}

// Renew returns the ballots that keep this entry the owner of the accounts that it granted
// credits for a short time ago.
func (g *Granter) Renew(now time.Time, candidates func(account string) []string) []Ballot {
	var out []Ballot
	for account, at := range g.drawnAt {
		if now.Sub(at) > quorumIdleTime {
			delete(g.drawnAt, account)
			continue
		}
		names := candidates(account)
		if left := g.quorum.Remaining(now, account, names); left > 0 && left <= renewRemaining {
			out = append(out, g.begin(now, account, names)...)
		}
	}
	return out
}

// Count applies the result of a ballot, and returns the ballots to send next.
func (g *Granter) Count(now time.Time, r BallotResult, candidates []string) []Ballot {
	if r.Voted {
		g.recordVote(r.SentAt, r.Account, r.To, r.IsRepeated, candidates)
	}
	e, ok := g.elections[r.Account]
	if !ok || !e.isOpen || e.isCheck != r.IsCheck {
		return nil
	}
	e.pending--
	e.reached = e.reached || r.Reached
	if e.pending > 0 {
		return nil
	}
	e.isOpen = false
	switch {
	case !e.isCheck && g.quorum.IsOwner(now, r.Account, candidates):
		return nil
	case !e.isCheck:
		e.declineUntil = now.Add(retryTime)
		return nil
	case e.reached:
		e.declineUntil = now.Add(standDownTime)
		return nil
	}
	e.isOpen = true
	return g.askVotes(now, r.Account, candidates)
}

// Resign makes the entry grant no more credits, before it tells the others that it is
// leaving. They then withdraw their votes for it.
func (g *Granter) Resign() {
	g.resigned = true
}

// Forget withdraws this entry's votes for a run that has resigned or certainly ended.
func (g *Granter) Forget(ended Run) {
	g.quorum.Forget(ended)
}

// Owned describes an account that this entry owns.
type Owned struct {
	Account     string
	Tokens      float64
	Outstanding float64
}

// Owned returns the accounts for which this entry holds a bucket, in order.
func (g *Granter) Owned(now time.Time) []Owned {
	var out []Owned
	for _, account := range g.buckets.Accounts() {
		tokens, outstanding, _ := g.buckets.Tokens(now, account)
		out = append(out, Owned{Account: account, Tokens: tokens, Outstanding: outstanding})
	}
	return out
}
