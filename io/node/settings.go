package node

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings is what one instance is told about itself and its surroundings.
type Settings struct {
	Name   string
	Zone   string
	Region string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	IP      string
	// CallerAddress, ReadyAddress and DirectoryAddress are the addresses to listen at.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerAddress is the address for other entries, and SeedPeers are those of a few of
	// them, which may be stale.
	PeerAddress string
	SeedPeers   []string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// FirstPort and LastPort are free for traffic between entries.
	FirstPort, LastPort int
	// StopTimeout is the time from the signal to stop to the end by force.
	StopTimeout time.Duration
	// RetryRatio and RetryExtra bound the retries of all entries in each period of
	// the platform: a share of the requests and a number.
	RetryRatio float64
	RetryExtra float64
	// MaxResolveTTL bounds how long a resolve answer counts.
	MaxResolveTTL time.Duration
	// MaxProbesPerSec bounds the readings of one upstream by all entries.
	MaxProbesPerSec float64
	// MaxStoreReadsPerSec bounds the reading calls of all entries a second.
	MaxStoreReadsPerSec float64
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// MemoryMB and MaxFDs are the memory and the descriptors that the process may
	// use.
	MemoryMB int
	MaxFDs   int
	// LinkMbps is the bandwidth of the instance's link.
	LinkMbps float64
}

// Check returns what makes the settings unusable.
func (s Settings) Check() error {
	var faults []string
	add := func(text string) { faults = append(faults, text) }
	for _, f := range [][2]string{{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"directory", s.DirectoryAddress}, {"store", s.StoreAddress}} {
		if _, err := netip.ParseAddrPort(f[1]); err != nil {
			add("the address for " + f[0] + " is \"" + f[1] + "\"; want an IP number and a port")
		}
	}
	for _, f := range [][2]string{{"name", s.Name}, {"zone", s.Zone}, {"region", s.Region}, {"IP number", s.IP}} {
		if f[1] == "" {
			add("the " + f[0] + " is missing")
		}
	}
	if s.FirstPort <= 0 || s.LastPort < s.FirstPort {
		add("the range of ports between entries is empty")
	}
	if s.StopTimeout <= 0 {
		add("the stop limit is missing")
	}
	if len(faults) > 0 {
		return errors.Newf("settings: %s", strings.Join(faults, "; "))
	}
	return nil
}
