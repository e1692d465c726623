package entry

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// Settings holds the settings of one entry. Each is a flag and an environment variable.
type Settings struct {
	Name            string            `help:"Name of this instance, unique in the system." required:"" env:"MAGNOLIALEDGE_NAME"`
	Region          string            `help:"Region of this instance." required:"" env:"MAGNOLIALEDGE_REGION"`
	Zone            string            `help:"Availability zone of this instance." required:"" env:"MAGNOLIALEDGE_ZONE"`
	CallerAddress   string            `name:"callers" help:"IP address and port for callers; port 0 selects a free port." required:"" env:"MAGNOLIALEDGE_CALLERS"`
	PeerAddress     string            `name:"peers" help:"IP address and port for other entries." required:"" env:"MAGNOLIALEDGE_PEERS"`
	OperatorAddress string            `name:"operators" help:"IP address and port for operators: console, metrics, dump." required:"" env:"MAGNOLIALEDGE_OPERATORS"`
	PlatformAddress string            `name:"platform" help:"IP address and port of the platform." required:"" env:"MAGNOLIALEDGE_PLATFORM"`
	Secret          string            `help:"Secret shared by all entries, at least 16 characters." required:"" env:"MAGNOLIALEDGE_SECRET"`
	Token           string            `help:"Access token for operators, at least 16 characters." required:"" env:"MAGNOLIALEDGE_TOKEN"`
	Gateways        map[string]string `help:"HTTP CONNECT gateway of each region that cannot be reached directly, as region=address." env:"MAGNOLIALEDGE_GATEWAYS" mapsep:","`

	PlatformRegion      string        `help:"Region of the platform, if it is reached through a gateway." env:"MAGNOLIALEDGE_PLATFORM_REGION"`
	StopTimeout         time.Duration `name:"stop-limit" help:"Maximum time that a stop waits for requests in flight." default:"60s" env:"MAGNOLIALEDGE_STOP_LIMIT"`
	LeaveDelay          time.Duration `name:"leave-time" help:"Time from the removal from resolve responses until new requests are no longer accepted." default:"6s" env:"MAGNOLIALEDGE_LEAVE_TIME"`
	KeyCapacity         int           `help:"Maximum number of idempotency keys in the key table." default:"40000" env:"MAGNOLIALEDGE_KEY_CAPACITY"`
	MaxInFlight         int64         `name:"most-requests" help:"Maximum number of requests in flight; further requests are refused." default:"4000" env:"MAGNOLIALEDGE_MOST_REQUESTS"`
	StoreCallsPerSecond float64       `name:"store-rate" help:"This instance's share of the platform's call rate limit, in calls per second." default:"25" env:"MAGNOLIALEDGE_STORE_RATE"`
	Seed                uint64        `help:"Seed of random choices; 0 derives one from the clock." default:"0" env:"MAGNOLIALEDGE_SEED"`
	Naive               bool          `help:"Use the naive load balancing policy, as a baseline for measurements." env:"MAGNOLIALEDGE_NAIVE"`
}

// minSecretLength is the minimum length of a secret or token in characters.
const minSecretLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// SettingsError lists all problems found in the settings.
type SettingsError struct {
	Problems []string
}

// Error returns all problems, one per line.
func (e *SettingsError) Error() string {
	return strings.Join(e.Problems, "\n")
}

// Validate returns a *SettingsError if any setting is invalid.
func (s Settings) Validate() error {
	e := &SettingsError{}
	e.checkNames(s)
	e.checkAddresses(s)
	e.checkValues(s)
	if len(e.Problems) == 0 {
		return nil
	}
	return e
}

func (e *SettingsError) addf(format string, args ...any) {
	e.Problems = append(e.Problems, fmt.Sprintf(format, args...))
}

func (e *SettingsError) checkNames(s Settings) {
	for _, f := range [][2]string{{"name", s.Name}, {"region", s.Region}, {"zone", s.Zone}} {
		if !namePattern.MatchString(f[1]) {
			e.addf("--%s: found %q; want at most 63 lower-case letters, digits and dashes, starting with a letter or digit", f[0], f[1])
		}
	}
}

func (e *SettingsError) checkAddresses(s Settings) {
	seen := map[string]string{}
	for _, f := range [][2]string{{"callers", s.CallerAddress}, {"peers", s.PeerAddress}, {"operators", s.OperatorAddress}, {"platform", s.PlatformAddress}} {
		ap, err := netip.ParseAddrPort(f[1])
		if err != nil || (ap.Port() == 0 && f[0] == "platform") {
			e.addf("--%s: found %q; want an IP address and a port, for example 10.1.2.3:8080", f[0], f[1])
			continue
		}
		if otherFlag, ok := seen[f[1]]; ok && ap.Port() != 0 {
			e.addf("--%s: found %q, which --%s uses too; want different addresses", f[0], f[1], otherFlag)
		}
		seen[f[1]] = f[0]
	}
	for region, gateway := range s.Gateways {
		if _, err := netip.ParseAddrPort(gateway); err != nil {
			e.addf("--gateways: found %q for region %s; want an IP address and a port", gateway, region)
		}
	}
}

func (e *SettingsError) checkValues(s Settings) {
	if len(s.Secret) < minSecretLength {
		e.addf("--secret: found %d characters; want at least %d", len(s.Secret), minSecretLength)
	}
	if len(s.Token) < minSecretLength {
		e.addf("--token: found %d characters; want at least %d", len(s.Token), minSecretLength)
	}
	if s.StopTimeout <= 0 {
		e.addf("--stop-limit: found %s; want a duration above 0", s.StopTimeout)
	}
	if s.LeaveDelay < 0 {
		e.addf("--leave-time: found %s; want at least 0", s.LeaveDelay)
	}
	if s.KeyCapacity <= 0 {
		e.addf("--key-capacity: found %d; want at least 1", s.KeyCapacity)
	}
	if s.MaxInFlight <= 0 {
		e.addf("--most-requests: found %d; want at least 1", s.MaxInFlight)
	}
	if s.StoreCallsPerSecond < 1 {
		e.addf("--store-rate: found %g; want at least 1", s.StoreCallsPerSecond)
	}
}
