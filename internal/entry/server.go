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
	writeTimeout      = maxDeadline + time.Minute // ends requests whose caller does not read the response
	idleTimeout       = 2 * time.Minute
	maxRequestHeadLen = 64 << 10
)

// Server serves callers over HTTP/1.1. Package guard checks the framing on its
// connections.
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

// Serve accepts connections until Shutdown or Close is called; then it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(guard.Listener{Listener: listener})
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Quiesce closes each connection after its next response. New connections are
// still accepted, for callers that don't know yet that the host is leaving.
func (s *Server) Quiesce() { s.http.SetKeepAlivesEnabled(false) }

// Shutdown stops accepting connections, closes idle ones, and waits until all
// requests have finished or ctx is cancelled.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
