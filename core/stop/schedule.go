package stop

import "time"

// Config configures a Schedule. All durations are measured from the stop signal.
type Config struct {
	// Open is the time during which work begins that is only expected to end in time, because
	// callers cannot know yet that they should use another entry.
	Open time.Duration
	// Work is the time until all work must have ended.
	Work time.Duration
}

// Schedule is the end of an entry that was told to stop. The zero value is that of an entry
// that was not. It is immutable.
type Schedule struct {
	openUntil time.Time
	workEnd   time.Time
}

// NewSchedule returns the schedule of an entry that was told to stop at now. At least half of
// the time for work remains after the open period.
func NewSchedule(cfg Config, now time.Time) Schedule {
	return Schedule{openUntil: now.Add(min(cfg.Open, cfg.Work/2)), workEnd: now.Add(cfg.Work)}
}

// OpenUntil returns the time from which only work begins that certainly ends in time. It is
// zero if the entry was not told to stop.
func (s Schedule) OpenUntil() time.Time {
	return s.openUntil
}

// Work is work that an entry may begin.
type Work struct {
	// Deadline is the latest time at which the work ends.
	Deadline time.Time
	// Expected is the time that it usually takes.
	Expected time.Duration
}

// Permits reports whether work may begin at now. In the open period, that takes work that is
// expected to end in time; afterwards, work that ends in time even if it takes as long as it may.
func (s Schedule) Permits(now time.Time, w Work) bool {
	switch {
	case s.workEnd.IsZero(), !w.Deadline.After(s.workEnd):
		return true
	case now.Before(s.openUntil):
		return !now.Add(w.Expected).After(s.workEnd)
	}
	return false
}
