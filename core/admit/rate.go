package admit

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the moving average of a rate. Waves of load
// last some seconds.
const rateTimeConstant = time.Second

// rate is a moving average of the events a second.
type rate struct {
	perSecond float64
	updatedAt time.Time
}

// with returns the rate after one more event.
func (r rate) with(now time.Time) rate {
	return rate{perSecond: r.at(now) + 1/rateTimeConstant.Seconds(), updatedAt: now}
}

// at returns the events a second at now.
func (r rate) at(now time.Time) float64 {
	age := max(0, now.Sub(r.updatedAt))
	return r.perSecond * math.Exp(-float64(age)/float64(rateTimeConstant))
}
