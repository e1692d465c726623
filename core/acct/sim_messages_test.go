package acct

import (
	"time"
)

func (s *sim) ask(e *simEntry) {
	if e.dead || e.pausedUntil.After(s.now) {
		return
	}
	for _, m := range e.scheduler.Messages(s.now, s.viewOf(e)) {
		s.sendDraws(e, s.find(m.Owner), m)
	}
	if e.holder.IsDue(s.now, testAccount) && len(e.waiters) > 0 {
		s.after(5*time.Millisecond, func() { s.whenRunning(e, func() { s.ask(e) }) })
	}
}

func (s *sim) sendDraws(e, owner *simEntry, m Message) {
	run, scheduler, ended := e.StartedAt, e.scheduler, false
	timeout := AskTimeout
	if owner.dead {
		timeout = 2 * s.delay(e, owner)
	}
	s.after(timeout, func() {
		s.whenRunning(e, func() {
			if !ended {
				ended = true
				scheduler.Failed(s.now, m)
				s.ask(e)
			}
		})
	})
	s.deliver(e, owner, func() {
		replies := map[string]Reply{}
		for _, d := range m.Draws {
			reply, ballots := owner.granter.Draw(s.now, d, s.limit, s.viewOf(owner)(d.Account))
			replies[d.Account] = reply
			s.sendBallots(owner, ballots)
		}
		s.deliver(owner, e, func() {
			switch {
			case run != e.StartedAt:
				return
			case ended:
				s.applyLate(e, m, replies)
				return
			}
			ended = true
			scheduler.Done(s.now, m, replies)
			s.countOutstanding()
			s.wake(e)
			s.ask(e)
		})
	})
}

func (s *sim) countOutstanding() {
	n := 0
	for _, e := range s.entries {
		if !e.dead {
			n += e.holder.Standing(s.now, testAccount).Left
		}
	}
	s.mostOutstanding = max(s.mostOutstanding, n)
}

// applyLate gives an entry a reply that comes late or again, which must have no effect.
func (s *sim) applyLate(e *simEntry, m Message, replies map[string]Reply) {
	for _, d := range m.Draws {
		e.holder.Apply(s.now, d.Account, d.Number, replies[d.Account].Grant)
	}
}

func (s *sim) sendBallots(e *simEntry, ballots []Ballot) {
	for _, b := range ballots {
		to := s.find(b.To)
		sentAt, ended := s.now, false
		count := func(r BallotResult) {
			if ended {
				return
			}
			ended = true
			r.Ballot, r.SentAt = b, sentAt
			s.sendBallots(e, e.granter.Count(s.now, r, s.viewOf(e)(b.Account)))
		}
		s.after(100*time.Millisecond, func() { s.whenRunning(e, func() { count(BallotResult{}) }) })
		s.deliver(e, to, func() {
			isGiven, isRepeated := to.granter.Vote(s.now, b, s.viewOf(to)(b.Account))
			s.deliver(to, e, func() { count(BallotResult{Reached: true, Voted: isGiven, IsRepeated: isRepeated}) })
		})
	}
}
