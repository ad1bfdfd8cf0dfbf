package entry

import (
	"net/http"
	"strings"

	"peridotrail/internal/entry/forward"
)

// Header names of the protocol. Other headers with headerPrefix are removed from
// requests and responses.
const (
	headerPrefix     = "Peridotrail-"
	DeadlineHeader   = "Peridotrail-Deadline-Ms"   // milliseconds that remain for the request
	RequestIDHeader  = "Peridotrail-Request-Id"    // identifies one request of a caller in responses and logs
	AccountHeader    = "Peridotrail-Account"       // client account; sent to upstreams
	ReplayedHeader   = "Peridotrail-Replayed"      // "true" on a response that an earlier request received
	IdempotencyKey   = "Idempotency-Key"           // makes a request and its retries run at most once
	relayService     = "Peridotrail-Relay-Service" // sent to other entry hosts only, like the headers below
	relayAccount     = "Peridotrail-Relay-Account"
	relayWeight      = "Peridotrail-Relay-Weight"
	relayPriority    = "Peridotrail-Relay-Priority"
	relayIdempotent  = "Peridotrail-Relay-Idempotent"
	relayGrant       = "Peridotrail-Relay-Grant"
	authorization    = "Authorization"
	maxUnescapeDepth = 3
)

// protectedHeaders must not be listed in a Connection header.
var protectedHeaders = map[string]bool{
	authorization:       true,
	"Host":              true,
	"Content-Length":    true,
	"Content-Type":      true,
	"Transfer-Encoding": true,
	"Cookie":            true,
	IdempotencyKey:      true,
}

func isListed(tokens []string, name string) bool {
	for _, token := range tokens {
		if token == name {
			return true
		}
	}
	return false
}

// copyEndToEnd copies the end-to-end headers from src to dst. It leaves out
// headers with headerPrefix and those listed in Connection. The value slices are
// shared.
func copyEndToEnd(dst, src http.Header) {
	tokens := forward.ConnectionTokens(src)
	for name, values := range src {
		if forward.IsHopByHop(name) || strings.HasPrefix(name, headerPrefix) || isListed(tokens, name) {
			continue
		}
		dst[name] = values
	}
}

// removeKey removes all headers that contain key. Of Cookie headers it keeps the
// cookies without key.
func removeKey(header http.Header, key string) {
	for name, values := range header {
		if !anyContains(values, key) {
			continue
		}
		delete(header, name)
		if name == "Cookie" {
			setCookiesWithoutKey(header, values, key)
		}
	}
}

func anyContains(values []string, key string) bool {
	for _, value := range values {
		if containsKey(value, key) {
			return true
		}
	}
	return false
}

func setCookiesWithoutKey(header http.Header, values []string, key string) {
	var kept []string
	for _, value := range values {
		for cookie := range strings.SplitSeq(value, ";") {
			if cookie = strings.TrimSpace(cookie); cookie != "" && !containsKey(cookie, key) {
				kept = append(kept, cookie)
			}
		}
	}
	if len(kept) > 0 {
		header["Cookie"] = []string{strings.Join(kept, "; ")}
	}
}

// containsKey reports whether text contains key, either literally or
// percent-encoded up to maxUnescapeDepth times. Malformed escapes in text don't
// hide the key.
func containsKey(text, key string) bool {
	for range maxUnescapeDepth {
		if containsLiteral(text, key) {
			return true
		}
		decoded := unescape(text)
		if len(decoded) == len(text) {
			return false
		}
		text = decoded
	}
	return containsLiteral(text, key)
}

// containsLiteral reports whether text contains key without percent encoding. It
// also finds a key whose spaces are written as plus signs.
func containsLiteral(text, key string) bool {
	if strings.Contains(text, key) {
		return true
	}
	return strings.IndexByte(key, ' ') >= 0 && strings.Contains(strings.ReplaceAll(text, "+", " "), key)
}

// unescape decodes the well-formed percent escapes of text and leaves malformed
// ones unchanged.
func unescape(text string) string {
	first := strings.IndexByte(text, '%')
	if first < 0 {
		return text
	}
	decoded := []byte(text[:first])
	for i := first; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) && isHex(text[i+1]) && isHex(text[i+2]) {
			decoded = append(decoded, fromHex(text[i+1])<<4|fromHex(text[i+2]))
			i += 2
			continue
		}
		decoded = append(decoded, text[i])
	}
	return string(decoded)
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f'
}

func fromHex(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}

// withoutKey returns the raw query without the parameters that contain key.
func withoutKey(rawQuery, key string) string {
	if rawQuery == "" || !containsKey(rawQuery, key) {
		return rawQuery
	}
	var kept []string
	for pair := range strings.SplitSeq(rawQuery, "&") {
		if !containsKey(pair, key) {
			kept = append(kept, pair)
		}
	}
	return strings.Join(kept, "&")
}
