package pick

import (
	"cmp"
	"slices"
	"time"

	"magnolialedge"
)

// Neighbors returns at most limit upstreams other than r, of any service, in random
// order: those of its availability zone, or of its region if it is the only one of its
// zone, or else any. If an entry reaches none of them either, its link to that place is
// probably at fault. Upstreams that may not be probed are left out.
func (f *Fleet) Neighbors(now time.Time, r magnolialedge.Registration, limit int) []magnolialedge.Registration {
	byDistance := map[distance][]magnolialedge.Registration{}
	p := filter{now: now}
	for _, u := range f.byID {
		if u.ID == r.ID || u.Draining || !p.mayProbe(u) {
			continue
		}
		d := f.distanceBetween(u.Zone, r.Zone)
		byDistance[d] = append(byDistance[d], u.Registration)
	}
	for _, d := range []distance{sameZone, sameRegion, otherRegion} {
		out := byDistance[d]
		if len(out) == 0 {
			continue
		}
		slices.SortFunc(out, func(a, b magnolialedge.Registration) int { return cmp.Compare(a.ID, b.ID) })
		f.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out[:min(limit, len(out))]
	}
	return nil
}

// distanceBetween classifies where two availability zones are relative to each other.
func (f *Fleet) distanceBetween(a, b string) distance {
	switch {
	case a == b:
		return sameZone
	case f.cfg.Regions[a] == f.cfg.Regions[b]:
		return sameRegion
	}
	return otherRegion
}
