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
	// minWaitingInterval is the same while requests wait.
	minWaitingInterval = 10 * time.Millisecond
	// avoidTime is how long a holder asks other candidates after an owner did not reply.
	avoidTime = time.Second
	// declineTime is how long it does so for an account after a candidate declined, and
	// pendingTime how long it waits for one that is about to become the owner.
	declineTime = 100 * time.Millisecond
	pendingTime = 15 * time.Millisecond
	// maxInFlight limits the messages on their way to one owner. More than one are sent only
	// if requests wait.
	maxInFlight = 4
	// maxAccountsPerMessage keeps messages within 4 KiB.
	maxAccountsPerMessage = 24
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

// Message is what a holder asks one entry for.
type Message struct {
	Owner string
	Draws []AccountDraw
}

// Asker decides when a Holder asks which entry for credits. It is not safe for concurrent
// use.
type Asker struct {
	holder *Holder
	peers  map[string]*askedPeer
	// declinedUntil holds the times until which an account is not asked for at an entry,
	// and pendingUntil those until which it is not asked for anywhere.
	declinedUntil map[accountAt]time.Time
	pendingUntil  map[string]time.Time
}

type askedPeer struct {
	inFlight   int
	sentAt     time.Time
	avoidUntil time.Time
}

type accountAt struct {
	account string
	entry   string
}

// NewAsker returns an Asker for a Holder.
func NewAsker(h *Holder) *Asker {
	return &Asker{holder: h, peers: map[string]*askedPeer{}, declinedUntil: map[accountAt]time.Time{}, pendingUntil: map[string]time.Time{}}
}

// Messages begins the requests that are due. candidates returns the names of the entries
// that may own an account, the preferred one first.
func (a *Asker) Messages(now time.Time, candidates func(account string) []string) []Message {
	byOwner := map[string][]string{}
	for account := range a.holder.accounts {
		if !a.holder.IsDue(now, account) {
			continue
		}
		if owner, ok := a.ownerOf(now, account, candidates(account)); ok {
			byOwner[owner] = append(byOwner[owner], account)
		}
	}
	var out []Message
	for owner, accounts := range byOwner {
		if a.maySend(now, owner, accounts) {
			out = append(out, a.begin(now, owner, accounts))
		}
	}
	return out
}

// ownerOf returns the first candidate that replies and has not declined, or else the first
// that has not declined. It returns false if there is none or if one is about to become
// the owner.
func (a *Asker) ownerOf(now time.Time, account string, candidates []string) (string, bool) {
	if now.Before(a.pendingUntil[account]) {
		return "", false
	}
	first := ""
	for _, name := range candidates {
		if now.Before(a.declinedUntil[accountAt{account, name}]) {
			continue
		}
		if p := a.peers[name]; p == nil || !now.Before(p.avoidUntil) {
			return name, true
		}
		if first == "" {
			first = name
		}
	}
	return first, first != ""
}

func (a *Asker) maySend(now time.Time, owner string, accounts []string) bool {
	p := a.peers[owner]
	switch {
	case p == nil:
		return true
	case p.inFlight >= maxInFlight:
		return false
	case slices.ContainsFunc(accounts, a.holder.HasWaiting):
		return now.Sub(p.sentAt) >= minWaitingInterval
	}
	return p.inFlight == 0 && now.Sub(p.sentAt) >= minAskInterval
}

// begin begins a request for some accounts, those for which requests wait first.
func (a *Asker) begin(now time.Time, owner string, accounts []string) Message {
	p := a.peers[owner]
	if p == nil {
		p = &askedPeer{}
		a.peers[owner] = p
	}
	p.sentAt = now
	p.inFlight++
	slices.SortFunc(accounts, func(x, y string) int {
		return a.holder.accounts[y].waiting - a.holder.accounts[x].waiting
	})
	m := Message{Owner: owner}
	for _, account := range accounts[:min(len(accounts), maxAccountsPerMessage)] {
		m.Draws = append(m.Draws, AccountDraw{Draw: a.holder.Draw(now, account), Account: account})
	}
	return m
}

// Done applies the replies to a message by account. Accounts without a reply have failed.
func (a *Asker) Done(now time.Time, m Message, replies map[string]Reply) {
	a.peers[m.Owner].inFlight--
	for _, d := range m.Draws {
		reply, ok := replies[d.Account]
		if ok && reply.Status == Granted {
			a.holder.Apply(now, d.Account, d.Number, reply.Grant)
			continue
		}
		a.holder.Fail(d.Account, d.Number)
		if reply.Status == Pending {
			a.pendingUntil[d.Account] = now.Add(pendingTime)
		} else {
			a.declinedUntil[accountAt{d.Account, m.Owner}] = now.Add(declineTime)
		}
	}
	if len(a.declinedUntil)+len(a.pendingUntil) > maxRemembered {
		clear(a.declinedUntil)
		clear(a.pendingUntil)
	}
}

// maxRemembered limits the remembered replies; most of them have expired.
const maxRemembered = 1024

// Failed records that a message has ended without a reply.
func (a *Asker) Failed(now time.Time, m Message) {
	p := a.peers[m.Owner]
	p.inFlight--
	p.avoidUntil = now.Add(avoidTime)
	for _, d := range m.Draws {
		a.holder.Fail(d.Account, d.Number)
	}
}
