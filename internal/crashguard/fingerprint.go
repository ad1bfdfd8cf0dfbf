// Package crashguard limits how many upstreams a request that crashes them reaches,
// over all hosts together.
//
// A request is known by its fingerprint. The upstream processes that crashed while they
// ran it are recorded in the store, so that every host knows the crashes that others saw.
// The decisions are pure: they read no clock and do no I/O.
package crashguard

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
)

// Fingerprint identifies a request that callers may repeat: it is the same for equal
// requests of one client account, whatever the ID of the attempt, and at every host.
type Fingerprint [sha256.Size]byte

// Identity is what a fingerprint covers.
type Identity struct {
	Account string // name of the client account, empty if the request needs no key
	Method  string
	Host    string
	Target  string // path and query as received
	Body    []byte // the body, or its beginning if Partial
	Partial bool   // the body continues after Body
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(i Identity) Fingerprint {
	digest := sha256.New()
	for _, part := range [...]string{i.Account, i.Method, i.Host, i.Target} {
		writeLength(digest, len(part))
		_, _ = io.WriteString(digest, part) // a hash returns no error
	}
	partial := byte(0)
	if i.Partial {
		partial = 1
	}
	_, _ = digest.Write([]byte{partial})
	_, _ = digest.Write(i.Body)
	var f Fingerprint
	digest.Sum(f[:0])
	return f
}

// writeLength makes the boundary between two parts unambiguous.
func writeLength(digest hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	_, _ = digest.Write(length[:])
}

// String returns the fingerprint as URL-safe base64, as used in log lines and keys of
// the store.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }

// parseFingerprint reads the result of String.
func parseFingerprint(text string) (Fingerprint, bool) {
	decoded, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(decoded) != sha256.Size {
		return Fingerprint{}, false
	}
	return Fingerprint(decoded), true
}
