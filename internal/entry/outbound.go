package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"peridotrail/internal/invariant"
	"peridotrail/internal/upstream"
)

const addedHeaders = 4 // that this host adds to a request

// outbound builds the request for the next hop.
func (x *exchange) outbound(r *http.Request, target upstream.Target, left int64) *http.Request {
	header := make(http.Header, len(r.Header)+addedHeaders)
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
	header[DeadlineHeader] = []string{strconv.FormatInt(left, 10)}
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
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
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
