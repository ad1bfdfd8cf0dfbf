package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

var hopByHop = map[string]bool{
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

// HopByHop reports whether a header, by its canonical name, concerns one connection
// only.
func HopByHop(name string) bool { return hopByHop[name] }

// ConnectionTokens returns the canonical names that Connection headers list.
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
