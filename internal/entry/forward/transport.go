// Package forward sends requests to upstreams with net/http, each at most once,
// and copies complete responses back.
//
// http.Transport resends a request by itself if a reused connection fails and the
// request is replayable: it has no body or a GetBody function, and its method is
// idempotent or its header map contains "Idempotency-Key" or "X-Idempotency-Key".
// Transport changes every request so that it is not replayable. http.Transport can
// then resend it only if no byte was written.
package forward

import (
	"io"
	"net/http"
	"strings"
	"time"

	"peridotrail/internal/http1"
)

const (
	idleConnectionTimeout = 90 * time.Second
	readBufferBytes       = 8 << 10
	writeBufferBytes      = 8 << 10
)

// Transport sends requests to one upstream over a limited number of HTTP/1.1
// connections. It implements http.RoundTripper and is safe for concurrent use.
type Transport struct {
	dialer *dialer
	base   *http.Transport
}

// Options configures the connections of a Transport.
type Options struct {
	Limit       func() int    // returns the number of connections that may be open at the same time
	DialTimeout time.Duration // zero: 5 s
	IdleTimeout time.Duration // after which an idle connection is closed; zero: 90 s
	// DeadPeerTimeout is the time after which a connection is closed whose peer
	// acknowledges no data and no keep-alive probes. It does not limit how long
	// the upstream may work on a request. Zero: the system's defaults.
	DeadPeerTimeout time.Duration
	// Dial opens a connection. It returns within DialTimeout. nil: TCP, with the timeouts
	// above.
	Dial http1.DialFunc
}

// NewTransport returns a transport that holds at most limit() connections open.
func NewTransport(limit func() int) *Transport { return NewTransportWith(Options{Limit: limit}) }

// NewTransportWith returns a transport with the given options.
func NewTransportWith(o Options) *Transport {
	limit := o.Limit
	d := newDialer(o)
	idle := o.IdleTimeout
	if idle == 0 {
		idle = idleConnectionTimeout
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	base := &http.Transport{
		DialContext:            d.dialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    max(1, limit()),
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
		Protocols:              protocols,
	}
	return &Transport{dialer: d, base: base}
}

// OpenConnections returns the number of open connections.
func (t *Transport) OpenConnections() int { return int(t.dialer.open.Load()) }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. Errors are of type *Error. Executed is
// ExecutedNo if the request failed before its first byte was written.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.dialer.open.Load() > int64(t.dialer.limit()) {
		t.base.CloseIdleConnections()
	}
	return roundTrip(t.base, request)
}

// preventResend changes request so that http.Transport does not consider it
// replayable, whatever its method and headers. It is the only place that decides this.
// request must be a copy of the caller's request.
func preventResend(request *http.Request) *http.Request {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		preventEmptyResend(request)
	}
	request.Header = hideIdempotencyKey(request.Header)
	return request
}

// preventEmptyResend gives a request without a body an empty body that http.Transport
// can't replay. The identity encoding keeps the framing unchanged: http.Transport writes
// neither a length nor chunks and does not probe the body. Only the methods for which
// http.Transport writes "Content-Length: 0" keep http.NoBody; it considers these
// replayable only with an idempotency key, which hideIdempotencyKey hides.
func preventEmptyResend(request *http.Request) {
	switch request.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		request.Body = http.NoBody
	default:
		request.Body = io.NopCloser(strings.NewReader(""))
		request.TransferEncoding = []string{"identity"}
	}
}

var idempotencyHeaderNames = [...][2]string{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

// hideIdempotencyKey returns a copy of header with the names of the idempotency
// headers in lower case. Header names are case-insensitive on the wire, but
// http.Transport looks for the canonical names only. It does not change header.
func hideIdempotencyKey(header http.Header) http.Header {
	copied := false
	for _, names := range idempotencyHeaderNames {
		values, ok := header[names[0]]
		if !ok {
			continue
		}
		if !copied {
			header = header.Clone()
			copied = true
		}
		delete(header, names[0])
		header[names[1]] = append(values[:len(values):len(values)], header[names[1]]...)
	}
	return header
}
