package acct

import (
	"maps"
	"slices"
	"time"
)

// VoteLife is how long a vote counts. An owner that is cut off or paused stops granting
// after this time, and another candidate may begin.
const VoteLife = 600 * time.Millisecond

// vote is the candidate to which an entry gave its vote for an account.
type vote struct {
	candidate Run
	until     time.Time
}

// Quorum holds the votes that this entry has given and received. The owner of an account is
// the candidate with the votes of a majority of its candidates. An entry gives one vote for an
// account at a time, so that there are never two owners among the same candidates. It is not
// safe for concurrent use.
type Quorum struct {
	self Run
	// silentUntil is when this run begins to vote. An earlier run of the entry may have
	// given votes that still count.
	silentUntil time.Time
	given       map[string]vote
	// received holds the ends of the votes for this entry, by account and voter.
	received map[string]map[string]time.Time
}

// NewQuorum returns the Quorum of a run that starts at now.
func NewQuorum(now time.Time, self Run) *Quorum {
	return &Quorum{self: self, silentUntil: now.Add(VoteLife), given: map[string]vote{}, received: map[string]map[string]time.Time{}}
}

// Vote gives this entry's vote for an account to a candidate until VoteLife has passed,
// and reports whether it did. candidates are the names of the candidates, the preferred
// one first. This entry gives up the account for a preferred candidate. isRepeated is true
// if the last vote of this entry was for the same run.
func (q *Quorum) Vote(now time.Time, account string, candidate Run, candidates []string) (isGiven, isRepeated bool) {
	rank := slices.Index(candidates, candidate.Name)
	if rank < 0 || now.Before(q.silentUntil) {
		return false, false
	}
	current, ok := q.given[account]
	isFree := !ok || !now.Before(current.until) || current.candidate == candidate || current.isEarlierRunOf(candidate)
	givesWay := ok && current.candidate == q.self && rank < slices.Index(candidates, q.self.Name)
	if !isFree && !givesWay {
		return false, false
	}
	if candidate != q.self {
		delete(q.received, account)
	}
	q.given[account] = vote{candidate: candidate, until: now.Add(VoteLife)}
	return true, current.candidate == candidate
}

// isEarlierRunOf reports whether the vote is for a run that ended before candidate started.
func (v vote) isEarlierRunOf(candidate Run) bool {
	return v.candidate.Name == candidate.Name && v.candidate.StartedAt < candidate.StartedAt
}

// Record records the vote of another entry for this one, which asked for it at askedAt.
// A vote that arrives after this entry gave way is not counted.
func (q *Quorum) Record(askedAt time.Time, account, voter string) {
	if own, ok := q.given[account]; voter != q.self.Name && (!ok || own.candidate != q.self) {
		return
	}
	if q.received[account] == nil {
		q.received[account] = map[string]time.Time{}
	}
	q.received[account][voter] = askedAt.Add(VoteLife)
}

// IsOwner reports whether this entry has the votes of a majority of the candidates.
func (q *Quorum) IsOwner(now time.Time, account string, candidates []string) bool {
	return q.Remaining(now, account, candidates) > 0
}

// Remaining returns the time for which this entry is the owner unless it receives
// further votes, or 0 if it is not.
func (q *Quorum) Remaining(now time.Time, account string, candidates []string) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	votes := make([]time.Duration, 0, OwnerCandidates)
	for _, name := range candidates {
		if left := q.received[account][name].Sub(now); left > 0 {
			votes = append(votes, left)
		}
	}
	return majorityEnd(votes, len(candidates)/2+1)
}

// majorityEnd returns the time until fewer than needed of the votes are left. votes holds
// the remaining time of each.
func majorityEnd(votes []time.Duration, needed int) time.Duration {
	if len(votes) < needed {
		return 0
	}
	end := time.Duration(0)
	for _, left := range votes {
		n := 0
		for _, v := range votes {
			if v >= left {
				n++
			}
		}
		if n >= needed {
			end = max(end, left)
		}
	}
	return end
}

// Forget withdraws the votes for a run that has certainly ended.
func (q *Quorum) Forget(ended Run) {
	maps.DeleteFunc(q.given, func(_ string, v vote) bool {
		return v.candidate.Name == ended.Name && v.candidate.StartedAt <= ended.StartedAt
	})
}
