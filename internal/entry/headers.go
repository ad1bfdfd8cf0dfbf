package entry

import (
	"net/http"
	"strings"

	"peridotrail/internal/entry/forward"
)

// Headers of the product. Other headers with the prefix are removed from
// requests and from answers.
const (
	headerPrefix     = "Peridotrail-"
	DeadlineHeader   = "Peridotrail-Deadline-Ms"   // milliseconds that are left for the request
	RequestIDHeader  = "Peridotrail-Request-Id"    // identifies one request of a caller in answers and logs
	AccountHeader    = "Peridotrail-Account"       // client account, towards upstreams
	ReplayedHeader   = "Peridotrail-Replayed"      // "true" on an answer that an earlier request received
	IdempotencyKey   = "Idempotency-Key"           // makes a caller's retry run at most once
	relayService     = "Peridotrail-Relay-Service" // towards other entry hosts only
	relayAccount     = "Peridotrail-Relay-Account"
	relayWeight      = "Peridotrail-Relay-Weight"
	relayPriority    = "Peridotrail-Relay-Priority"
	relayIdempotent  = "Peridotrail-Relay-Idempotent"
	relayGrant       = "Peridotrail-Relay-Grant"
	authorization    = "Authorization"
	maxUnescapeDepth = 3
)

// protected headers may not be named by a Connection header.
var protected = map[string]bool{
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

// copyEndToEnd copies the headers that pass a hop. Product headers and those
// named by Connection are left out. The value slices are shared.
func copyEndToEnd(to, from http.Header) {
	tokens := forward.ConnectionTokens(from)
	for name, values := range from {
		if forward.HopByHop(name) || strings.HasPrefix(name, headerPrefix) || isListed(tokens, name) {
			continue
		}
		to[name] = values
	}
}

// removeKey removes key from header wherever it occurs.
func removeKey(header http.Header, key string) {
	for name, values := range header {
		if !anyContains(values, key) {
			continue
		}
		delete(header, name)
		if name == "Cookie" {
			setCookies(header, values, key)
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

func setCookies(header http.Header, values []string, key string) {
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

// containsKey reports whether text holds key as it is or percent-encoded, also
// more than once and beside malformed escapes.
func containsKey(text, key string) bool {
	for range maxUnescapeDepth {
		if holds(text, key) {
			return true
		}
		decoded := unescape(text)
		if len(decoded) == len(text) {
			return false
		}
		text = decoded
	}
	return holds(text, key)
}

// holds also finds a key with spaces that were written as plus signs.
func holds(text, key string) bool {
	if strings.Contains(text, key) {
		return true
	}
	return strings.IndexByte(key, ' ') >= 0 && strings.Contains(strings.ReplaceAll(text, "+", " "), key)
}

// unescape decodes the well-formed percent escapes of text and keeps the rest.
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

// withoutKey returns the raw query without the parameters that hold key.
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
