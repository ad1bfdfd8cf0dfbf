// Package clientaccount authenticates requests and follows which requests of
// which key are active, so that a withdrawn key stops them.
package clientaccount

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// String returns the digest in lower-case hexadecimal, as in the configuration.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

const bearerScheme = "Bearer "

// BearerKey returns the key of an "Authorization: Bearer KEY" header.
func BearerKey(header http.Header) (key string, ok bool) {
	value := header.Get("Authorization")
	if len(value) <= len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	key = strings.Trim(value[len(bearerScheme):], " \t")
	return key, key != ""
}
