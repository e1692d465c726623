package magnolialedge

import (
	"slices"
	"time"
)

// SchemaVersion is the version of the document schema that this program reads.
const SchemaVersion = 1

// Document is the operators' whole configuration. It is treated as immutable:
// the With methods return changed copies.
type Document struct {
	Schema            int               `json:"schema"`
	Comment           string            `json:"comment,omitempty"`
	Regions           []Region          `json:"regions"`
	Zones             []Zone            `json:"zones"`
	MeasurementBudget MeasurementBudget `json:"measuring"`
	// CrossRegionMsPerMB is the price of cross-region bytes, stated as the wait
	// in milliseconds that is worth one megabyte of such traffic.
	CrossRegionMsPerMB float64   `json:"crossRegionMsPerMB"`
	Services           []Service `json:"services"`
}

// Region is a place whose availability zones are close to each other.
type Region struct {
	Name string `json:"name"`
	// MaxEntries is the greatest number of entry instances that run at once in
	// the region, those being replaced included. Budgets are divided by it.
	MaxEntries int `json:"maxEntries"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// MeasurementBudget is the budget for probes, load reports and peer messages of one
// service within a region, and of the pairs of regions listed in CrossRegion.
type MeasurementBudget struct {
	BytesPerSecond      float64            `json:"bytesPerSecond"`
	OperationsPerSecond float64            `json:"operationsPerSecond"`
	CrossRegion         []RegionPairBudget `json:"crossRegion,omitempty"`
}

// RegionPairBudget is the measuring budget from one region to another.
type RegionPairBudget struct {
	From                string  `json:"from"`
	To                  string  `json:"to"`
	BytesPerSecond      float64 `json:"bytesPerSecond"`
	OperationsPerSecond float64 `json:"operationsPerSecond"`
}

// KeyLookup names the way in which an entry learns of an earlier entry that had
// the same idempotency key.
type KeyLookup string

const (
	// KeyLookupStore records each key in the platform's service before dispatch.
	KeyLookupStore KeyLookup = "store"
	// KeyLookupCaller relies on the caller to name the entries it tried.
	KeyLookupCaller KeyLookup = "caller"
)

// Service is a set of upstreams that answer the same requests.
type Service struct {
	Name      string    `json:"name"`
	Comment   string    `json:"comment,omitempty"`
	KeyLookup KeyLookup `json:"finder"`
	// DeadlineMs bounds a request whose caller states no deadline.
	DeadlineMs int64 `json:"deadlineMs"`
	// RetryPercent is the retry budget as a share of successes.
	RetryPercent float64 `json:"retryPercent"`
	// HedgePercent is the hedge budget as a share of requests.
	HedgePercent float64 `json:"hedgePercent"`
	// AllowEmpty accepts a service without an active target.
	AllowEmpty    bool     `json:"allowEmpty,omitempty"`
	NonIdempotent []Rule   `json:"nonIdempotent,omitempty"`
	Targets       []Target `json:"targets"`
}

// Rule matches requests by method and path. In the path, a segment "*" matches
// one segment and a last segment "**" matches any number.
type Rule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// TargetState tells whether a target takes new work.
type TargetState string

const (
	// TargetActive takes new work.
	TargetActive TargetState = "active"
	// TargetDraining takes no new work.
	TargetDraining TargetState = "draining"
)

// Target is one upstream of a service.
type Target struct {
	// Address is an IP number and a port.
	Address        string      `json:"address"`
	Zone           string      `json:"zone"`
	Slots          int         `json:"slots"`
	MaxConnections int         `json:"maxConnections"`
	State          TargetState `json:"state,omitempty"`
}

// IsDraining reports whether the document takes the target out of service.
func (t Target) IsDraining() bool {
	return t.State == TargetDraining
}

// Deadline returns the service's default deadline.
func (s Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// WithTargets returns a copy of s with other targets.
func (s Service) WithTargets(targets []Target) Service {
	s.Targets = slices.Clone(targets)
	return s
}

// WithService returns a copy of d in which s replaces the service of its name,
// or is added at the end.
func (d Document) WithService(s Service) Document {
	d.Services = slices.Clone(d.Services)
	i := slices.IndexFunc(d.Services, func(x Service) bool { return x.Name == s.Name })
	if i < 0 {
		d.Services = append(d.Services, s)
		return d
	}
	d.Services[i] = s
	return d
}

// Service returns the service called name.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RegionOf returns the region of the availability zone, or "" for an unknown one.
func (d Document) RegionOf(zone string) string {
	for _, z := range d.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// MaxEntries returns the number of entries that share a region's budgets.
func (d Document) MaxEntries(region string) int {
	for _, r := range d.Regions {
		if r.Name == region {
			return max(1, r.MaxEntries)
		}
	}
	return 1
}

// DocumentVersion is an accepted document with its place in the order of versions.
type DocumentVersion struct {
	Revision   int64     `json:"revision"`
	ChangeID   string    `json:"changeId"`
	Author     string    `json:"author,omitempty"`
	AcceptedAt time.Time `json:"acceptedAt"`
	// Recent names the last accepted changes, this one last.
	Recent   []ChangeRef `json:"recent,omitempty"`
	Document Document    `json:"document"`
}

// ChangeRef names an accepted change.
type ChangeRef struct {
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeId"`
}
