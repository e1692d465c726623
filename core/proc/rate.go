package proc

import "time"

// rateWindow is the time over which a RateEstimator averages.
const rateWindow = 2 * time.Second

// RateEstimator estimates events a second over the last seconds.
type RateEstimator struct {
	perSecond float64
	updatedAt time.Time
}

// Record counts one event.
func (r *RateEstimator) Record(now time.Time) {
	r.perSecond = r.PerSecond(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

// PerSecond returns the events a second as of now.
func (r *RateEstimator) PerSecond(now time.Time) float64 {
	age := now.Sub(r.updatedAt).Seconds() / rateWindow.Seconds()
	if age <= 0 {
		return r.perSecond
	}
	return r.perSecond * max(0, 1-age)
}
