package reach

import "maps"

// ForgetZone forgets the failures at the upstreams of an availability zone. An evacuated zone
// may be shut down, which says nothing about the links of the entry.
func (t *Tracker) ForgetZone(zone string) {
	t.failures.forgetZone(zone)
	for _, s := range t.services {
		s.failures.forgetZone(zone)
	}
}

func (f failures) forgetZone(zone string) {
	maps.DeleteFunc(f, func(_ string, x failure) bool { return x.zone == zone })
}
