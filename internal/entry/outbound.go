package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream"
)

const addedHeaderCount = 4 // size hint: headers that this host adds to a request for an upstream

// outboundRequest builds the request for the next hop. remaining is the time
// until the deadline in milliseconds.
func (x *exchange) outboundRequest(r *http.Request, target upstream.Target, remaining int64) *http.Request {
	header := make(http.Header, len(r.Header)+addedHeaderCount)
	copyEndToEnd(header, r.Header)
	query := r.URL.RawQuery
	if !x.open || x.key != "" {
		delete(header, authorization)
	}
	if x.key != "" {
		removeKey(header, x.key)
		query = withoutKey(query, x.key)
		invariant.Check(!x.leaksKey(header, query), invariant.KeyNotForwarded, "request %s", x.id)
	}
	header[DeadlineHeader] = []string{strconv.FormatInt(remaining, 10)}
	header[RequestIDHeader] = []string{x.id}
	location := &url.URL{Scheme: "http", Host: target.Address.String(), RawQuery: query}
	if target.IsPeer {
		location.Path, location.RawPath = r.URL.Path, r.URL.RawPath
		x.addRelayHeaders(header, target)
	} else {
		location.Path, location.RawPath = x.path, x.rawPath
		if x.account != "" {
			header[AccountHeader] = []string{x.account}
		}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           location,
		Host:          r.Host,
		Header:        header,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: x.payload.Length(),
		Body:          http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = x.payload.Reader()
	}
	return request.WithContext(x.attemptContext())
}

// leaksKey reports whether the caller's key is still in the headers or the query.
func (x *exchange) leaksKey(header http.Header, query string) bool {
	if strings.Contains(query, x.key) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if strings.Contains(value, x.key) {
				return true
			}
		}
	}
	return false
}
