package route

import "magnolialedge"

// Splitter gives each part of a split its share by smooth weighted round robin,
// so that any run of picks is close to the weights.
type Splitter struct {
	parts  []magnolialedge.WeightedService
	credit []float64
	total  float64
}

// NewSplitter returns a Splitter over parts.
func NewSplitter(parts []magnolialedge.WeightedService) *Splitter {
	s := &Splitter{parts: parts, credit: make([]float64, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	return s
}

// Next returns the service of the next request, or "" when there is no part.
func (s *Splitter) Next() string {
	best := -1
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.credit[best] -= s.total
	return s.parts[best].Service
}
