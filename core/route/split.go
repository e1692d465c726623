package route

import "magnolialedge"

// Splitter distributes requests over weighted services by smooth weighted round
// robin, so that every sequence of selections is close to the weights.
type Splitter struct {
	services       []magnolialedge.WeightedService
	currentWeights []float64
	totalWeight    float64
}

// NewSplitter returns a Splitter over the given services.
func NewSplitter(services []magnolialedge.WeightedService) *Splitter {
	s := &Splitter{services: services, currentWeights: make([]float64, len(services))}
	for _, service := range services {
		s.totalWeight += service.Weight
	}
	return s
}

// Next returns the service of the next request, or "" if no service has a
// positive weight.
func (s *Splitter) Next() string {
	selected := -1
	for i, service := range s.services {
		s.currentWeights[i] += service.Weight
		if service.Weight > 0 && (selected < 0 || s.currentWeights[i] > s.currentWeights[selected]) {
			selected = i
		}
	}
	if selected < 0 {
		return ""
	}
	s.currentWeights[selected] -= s.totalWeight
	return s.services[selected].Service
}
