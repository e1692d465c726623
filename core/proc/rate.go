package proc

import "time"

// rateWindow is the time over which a RateEstimator averages.
const rateWindow = 2 * time.Second

// RateEstimator estimates the recent rate of events.
type RateEstimator struct {
	perSecond float64
	updatedAt time.Time
}

// Record counts one event at now.
func (r *RateEstimator) Record(now time.Time) {
	r.perSecond = r.PerSecond(now) + 1/rateWindow.Seconds()
	r.updatedAt = now
}

// PerSecond returns the estimated number of events per second at now. It falls
// linearly to 0 over rateWindow after the last event.
func (r *RateEstimator) PerSecond(now time.Time) float64 {
	age := now.Sub(r.updatedAt).Seconds() / rateWindow.Seconds()
	if age <= 0 {
		return r.perSecond
	}
	return r.perSecond * max(0, 1-age)
}
