package proc

import "time"

// rateMemory is the time over which a Rate averages.
const rateMemory = 2 * time.Second

// Rate estimates events a second over the last seconds.
type Rate struct {
	value float64
	at    time.Time
}

// Count counts one event.
func (r *Rate) Count(now time.Time) {
	r.value = r.At(now) + 1/rateMemory.Seconds()
	r.at = now
}

// At returns the events a second as of now.
func (r *Rate) At(now time.Time) float64 {
	age := now.Sub(r.at).Seconds() / rateMemory.Seconds()
	if age <= 0 {
		return r.value
	}
	return r.value * max(0, 1-age)
}
