package node

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"magnolialedge"
)

// Settings configures one entry on the platform.
type Settings struct {
	Name   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	IP      string
	// CallerAddress, ReadyAddress and DirectoryAddress are the listen addresses
	// for callers, readiness checks and resolve requests.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerAddress is the listen address for other entries; if it is empty, IP and
	// FirstPort are used. SeedPeers are the peer addresses of a few other entries
	// and may be out of date.
	PeerAddress string
	SeedPeers   []string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// FirstPort and LastPort are the port range for traffic between entries.
	FirstPort, LastPort int
	// StopTimeout is the time from the stop signal until the process is killed.
	StopTimeout time.Duration
	// RetryRatio and RetryExtra limit the retries of all entries in each period
	// of the platform: a fraction of the requests plus a fixed number.
	RetryRatio float64
	RetryExtra float64
	// MaxResolveTTL limits how long a resolve response may be cached.
	MaxResolveTTL time.Duration
	// MaxProbesPerSec limits the load probes of one upstream by all entries
	// together.
	MaxProbesPerSec float64
	// ColdOverage and ColdSlack bound the requests to a cold upstream in any second, from
	// all entries together: the limit of its service times ColdOverage, plus ColdSlack. The
	// shares of the entries do not depend on ColdSlack.
	ColdOverage float64
	ColdSlack   float64
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a client account in
	// any window, at all entries together: what its rate and burst allow in QuotaWindow, times
	// 1 + QuotaOverage, plus QuotaSlack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MaxStoreReadsPerSec limits the store reads of all entries together.
	MaxStoreReadsPerSec float64
	// MaxPropagation is the time within which a change of the store must be in
	// force at every entry; 0 means the default.
	MaxPropagation time.Duration
	// MinLeaseTTL is the shortest lease TTL that the store grants.
	MinLeaseTTL time.Duration
	// MemoryMB and MaxFDs are the memory and the number of file descriptors that
	// the process may use.
	MemoryMB int
	MaxFDs   int
	// LinkMbps is the bandwidth of this host's network link.
	LinkMbps float64
}

// Check returns an error in one line that lists all invalid settings, or nil. The
// error is marked with magnolialedge.ErrInvalidSettings.
func (s Settings) Check() error {
	var problems []string
	add := func(text string) { problems = append(problems, text) }
	for _, f := range [][2]string{{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"directory", s.DirectoryAddress}, {"store", s.StoreAddress}} {
		if _, err := netip.ParseAddrPort(f[1]); err != nil {
			add("the address for " + f[0] + " is \"" + f[1] + "\"; want an IP address and a port")
		}
	}
	for _, f := range [][2]string{{"name", s.Name}, {"zone", s.Zone}, {"region", s.Region}, {"IP address", s.IP}} {
		if f[1] == "" {
			add("the " + f[0] + " is missing")
		}
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort {
		add("the port range for traffic between entries is empty")
	}
	if s.StopTimeout <= 0 {
		add("the stop timeout must be greater than 0")
	}
	if len(problems) > 0 {
		err := errors.Newf("settings: %s", strings.Join(problems, "; "))
		return errors.Mark(err, magnolialedge.ErrInvalidSettings)
	}
	return nil
}
