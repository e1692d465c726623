package call

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"magnolialedge"
	"magnolialedge/core/proc"
)

// ResolveResponse is the answer to a caller that asks which addresses to use.
type ResolveResponse struct {
	Service string `json:"service"`
	// Addresses are in the order in which they should be tried.
	Addresses []string `json:"addresses"`
	// TTLMs is how long the answer may be kept, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Reason tells why the order isn't the usual one.
	Reason string `json:"reason,omitempty"`
}

func (s *Server) resolve(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	id := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	if _, ok := s.cfg.Fleet.Service(service); !ok {
		s.refuse(w, "", id, s.noService(service))
		return
	}
	body, err := json.Marshal(s.Resolve(service))
	if err != nil {
		s.refuse(w, service, id, refusalOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(body, '\n'))
}

// Resolve returns the addresses that callers of service should use. The entries
// that share the traffic come first, in a random order.
func (s *Server) Resolve(service string) ResolveResponse {
	out := ResolveResponse{Service: service, TTLMs: proc.ResolveTTL.Milliseconds()}
	list, share := s.cfg.Fleet.Steer(service)
	list = slices.Clone(list)
	rand.Shuffle(share, func(i, j int) { list[i], list[j] = list[j], list[i] })
	var last []string
	for _, in := range list {
		switch {
		case in.PeerAddress != s.cfg.PeerAddress:
			out.Addresses = append(out.Addresses, in.CallerAddress)
		case s.isBusy():
			last = append(last, in.CallerAddress)
		case !s.leaving.Load():
			out.Addresses = append(out.Addresses, in.CallerAddress)
		}
	}
	out.Addresses = append(out.Addresses, last...)
	if len(out.Addresses) == 0 {
		out.Addresses = []string{s.cfg.CallerAddress}
	}
	out.Reason = s.reason(list)
	return out
}

func (s *Server) reason(list []magnolialedge.Instance) string {
	switch {
	case s.leaving.Load():
		return "this entry is leaving"
	case s.isBusy():
		return "this entry has too many requests in flight"
	case len(list) > 0 && list[0].Region != s.cfg.Fleet.Region():
		return "no entry of this region is listed"
	}
	return ""
}
