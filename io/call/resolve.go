package call

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"magnolialedge"
	"magnolialedge/core/proc"
)

// ResolveResponse is the response to a caller that resolves a service.
type ResolveResponse struct {
	Service string `json:"service"`
	// Addresses are caller addresses of entries, in the order in which to try them.
	Addresses []string `json:"addresses"`
	// TTLMs is how long the response may be cached, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Reason explains an order that differs from the usual one.
	Reason string `json:"reason,omitempty"`
}

func (s *Server) handleResolve(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	id := requestID(r.Header)
	w.Header().Set(HeaderRequestID, id)
	if _, ok := s.cfg.Fleet.Service(service); !ok {
		s.writeError(w, "", id, s.unknownService(service))
		return
	}
	body, err := json.Marshal(s.Resolve(service))
	if err != nil {
		s.writeError(w, service, id, errorResponseFor(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(body, '\n'))
}

// Resolve returns the addresses of the entries that callers of service should use.
// The entries that share the traffic come first, in random order. This entry comes
// last while it is busy, and is otherwise left out while it is leaving. If no entry
// remains, its own address is returned.
func (s *Server) Resolve(service string) ResolveResponse {
	out := ResolveResponse{Service: service, TTLMs: proc.ResolveTTL.Milliseconds()}
	list, sharing := s.cfg.Fleet.Steer(service)
	list = slices.Clone(list)
	rand.Shuffle(sharing, func(i, j int) { list[i], list[j] = list[j], list[i] })
	var busy []string
	for _, in := range list {
		switch {
		case in.PeerAddress != s.cfg.PeerAddress:
			out.Addresses = append(out.Addresses, in.CallerAddress)
		case s.isBusy():
			busy = append(busy, in.CallerAddress)
		case !s.isLeaving():
			out.Addresses = append(out.Addresses, in.CallerAddress)
		}
	}
	out.Addresses = append(out.Addresses, busy...)
	if len(out.Addresses) == 0 {
		out.Addresses = []string{s.cfg.CallerAddress}
	}
	out.Reason = s.resolveReason(list)
	return out
}

func (s *Server) resolveReason(list []magnolialedge.Instance) string {
	switch {
	case s.isLeaving():
		return "this entry is leaving"
	case s.isBusy():
		return "this entry has too many requests in flight"
	case len(list) > 0 && list[0].Region != s.cfg.Fleet.Region():
		return "no entry of this region is listed"
	}
	return ""
}
