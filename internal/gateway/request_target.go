package gateway

import (
	"net/http"
	"net/url"
	"strings"
)

// targetURL returns the URL with which http.Transport sends the request target of r byte for
// byte to any address. ok is false if there is none. http.Transport sends an opaque URL as it
// is, but makes an absolute one of it if it begins with two slashes. Such a target is sent as a
// path, which http.Transport escapes again unless its bytes are all permitted in a path.
func targetURL(r *http.Request) (target url.URL, ok bool) {
	target = url.URL{Scheme: "http", Opaque: r.RequestURI}
	if strings.HasPrefix(r.RequestURI, "//") {
		target = url.URL{
			Scheme: "http", Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		}
	}
	return target, target.RequestURI() == r.RequestURI
}
