package entry

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// Settings is what an operator sets for one entry. Every flag is also an
// environment variable.
type Settings struct {
	Name            string            `help:"Name of this instance, unique in the system." required:"" env:"MAGNOLIALEDGE_NAME"`
	Region          string            `help:"Region that this instance stands in." required:"" env:"MAGNOLIALEDGE_REGION"`
	Zone            string            `help:"Availability zone that this instance stands in." required:"" env:"MAGNOLIALEDGE_ZONE"`
	CallerAddress   string            `name:"callers" help:"IP number and port for callers; port 0 takes a free one." required:"" env:"MAGNOLIALEDGE_CALLERS"`
	PeerAddress     string            `name:"peers" help:"IP number and port for other entries." required:"" env:"MAGNOLIALEDGE_PEERS"`
	OperatorAddress string            `name:"operators" help:"IP number and port for operators: console, metrics, dump." required:"" env:"MAGNOLIALEDGE_OPERATORS"`
	PlatformAddress string            `name:"platform" help:"IP number and port of the platform." required:"" env:"MAGNOLIALEDGE_PLATFORM"`
	Secret          string            `help:"Secret that the entries share, 16 characters or more." required:"" env:"MAGNOLIALEDGE_SECRET"`
	Token           string            `help:"Token of the operators, 16 characters or more." required:"" env:"MAGNOLIALEDGE_TOKEN"`
	Gateways        map[string]string `help:"HTTP CONNECT gateway of each region that isn't reached directly, as region=address." env:"MAGNOLIALEDGE_GATEWAYS" mapsep:","`

	PlatformRegion      string        `help:"Region that the platform stands in, when a gateway leads there." env:"MAGNOLIALEDGE_PLATFORM_REGION"`
	StopTimeout         time.Duration `name:"stop-limit" help:"Longest time that a stop waits for requests in flight." default:"60s" env:"MAGNOLIALEDGE_STOP_LIMIT"`
	LeaveDelay          time.Duration `name:"leave-time" help:"Time from leaving the resolve answers to the end of new requests." default:"6s" env:"MAGNOLIALEDGE_LEAVE_TIME"`
	KeyCapacity         int           `help:"Number of idempotency keys that are remembered." default:"40000" env:"MAGNOLIALEDGE_KEY_CAPACITY"`
	MaxInFlight         int64         `name:"most-requests" help:"Requests in flight above which more are refused." default:"4000" env:"MAGNOLIALEDGE_MOST_REQUESTS"`
	StoreCallsPerSecond float64       `name:"store-rate" help:"This instance's share of the platform's calls a second." default:"25" env:"MAGNOLIALEDGE_STORE_RATE"`
	Seed                uint64        `help:"Seed of the random choices; 0 takes one from the clock." default:"0" env:"MAGNOLIALEDGE_SEED"`
	Naive               bool          `help:"Serve with the naive decisions, as a baseline for measurements." env:"MAGNOLIALEDGE_NAIVE"`
}

// leastSecret is the least length of a secret or token.
const leastSecret = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// SettingsError lists everything that is wrong with the settings.
type SettingsError struct {
	Problems []string
}

// Error returns all faults, one a line.
func (e *SettingsError) Error() string {
	return strings.Join(e.Problems, "\n")
}

// Validate returns a SettingsError when the settings can't work.
func (s Settings) Validate() error {
	e := &SettingsError{}
	e.names(s)
	e.addresses(s)
	e.values(s)
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}

func (e *SettingsError) add(format string, args ...any) {
	e.Problems = append(e.Problems, fmt.Sprintf(format, args...))
}

func (e *SettingsError) names(s Settings) {
	for _, f := range [][2]string{{"name", s.Name}, {"region", s.Region}, {"zone", s.Zone}} {
		if !namePattern.MatchString(f[1]) {
			e.add("--%s: found %q; want lower-case letters, digits and dashes", f[0], f[1])
		}
	}
}

func (e *SettingsError) addresses(s Settings) {
	seen := map[string]string{}
	for _, f := range [][2]string{{"callers", s.CallerAddress}, {"peers", s.PeerAddress}, {"operators", s.OperatorAddress}, {"platform", s.PlatformAddress}} {
		ap, err := netip.ParseAddrPort(f[1])
		if err != nil || (ap.Port() == 0 && f[0] == "platform") {
			e.add("--%s: found %q; want an IP number and a port, as 10.1.2.3:8080", f[0], f[1])
			continue
		}
		if other, ok := seen[f[1]]; ok && ap.Port() != 0 {
			e.add("--%s: found %q, which --%s has too; want separate addresses", f[0], f[1], other)
		}
		seen[f[1]] = f[0]
	}
	for region, gateway := range s.Gateways {
		if _, err := netip.ParseAddrPort(gateway); err != nil {
			e.add("--gateways: found %q for %s; want an IP number and a port", gateway, region)
		}
	}
}

func (e *SettingsError) values(s Settings) {
	if len(s.Secret) < leastSecret {
		e.add("--secret: found %d characters; want %d or more", len(s.Secret), leastSecret)
	}
	if len(s.Token) < leastSecret {
		e.add("--token: found %d characters; want %d or more", len(s.Token), leastSecret)
	}
	if s.StopTimeout <= 0 {
		e.add("--stop-limit: found %s; want a time above 0", s.StopTimeout)
	}
	if s.LeaveDelay < 0 {
		e.add("--leave-time: found %s; want 0 or more", s.LeaveDelay)
	}
	if s.KeyCapacity <= 0 {
		e.add("--key-capacity: found %d; want 1 or more", s.KeyCapacity)
	}
	if s.MaxInFlight <= 0 {
		e.add("--most-requests: found %d; want 1 or more", s.MaxInFlight)
	}
	if s.StoreCallsPerSecond < 1 {
		e.add("--store-rate: found %g; want 1 or more", s.StoreCallsPerSecond)
	}
}
