// Package forward sends requests to upstreams with net/http, each at most once,
// and copies whole answers back.
//
// http.Transport resends a request by itself on a reused connection that
// failed, if the request is replayable: it has no body or a GetBody function,
// and its method is idempotent or its header map holds "Idempotency-Key" or
// "X-Idempotency-Key". Transport makes every request not replayable, so that a
// resend is possible only before the first byte was written.
package forward

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	idleConnectionTimeout = 90 * time.Second
	maxResponseHeadBytes  = 1 << 20
	readBufferBytes       = 8 << 10
	writeBufferBytes      = 8 << 10
)

// Transport sends requests to one upstream over a bounded set of HTTP/1.1
// connections. It implements http.RoundTripper.
type Transport struct {
	dialer *dialer
	base   *http.Transport
}

// Options configures the connections of a Transport.
type Options struct {
	Limit       func() int    // connections that may be open at the same time
	DialTimeout time.Duration // zero: 5 s
	IdleTimeout time.Duration // after which an idle connection is closed; zero: 90 s
	// SilenceTimeout closes a connection whose peer acknowledges nothing any
	// more, without a limit on how long it works. Zero: the system's defaults.
	SilenceTimeout time.Duration
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
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
		Protocols:              protocols,
	}
	return &Transport{dialer: d, base: base}
}

// Open returns the number of open connections.
func (t *Transport) Open() int { return int(t.dialer.open.Load()) }

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. A failure before the first byte was
// written is a *Error with Executed "no".
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.dialer.open.Load() > int64(t.dialer.limit()) {
		t.base.CloseIdleConnections()
	}
	return roundTrip(t.base, request)
}

// preventResend changes request, a copy of the caller's, so that http.Transport
// does not take it for replayable.
func preventResend(request *http.Request) *http.Request {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		preventEmptyResend(request)
	}
	request.Header = hideIdempotencyKey(request.Header)
	return request
}

// preventEmptyResend gives a request without a body one that http.Transport can't
// replay. The methods left alone are not replayable without an idempotency key
// in the header map. The identity encoding leaves the framing unchanged: neither
// a length nor chunks are written, and the body is not probed.
func preventEmptyResend(request *http.Request) {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, "":
		request.Body = io.NopCloser(strings.NewReader(""))
		request.TransferEncoding = []string{"identity"}
	default:
		request.Body = http.NoBody
	}
}

var idempotencyNames = [...][2]string{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

// hideIdempotencyKey spells the names in lower case, which the wire format
// allows and http.Transport does not look for. It leaves header unchanged.
func hideIdempotencyKey(header http.Header) http.Header {
	copied := false
	for _, names := range idempotencyNames {
		values, ok := header[names[0]]
		if !ok {
			continue
		}
		if !copied {
			header = header.Clone()
			copied = true
		}
		delete(header, names[0])
		header[names[1]] = values
	}
	return header
}
