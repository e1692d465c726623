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

// Tenure decides which of an account's candidates is the owner: the one with the votes
// of a majority. An entry gives one vote for an account at a time, so that there are
// never two owners among the same candidates. It is not safe for concurrent use.
type Tenure struct {
	self Run
	// silentUntil is when this run begins to vote. An earlier run of the entry may have
	// given votes that still count.
	silentUntil time.Time
	given       map[string]vote
	// received holds the ends of the votes for this entry, by account and voter.
	received map[string]map[string]time.Time
}

// NewTenure returns the Tenure of a run that starts at now.
func NewTenure(now time.Time, self Run) *Tenure {
	return &Tenure{self: self, silentUntil: now.Add(VoteLife), given: map[string]vote{}, received: map[string]map[string]time.Time{}}
}

// Vote gives this entry's vote for an account to a candidate until VoteLife has passed,
// and reports whether it did. candidates are the names of the candidates, the preferred
// one first. This entry gives up the account for a preferred candidate. isRepeated is true
// if the last vote of this entry was for the same run.
func (t *Tenure) Vote(now time.Time, account string, candidate Run, candidates []string) (isGiven, isRepeated bool) {
	rank := slices.Index(candidates, candidate.Name)
	if rank < 0 || now.Before(t.silentUntil) {
		return false, false
	}
	current, ok := t.given[account]
	isFree := !ok || !now.Before(current.until) || current.candidate == candidate || current.isEarlierRunOf(candidate)
	givesWay := ok && current.candidate == t.self && rank < slices.Index(candidates, t.self.Name)
	if !isFree && !givesWay {
		return false, false
	}
	if candidate != t.self {
		delete(t.received, account)
	}
	t.given[account] = vote{candidate: candidate, until: now.Add(VoteLife)}
	return true, current.candidate == candidate
}

// isEarlierRunOf reports whether the vote is for a run that ended before candidate started.
func (v vote) isEarlierRunOf(candidate Run) bool {
	return v.candidate.Name == candidate.Name && v.candidate.StartedAt < candidate.StartedAt
}

// Record records the vote of another entry for this one, which asked for it at askedAt.
// A vote that arrives after this entry gave way is not counted.
func (t *Tenure) Record(askedAt time.Time, account, voter string) {
	if own, ok := t.given[account]; voter != t.self.Name && (!ok || own.candidate != t.self) {
		return
	}
	if t.received[account] == nil {
		t.received[account] = map[string]time.Time{}
	}
	t.received[account][voter] = askedAt.Add(VoteLife)
}

// IsOwner reports whether this entry has the votes of a majority of the candidates.
func (t *Tenure) IsOwner(now time.Time, account string, candidates []string) bool {
	return t.Remaining(now, account, candidates) > 0
}

// Remaining returns the time for which this entry is the owner unless it receives
// further votes, or 0 if it is not.
func (t *Tenure) Remaining(now time.Time, account string, candidates []string) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	votes := make([]time.Duration, 0, OwnerCandidates)
	for _, name := range candidates {
		if left := t.received[account][name].Sub(now); left > 0 {
			votes = append(votes, left)
		}
	}
	return majorityEnd(votes, len(candidates)/2+1)
}

// majorityEnd returns when fewer than needed of the votes are left.
func majorityEnd(votes []time.Duration, needed int) time.Duration {
	if len(votes) < needed {
		return 0
	}
	end := time.Duration(0)
	for _, candidate := range votes {
		n := 0
		for _, v := range votes {
			if v >= candidate {
				n++
			}
		}
		if n >= needed {
			end = max(end, candidate)
		}
	}
	return end
}

// Forget withdraws the votes for a run that has certainly ended.
func (t *Tenure) Forget(ended Run) {
	maps.DeleteFunc(t.given, func(_ string, v vote) bool {
		return v.candidate.Name == ended.Name && v.candidate.StartedAt <= ended.StartedAt
	})
}
