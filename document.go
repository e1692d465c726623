package magnolialedge

import (
	"slices"
	"time"
)

// SchemaVersion is the supported version of the document schema.
const SchemaVersion = 1

// Document is the complete configuration that operators submit. It must not be
// modified; the With methods return changed copies.
type Document struct {
	Schema            int               `json:"schema"`
	Comment           string            `json:"comment,omitempty"`
	Regions           []Region          `json:"regions"`
	Zones             []Zone            `json:"zones"`
	MeasurementBudget MeasurementBudget `json:"measuring"`
	// CrossRegionMsPerMB is the cost of cross-region traffic: the added wait in
	// milliseconds that is as costly as one megabyte.
	CrossRegionMsPerMB float64   `json:"crossRegionMsPerMB"`
	Services           []Service `json:"services"`
}

// Region is a group of availability zones with low latency between them.
type Region struct {
	Name string `json:"name"`
	// MaxEntries is the maximum number of entries that run in the region at the
	// same time, including those that are being replaced. Budgets are divided
	// by it.
	MaxEntries int `json:"maxEntries"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// MeasurementBudget limits the probes, load reports and peer messages for one
// service within a region, and those between the pairs of regions in
// CrossRegion.
type MeasurementBudget struct {
	BytesPerSecond      float64            `json:"bytesPerSecond"`
	OperationsPerSecond float64            `json:"operationsPerSecond"`
	CrossRegion         []RegionPairBudget `json:"crossRegion,omitempty"`
}

// RegionPairBudget limits the measurement traffic from one region to another.
type RegionPairBudget struct {
	From                string  `json:"from"`
	To                  string  `json:"to"`
	BytesPerSecond      float64 `json:"bytesPerSecond"`
	OperationsPerSecond float64 `json:"operationsPerSecond"`
}

// KeyLookup selects how an entry finds an earlier entry that received a request
// with the same idempotency key.
type KeyLookup string

const (
	// KeyLookupStore records each key in the platform's key-value service
	// before the request is sent to an upstream.
	KeyLookupStore KeyLookup = "store"
	// KeyLookupCaller relies on the caller to list the entries that it has
	// tried.
	KeyLookupCaller KeyLookup = "caller"
)

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name      string    `json:"name"`
	Comment   string    `json:"comment,omitempty"`
	KeyLookup KeyLookup `json:"finder"`
	// DeadlineMs is the deadline of requests that state none.
	DeadlineMs int64 `json:"deadlineMs"`
	// RetryPercent is the retry budget as a percentage of successful requests.
	RetryPercent float64 `json:"retryPercent"`
	// HedgePercent is the hedge budget as a percentage of requests.
	HedgePercent float64 `json:"hedgePercent"`
	// AllowEmpty permits a service without active targets.
	AllowEmpty    bool     `json:"allowEmpty,omitempty"`
	NonIdempotent []Rule   `json:"nonIdempotent,omitempty"`
	Targets       []Target `json:"targets"`
}

// Rule matches requests by method and path. In the path, the segment "*"
// matches any one segment, and "**" as the last segment matches any number of
// segments.
type Rule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// TargetState is the state of a target as set by operators.
type TargetState string

const (
	// TargetActive targets receive new requests.
	TargetActive TargetState = "active"
	// TargetDraining targets receive no new requests.
	TargetDraining TargetState = "draining"
)

// Target is an upstream of a service.
type Target struct {
	// Address is an IP address and a port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that the target processes concurrently.
	Slots          int         `json:"slots"`
	MaxConnections int         `json:"maxConnections"`
	State          TargetState `json:"state,omitempty"`
}

// IsDraining reports whether the target is being drained.
func (t Target) IsDraining() bool {
	return t.State == TargetDraining
}

// Deadline returns the default deadline of the service.
func (s Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMs) * time.Millisecond
}

// WithTargets returns a copy of s with the given targets.
func (s Service) WithTargets(targets []Target) Service {
	s.Targets = slices.Clone(targets)
	return s
}

// WithService returns a copy of d in which s replaces the service of the same
// name, or is appended if there is none.
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

// Service returns the service with the given name, and false if there is none.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RegionOf returns the region of an availability zone, or "" if the zone is
// unknown.
func (d Document) RegionOf(zone string) string {
	for _, z := range d.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// MaxEntries returns the maximum number of entries in a region, by which its
// budgets are divided. It is at least 1.
func (d Document) MaxEntries(region string) int {
	for _, r := range d.Regions {
		if r.Name == region {
			return max(1, r.MaxEntries)
		}
	}
	return 1
}

// DocumentVersion is an accepted document with its revision.
type DocumentVersion struct {
	Revision   int64     `json:"revision"`
	ChangeID   string    `json:"changeId"`
	Author     string    `json:"author,omitempty"`
	AcceptedAt time.Time `json:"acceptedAt"`
	// Recent lists the last accepted changes, with this one at the end.
	Recent   []ChangeRef `json:"recent,omitempty"`
	Document Document    `json:"document"`
}

// ChangeRef identifies an accepted change.
type ChangeRef struct {
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeId"`
}
