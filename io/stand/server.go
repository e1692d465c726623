package stand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ControlPathPrefix is the prefix of the paths that control a stand-in.
const ControlPathPrefix = "/_standin/"

// Server is the HTTP server of a stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen starts an HTTP server on address that serves h.
func Listen(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return serveOn(l, h), nil
}

func serveOn(l net.Listener, h http.Handler) *Server {
	s := &Server{listener: l, http: &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}}
	go func() { _ = s.http.Serve(l) }()
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.http.Close()
}

// Shutdown stops the server once the requests in flight have completed or ctx is
// done.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// readJSON decodes the request body into into. It responds with 400 and returns
// false if the body is invalid.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
