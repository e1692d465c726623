package acct

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
	"magnolialedge/core/proc"
)

const (
	// CreditLife is how long a holder may spend credits after it asked for them.
	CreditLife = time.Second
	// needLife is the life of credits that only requests already waiting will spend.
	needLife = 250 * time.Millisecond
	// creditProtocol is the first protocol of entries that grant credits.
	creditProtocol = 1
	// OwnerCandidates is the number of entries that may own an account. An odd number
	// needs the fewest votes for a majority.
	OwnerCandidates = 3
)

// Run identifies one run of an entry.
type Run struct {
	Name string
	// StartedAt is the start of the run in Unix milliseconds.
	StartedAt int64
}

// Limit is the rate limit of an account.
type Limit struct {
	// Version is the version of the configuration that states the limit.
	Version int64
	// Rate is in requests per second.
	Rate  float64
	Burst float64
}

// LimitOf returns the limit of an account in a version of the configuration. The burst is
// at least one request, without which no request could be admitted.
func LimitOf(a magnolialedge.ClientAccount, version int64) Limit {
	return Limit{Version: version, Rate: a.RatePerSecond, Burst: max(1, a.Burst)}
}

// Bound is the hard bound on the requests of an account at all entries together: what
// its limit allows in Window, times 1 + Overage, plus Slack.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Max returns the largest number of requests in any Window.
func (b Bound) Max(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// slackShare is the part of Slack that credits may use. The rest is for requests that
// wait in a queue between their admission and their execution.
const slackShare = 0.5

// spare returns the number of credits that may be outstanding in addition to Burst. One
// credit is deducted because LimitOf may have raised the burst to one.
func (b Bound) spare(l Limit) float64 {
	return max(0, b.Overage*(l.Rate*b.Window.Seconds()+l.Burst)+b.Slack*slackShare-1)
}

// Draw is a holder's request for credits of one account.
type Draw struct {
	Holder Run
	// Number increases with each request of a run for the account. A holder applies only
	// the reply to its last request.
	Number int64
	// Left is the number of unspent credits, and Returned that of those that the holder
	// gives back because it does not expect to spend them.
	Left     int
	Returned int
	// Need is the number of requests that wait for a credit, and Want the number of
	// credits for them and for later ones.
	Need int
	Want int
	// Rate is the number of requests per second at the holder, including refused ones.
	Rate float64
}

// Grant is the owner's reply to a Draw.
type Grant struct {
	// Kept is the number of Draw.Left that stays valid.
	Kept    int
	Granted int
	// Valid is the life of all credits of the holder, from the time of the Draw.
	Valid time.Duration
	// Exhausted is the time for which there are no further credits; 0 if there are.
	Exhausted time.Duration
	// Share is the rate at which the holder receives credits while all want more than the
	// limit allows.
	Share float64
}

// ownerKey is what the candidates of an account are ordered by.
type ownerKey struct {
	in     magnolialedge.Instance
	weight uint64
}

// ownerGroups is the number of groups of accounts. The accounts of a group have the same
// candidates and as a rule the same owner, so that a holder asks for the credits of several
// in one message.
const ownerGroups = 4

// GroupOf returns the key by which the owner of an account is chosen. The accounts of a group
// have the same Candidates.
func GroupOf(account string) string {
	return "credits/" + strconv.FormatUint(xxhash.Sum64String(account)%ownerGroups, 10)
}

// Candidates returns the entries that may own an account, the preferred one first: the
// first OwnerCandidates live entries that grant credits by rendezvous hash of the account's group.
func Candidates(all []magnolialedge.Instance, account string) []magnolialedge.Instance {
	group := GroupOf(account)
	keys := make([]ownerKey, 0, len(all))
	for _, in := range all {
		if in.Protocol >= creditProtocol && !in.Leaving {
			keys = append(keys, ownerKey{in: in, weight: proc.RendezvousWeight(in, group)})
		}
	}
	slices.SortFunc(keys, func(a, b ownerKey) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.in.Name, b.in.Name))
	})
	out := make([]magnolialedge.Instance, 0, OwnerCandidates)
	for _, k := range keys[:min(OwnerCandidates, len(keys))] {
		out = append(out, k.in)
	}
	return out
}
