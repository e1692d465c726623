package acct

import (
	"slices"
	"time"
)

const (
	// AskTimeout is how long a holder waits for the reply of an owner: 150 ms and a round
	// trip to another region.
	AskTimeout = 190 * time.Millisecond
	// minAskInterval is the shortest time between two messages to an owner, unless a
	// request waits.
	minAskInterval = 100 * time.Millisecond
	// minWaitingInterval is the shortest time between two messages to an owner while
	// requests wait.
	minWaitingInterval = 10 * time.Millisecond
	// avoidTime is how long a holder asks other candidates after an owner did not reply.
	avoidTime = time.Second
	// declineTime is how long a holder asks other candidates for an account after a
	// candidate declined.
	declineTime = 100 * time.Millisecond
	// pendingTime is how long a holder does not ask for an account after a candidate replied
	// that it is about to become the owner.
	pendingTime = 15 * time.Millisecond
	// maxInFlight limits the messages on their way to one owner. More than one are sent only
	// if requests wait.
	maxInFlight = 4
	// maxAccountsPerMessage keeps messages within 4 KiB.
	maxAccountsPerMessage = 24
	// maxRemembered limits the remembered replies, most of which have expired.
	maxRemembered = 1024
)

// Status tells whether an entry that was asked for credits is the owner.
type Status string

const (
	// Granted replies come from the owner.
	Granted Status = ""
	// Declined replies come from an entry that is not the owner.
	Declined Status = "declined"
	// Pending replies come from an entry that is about to become the owner.
	Pending Status = "pending"
)

// AccountDraw is a Draw for an account.
type AccountDraw struct {
	Draw
	Account string
}

// Reply is the reply to an AccountDraw.
type Reply struct {
	Grant
	Status Status
}

// Message holds the requests for credits that a holder sends to one entry.
type Message struct {
	Owner string
	Draws []AccountDraw
}

// DrawScheduler decides when a Holder sends a request for credits, and to which entry. It is
// not safe for concurrent use.
type DrawScheduler struct {
	holder *Holder
	peers  map[string]*peerState
	// declinedUntil holds the times until which an account is not asked for at an entry,
	// and pendingUntil those until which it is not asked for anywhere.
	declinedUntil map[accountAt]time.Time
	pendingUntil  map[string]time.Time
}

// peerState is what is known of an entry that was asked for credits.
type peerState struct {
	// inFlight is the number of messages without a reply, and sentAt the time of the last one.
	inFlight   int
	sentAt     time.Time
	avoidUntil time.Time
}

// accountAt identifies an account at one entry.
type accountAt struct {
	account string
	entry   string
}

// NewDrawScheduler returns a DrawScheduler for a Holder.
func NewDrawScheduler(h *Holder) *DrawScheduler {
	return &DrawScheduler{holder: h, peers: map[string]*peerState{}, declinedUntil: map[accountAt]time.Time{}, pendingUntil: map[string]time.Time{}}
}

// Messages begins the requests that are due. candidates returns the names of the entries
// that may own an account, the preferred one first.
func (s *DrawScheduler) Messages(now time.Time, candidates func(account string) []string) []Message {
	byOwner := map[string][]string{}
	for account := range s.holder.accounts {
		if !s.holder.IsDue(now, account) {
			continue
		}
		if owner, ok := s.ownerOf(now, account, candidates(account)); ok {
			byOwner[owner] = append(byOwner[owner], account)
		}
	}
	var out []Message
	for owner, accounts := range byOwner {
		if s.maySend(now, owner, accounts) {
			out = append(out, s.begin(now, owner, accounts))
		}
	}
	return out
}

// ownerOf returns the first candidate that replies and has not declined, or else the first
// that has not declined. It returns false if there is none or if one is about to become
// the owner.
func (s *DrawScheduler) ownerOf(now time.Time, account string, candidates []string) (string, bool) {
	if now.Before(s.pendingUntil[account]) {
		return "", false
	}
	first := ""
	for _, name := range candidates {
		if now.Before(s.declinedUntil[accountAt{account, name}]) {
			continue
		}
		if p := s.peers[name]; p == nil || !now.Before(p.avoidUntil) {
			return name, true
		}
		if first == "" {
			first = name
		}
	}
	return first, first != ""
}

// maySend reports whether a message about the accounts may be sent to an owner now.
func (s *DrawScheduler) maySend(now time.Time, owner string, accounts []string) bool {
	p := s.peers[owner]
	switch {
	case p == nil:
		return true
	case p.inFlight >= maxInFlight:
		return false
	case slices.ContainsFunc(accounts, s.holder.HasWaiting):
		return now.Sub(p.sentAt) >= minWaitingInterval
	}
	return p.inFlight == 0 && now.Sub(p.sentAt) >= minAskInterval
}

// begin begins a request for some accounts, those for which requests wait first.
func (s *DrawScheduler) begin(now time.Time, owner string, accounts []string) Message {
	p := s.peers[owner]
	if p == nil {
		p = &peerState{}
		s.peers[owner] = p
	}
	p.sentAt = now
	p.inFlight++
	slices.SortFunc(accounts, func(x, y string) int {
		return s.holder.accounts[y].waiting - s.holder.accounts[x].waiting
	})
	m := Message{Owner: owner}
	for _, account := range accounts[:min(len(accounts), maxAccountsPerMessage)] {
		m.Draws = append(m.Draws, AccountDraw{Draw: s.holder.Draw(now, account), Account: account})
	}
	return m
}

// Done applies the replies to a message by account. Accounts without a reply have failed.
func (s *DrawScheduler) Done(now time.Time, m Message, replies map[string]Reply) {
	s.peers[m.Owner].inFlight--
	for _, d := range m.Draws {
		reply, ok := replies[d.Account]
		if ok && reply.Status == Granted {
			s.holder.Apply(now, d.Account, d.Number, reply.Grant)
			continue
		}
		s.holder.Fail(d.Account, d.Number)
		if reply.Status == Pending {
			s.pendingUntil[d.Account] = now.Add(pendingTime)
		} else {
			s.declinedUntil[accountAt{d.Account, m.Owner}] = now.Add(declineTime)
		}
	}
	if len(s.declinedUntil)+len(s.pendingUntil) > maxRemembered {
		clear(s.declinedUntil)
		clear(s.pendingUntil)
	}
}

// Failed records that a message has ended without a reply.
func (s *DrawScheduler) Failed(now time.Time, m Message) {
	p := s.peers[m.Owner]
	p.inFlight--
	p.avoidUntil = now.Add(avoidTime)
	for _, d := range m.Draws {
		s.holder.Fail(d.Account, d.Number)
	}
}
