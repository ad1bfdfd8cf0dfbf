package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// IsHopByHop reports whether the header with this canonical name applies to a
// single connection and must not be forwarded.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }

// ConnectionTokens returns the canonical header names listed in Connection headers.
func ConnectionTokens(header http.Header) []string {
	values := header["Connection"]
	if len(values) == 0 {
		return nil
	}
	var tokens []string
	for _, value := range values {
		for token := range strings.SplitSeq(value, ",") {
			if token = strings.Trim(token, " \t"); token != "" {
				tokens = append(tokens, textproto.CanonicalMIMEHeaderKey(token))
			}
		}
	}
	return tokens
}
