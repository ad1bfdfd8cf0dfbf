package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"peridotrail/internal/entry/guard"
)

const (
	headReadTimeout   = 10 * time.Second
	writeTimeout      = longestDeadline + time.Minute // frees a caller that does not read
	idleTimeout       = 2 * time.Minute
	maxRequestHeadLen = 64 << 10
)

// Server serves callers over HTTP/1.1 with guarded connections.
type Server struct {
	http *http.Server
}

// NewServer returns a server for handler.
func NewServer(handler http.Handler) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &Server{http: &http.Server{
		Handler:           handler,
		ConnContext:       guard.ConnContext,
		ReadHeaderTimeout: headReadTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxRequestHeadLen,
		Protocols:         protocols,
	}}
}

// Serve accepts connections until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(guard.Listener{Listener: listener})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Quiesce has each connection closed after its next answer. Connections are
// still accepted, for callers that have not yet seen the host leave.
func (s *Server) Quiesce() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting, closes idle connections, and waits until all
// requests have been answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close cuts all connections.
func (s *Server) Close() error { return s.http.Close() }
