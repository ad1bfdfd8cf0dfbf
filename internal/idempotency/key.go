package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"peridotrail/internal/host"
)

const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// KeyValidity is the time after its issue for which an issued key may start
	// a request.
	KeyValidity = 10 * time.Minute

	issuedPrefix  = "pk1."
	randomBytes   = 12
	macBytes      = 16
	fixedKeyBytes = 8 + 8 + randomBytes + macBytes
	maxHostBytes  = 100
)

// issuedKey is the decoded content of an issued key.
type issuedKey struct {
	keeper      host.ID
	incarnation host.Incarnation
	issuedAt    time.Duration // since the start of the issuing process
	random      [randomBytes]byte
	mac         [macBytes]byte
}

// IsIssued reports whether key has the form of an issued key.
func IsIssued(key string) bool { return strings.HasPrefix(key, issuedPrefix) }

// ValidCallerKey reports whether a key that a caller chose is acceptable: 1 to
// MaxKeyBytes visible ASCII characters.
func ValidCallerKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := 0; i < len(key); i++ {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return false
		}
	}
	return true
}

// signedBytes returns the encoded fields that the MAC covers.
func (k *issuedKey) signedBytes() []byte {
	b := make([]byte, 0, 1+len(k.keeper)+fixedKeyBytes)
	b = append(b, byte(len(k.keeper)))
	b = append(b, k.keeper...)
	b = binary.BigEndian.AppendUint64(b, uint64(k.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(k.issuedAt))
	return append(b, k.random[:]...)
}

// computeMAC returns the MAC over the fields of the key and the client account.
func (k *issuedKey) computeMAC(secret []byte, account string) [macBytes]byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(k.signedBytes())
	mac.Write([]byte(account))
	var sum [macBytes]byte
	copy(sum[:], mac.Sum(nil))
	return sum
}

// authentic reports whether the process with this secret issued the key to the
// client account.
func (k *issuedKey) authentic(secret []byte, account string) bool {
	sum := k.computeMAC(secret, account)
	return hmac.Equal(sum[:], k.mac[:])
}

// String returns the key as callers see it: the prefix and the encoded fields with
// the MAC.
func (k *issuedKey) String() string {
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(append(k.signedBytes(), k.mac[:]...))
}

func newIssuedKey(self host.Identity, issuedAt time.Duration, secret []byte, account string) *issuedKey {
	k := &issuedKey{keeper: self.ID, incarnation: self.Incarnation, issuedAt: issuedAt}
	rand.Read(k.random[:]) // never fails
	k.mac = k.computeMAC(secret, account)
	return k
}

// parseIssuedKey decodes an issued key without checking its MAC; authentic does.
func parseIssuedKey(key string) (*issuedKey, bool) {
	if len(key) > MaxKeyBytes || !IsIssued(key) {
		return nil, false
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(key[len(issuedPrefix):])
	if err != nil || len(b) < 1 || len(b) != 1+int(b[0])+fixedKeyBytes {
		return nil, false
	}
	k := &issuedKey{keeper: host.ID(b[1 : 1+b[0]])}
	b = b[1+b[0]:]
	k.incarnation = host.Incarnation(binary.BigEndian.Uint64(b))
	k.issuedAt = time.Duration(binary.BigEndian.Uint64(b[8:]))
	copy(k.random[:], b[16:])
	copy(k.mac[:], b[16+randomBytes:])
	return k, true
}
