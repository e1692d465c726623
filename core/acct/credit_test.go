package acct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

var testLimit = Limit{Version: 1, Rate: 20, Burst: 20}

func at(ms int) time.Time {
	return simStart.Add(time.Duration(ms) * time.Millisecond)
}

// Guards against credits that a late or repeated reply adds.
func TestLateAndRepeatedRepliesAddNoCredits(t *testing.T) {
	h := NewHolder(Run{Name: "h"})
	h.Take(at(0), testAccount)
	first := h.Draw(at(0), testAccount)
	h.Fail(testAccount, first.Number)
	second := h.Draw(at(200), testAccount)
	grant := Grant{Granted: 3, Valid: CreditLife}
	require.False(t, h.Apply(at(210), testAccount, first.Number, grant))
	require.True(t, h.Apply(at(220), testAccount, second.Number, grant))
	require.False(t, h.Apply(at(230), testAccount, second.Number, grant))
	require.Equal(t, 3, h.Standing(at(240), testAccount).Left)
	require.Zero(t, h.Standing(at(1200), testAccount).Left)
}

// Guards against credits for a request that arrives again or after a later one.
func TestOwnerGrantsARequestOnce(t *testing.T) {
	o := NewBuckets(testBound)
	draw := Draw{Holder: Run{Name: "h"}, Number: 2, Need: 1, Want: 1}
	o.Grant(at(0), testAccount, testLimit, Draw{Holder: Run{Name: "other"}, Number: 1})
	g, ok := o.Grant(at(1000), testAccount, testLimit, draw)
	require.True(t, ok)
	require.Equal(t, 1, g.Granted)
	_, ok = o.Grant(at(1100), testAccount, testLimit, draw)
	require.False(t, ok)
	draw.Number = 1
	_, ok = o.Grant(at(1200), testAccount, testLimit, draw)
	require.False(t, ok)
}

// Guards against a holder that gives back more than it has, and against credits that the
// owner still counts as spent although they were returned.
func TestReturnedCreditsAreGrantedAgain(t *testing.T) {
	o := NewBuckets(testBound)
	o.Grant(at(0), testAccount, testLimit, Draw{Holder: Run{Name: "h"}, Number: 1})
	g, _ := o.Grant(at(500), testAccount, testLimit, Draw{Holder: Run{Name: "h"}, Number: 2, Need: 10, Want: 10})
	require.Equal(t, 10, g.Granted)
	o.Grant(at(500), testAccount, testLimit, Draw{Holder: Run{Name: "h"}, Number: 3, Returned: 100})
	tokens, outstanding, _ := o.Tokens(at(500), testAccount)
	require.Equal(t, 10.0, tokens)
	require.Zero(t, outstanding)
}

// Guards against a burst that is granted again by an owner that another one replaced
// meanwhile.
func TestBucketIsKeptOnlyByAnUninterruptedOwner(t *testing.T) {
	candidates := []string{"a", "b", "c"}
	self := Run{Name: "a"}
	s := NewGranter(at(0), self, testBound)
	become := func(ms int, isRepeated bool) {
		s.Draw(at(ms), AccountDraw{Account: testAccount}, testLimit, candidates)
		s.Count(at(ms), BallotResult{Ballot: Ballot{To: "b", Account: testAccount}, SentAt: at(ms), Reached: true, Voted: true, IsRepeated: isRepeated}, candidates)
		s.Count(at(ms), BallotResult{Ballot: Ballot{To: "c", Account: testAccount}, SentAt: at(ms)}, candidates)
	}
	draw := AccountDraw{Account: testAccount, Draw: Draw{Holder: self}}
	tokensAt := func(ms int) float64 {
		draw.Number++
		s.Draw(at(ms), draw, testLimit, candidates)
		return s.Owned(at(ms))[0].Tokens
	}
	become(1000, false)
	require.Zero(t, tokensAt(1000))
	become(3000, true)
	require.Equal(t, testLimit.Burst+depthShare*testBound.spare(testLimit), tokensAt(3000), "the bucket has filled meanwhile")
	become(5000, false)
	require.Zero(t, tokensAt(5000))
}

// Guards against owners that understand no messages about credits or are about to stop.
func TestOnlyStayingEntriesOfProtocol1AreCandidates(t *testing.T) {
	all := []magnolialedge.Instance{{Name: "old"}, {Name: "leaving", Protocol: 1, Leaving: true}, {Name: "new", Protocol: 1}}
	require.Equal(t, all[2:], Candidates(all, testAccount))
}

// An owner decides on the requests of 312 holders of one account.
func BenchmarkGrantTo312Holders(b *testing.B) {
	o := NewBuckets(testBound)
	limit := Limit{Rate: 170, Burst: 170}
	n := 0
	for b.Loop() {
		n++
		o.Grant(at(n), testAccount, limit, Draw{Holder: Run{StartedAt: int64(n % 312)}, Number: int64(n), Need: 1, Want: 2, Rate: 1})
	}
}
