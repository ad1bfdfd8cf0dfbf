// Package clientaccount reads and hashes the keys of client accounts. It also tracks
// the active requests of each key, and cancels them when the key is withdrawn.
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

// BearerKey returns the key in an "Authorization: Bearer KEY" header. ok is false if
// there is none.
func BearerKey(header http.Header) (key string, ok bool) {
	value := header.Get("Authorization")
	if len(value) <= len(bearerScheme) || !strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
		return "", false
	}
	key = strings.Trim(value[len(bearerScheme):], " \t")
	return key, key != ""
}
