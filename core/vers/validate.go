package vers

import (
	"fmt"
	"net/netip"
	"strings"

	"magnolialedge"
)

// Validate checks the rules that the JSON schema cannot express, such as unique
// names and references between sections. It returns nil for a valid document.
func Validate(doc magnolialedge.Document) ValidationErrors {
	v := validator{doc: doc, regions: map[string]bool{}, zones: map[string]bool{}}
	v.checkLocations()
	v.checkMeasurementBudget()
	v.checkServices()
	return v.errs
}

// validator collects the errors of one document.
type validator struct {
	doc     magnolialedge.Document
	regions map[string]bool
	zones   map[string]bool
	errs    ValidationErrors
}

func (v *validator) checkLocations() {
	for i, r := range v.doc.Regions {
		if v.regions[r.Name] {
			v.errs.add(fmt.Sprintf("/regions/%d/name", i), "duplicate region "+r.Name, "a unique region name")
		}
		v.regions[r.Name] = true
	}
	for i, z := range v.doc.Zones {
		if v.zones[z.Name] {
			v.errs.add(fmt.Sprintf("/zones/%d/name", i), "duplicate zone "+z.Name, "a unique zone name")
		}
		v.zones[z.Name] = true
		if !v.regions[z.Region] {
			v.errs.add(fmt.Sprintf("/zones/%d/region", i), "unknown region "+z.Region, "a region defined in this document")
		}
	}
}

// minReportBytes is the size of the smallest load report with its header.
const minReportBytes = 100

func (v *validator) checkMeasurementBudget() {
	m := v.doc.MeasurementBudget
	if m.OperationsPerSecond > 0 && m.BytesPerSecond < minReportBytes {
		v.errs.add("/measuring/bytesPerSecond", fmt.Sprint(m.BytesPerSecond), "at least 100, or operationsPerSecond 0")
	}
	seen := map[[2]string]bool{}
	for i, p := range m.CrossRegion {
		path := fmt.Sprintf("/measuring/crossRegion/%d", i)
		v.checkRegion(path+"/from", p.From)
		v.checkRegion(path+"/to", p.To)
		if p.From == p.To {
			v.errs.add(path+"/to", "the same region as in from", "a different region")
		}
		pair := [2]string{p.From, p.To}
		if seen[pair] {
			v.errs.add(path, "duplicate budget from "+p.From+" to "+p.To, "a unique pair of regions")
		}
		seen[pair] = true
	}
}

func (v *validator) checkRegion(path, name string) {
	if !v.regions[name] {
		v.errs.add(path, "unknown region "+name, "a region defined in this document")
	}
}

func (v *validator) checkServices() {
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, s := range v.doc.Services {
		path := fmt.Sprintf("/services/%d", i)
		if names[s.Name] {
			v.errs.add(path+"/name", "duplicate service "+s.Name, "a unique service name")
		}
		names[s.Name] = true
		v.checkRules(path, s.NonIdempotent)
		v.checkTargets(path, s, addresses)
	}
}

func (v *validator) checkRules(path string, rules []magnolialedge.Rule) {
	for i, r := range rules {
		at := fmt.Sprintf("%s/nonIdempotent/%d/path", path, i)
		if j := strings.Index(r.Path, "**"); j >= 0 && j != len(r.Path)-2 {
			v.errs.add(at, r.Path, "\"**\" only as the last segment")
		}
		if strings.ContainsAny(r.Path, "?#") {
			v.errs.add(at, r.Path, "a path without a query or fragment")
		}
		for _, earlier := range rules[:i] {
			if earlier.Method == r.Method && patternCovers(earlier.Path, r.Path) {
				v.errs.add(at, r.Method+" "+r.Path, "a rule that "+earlier.Path+" does not already cover")
			}
		}
	}
}

// patternCovers reports whether pattern a matches every path that pattern b
// matches.
func patternCovers(a, b string) bool {
	as := strings.Split(strings.Trim(a, "/"), "/")
	bs := strings.Split(strings.Trim(b, "/"), "/")
	for i, s := range as {
		if s == "**" {
			return true
		}
		if i >= len(bs) || bs[i] == "**" {
			return false
		}
		if s != "*" && s != bs[i] {
			return false
		}
	}
	return len(as) == len(bs)
}

func (v *validator) checkTargets(path string, s magnolialedge.Service, addresses map[string]string) {
	active := 0
	for i, t := range s.Targets {
		at := fmt.Sprintf("%s/targets/%d", path, i)
		v.checkAddress(at+"/address", t.Address)
		if other, ok := addresses[t.Address]; ok {
			v.errs.add(at+"/address", t.Address+", which service "+other+" also lists", "a unique target address")
		}
		addresses[t.Address] = s.Name
		if !v.zones[t.Zone] {
			v.errs.add(at+"/zone", "unknown zone "+t.Zone, "a zone defined in this document")
		}
		if t.MaxConnections < t.Slots {
			v.errs.add(at+"/maxConnections", fmt.Sprint(t.MaxConnections), fmt.Sprintf("at least %d, the number of slots", t.Slots))
		}
		if !t.IsDraining() {
			active++
		}
	}
	if active == 0 && !s.AllowEmpty {
		v.errs.add(path+"/targets", "no active target", "at least one active target, or allowEmpty true")
	}
}

func (v *validator) checkAddress(path, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() || ap.Addr().IsMulticast() {
		v.errs.add(path, fmt.Sprintf("%q", address), "a unicast IP address and a port, such as 10.1.2.3:8080")
	}
}
