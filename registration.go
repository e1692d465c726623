package magnolialedge

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxSlots is the largest number of requests that an upstream may claim to process
	// concurrently. A larger one would draw the requests of all others.
	MaxSlots = 1 << 16
	// maxWarmUp is the longest time for which an upstream may be cold.
	maxWarmUp = 24 * time.Hour
	// maxStartUnixMs is the latest start of an upstream, in the year 2100. A later one
	// would outrank every true start.
	maxStartUnixMs = 4_102_444_800_000
)

// ErrInvalidRegistration is what the errors of Registration.Check wrap.
var ErrInvalidRegistration = errors.New("invalid registration")

// Registration is the information that an upstream registers about itself.
type Registration struct {
	// ID identifies the upstream. Most upstreams use a new ID on each start.
	ID      string
	Service string
	Address string
	Zone    string
	Release string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots    int
	Draining bool
	// WarmUpRemaining is the remaining time for which the upstream is cold, that is,
	// slower than usual.
	WarmUpRemaining time.Duration
	// StartedAtUnixMs is the start time of the upstream in Unix milliseconds,
	// or 0 if it is unknown. It distinguishes starts under the same ID.
	StartedAtUnixMs int64
}

// IsSameRun reports whether two registrations are of the same run of an upstream.
func (r Registration) IsSameRun(o Registration) bool {
	return r.ID == o.ID && r.Address == o.Address && r.StartedAtUnixMs == o.StartedAtUnixMs
}

// Check returns an error that wraps ErrInvalidRegistration if no upstream can be meant by
// r: any writer can add a registration to the store.
func (r Registration) Check() error {
	address, err := netip.ParseAddrPort(r.Address)
	switch {
	case r.ID == "" || r.Service == "":
		return errors.Wrap(ErrInvalidRegistration, "the id or the service is empty")
	case err != nil || address.Port() == 0:
		return errors.Wrapf(ErrInvalidRegistration, "upstream %s: address %q", r.ID, r.Address)
	case r.Slots <= 0 || r.Slots > MaxSlots:
		return errors.Wrapf(ErrInvalidRegistration, "upstream %s: %d slots", r.ID, r.Slots)
	case r.WarmUpRemaining > maxWarmUp:
		return errors.Wrapf(ErrInvalidRegistration, "upstream %s: cold for another %v", r.ID, r.WarmUpRemaining)
	case r.StartedAtUnixMs < 0 || r.StartedAtUnixMs > maxStartUnixMs:
		return errors.Wrapf(ErrInvalidRegistration, "upstream %s: started at %d", r.ID, r.StartedAtUnixMs)
	}
	return nil
}

// LoadReading is the load that an upstream reports at one moment.
type LoadReading struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the factor by which requests currently take longer than
	// usual, or 0 if the upstream does not report it.
	Slowdown float64
}
