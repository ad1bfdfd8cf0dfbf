package rig

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Proxy stands between hosts and the store. It delays the calls, as the distance to the store
// does, and can cut the watches that wait.
type Proxy struct {
	server *httptest.Server

	mu  sync.Mutex
	cut chan struct{} // closed and replaced to cut the watches that wait
}

// NewProxy starts a proxy to the store at address that delays each call.
func (r *Rig) NewProxy(address string, delay time.Duration) *Proxy {
	p := &Proxy{cut: make(chan struct{})}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		time.Sleep(delay)
		if request.URL.Path != "/kv-watch" {
			forward.ServeHTTP(w, request)
			return
		}
		p.mu.Lock()
		cut := p.cut
		p.mu.Unlock()
		recorder, done := httptest.NewRecorder(), make(chan struct{})
		go func() {
			defer close(done)
			defer func() { _ = recover() }() // the client has left
			forward.ServeHTTP(recorder, request)
		}()
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-done:
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()) // the host may have left
	}))
	r.OnEnd(func() {
		p.CutWatches()
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

// Address returns the proxy's IP:port.
func (p *Proxy) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// CutWatches ends the connections of the watches that wait.
func (p *Proxy) CutWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.cut)
	p.cut = make(chan struct{})
}
