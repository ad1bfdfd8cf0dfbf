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
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// KeyValidity is the time for which an issued key may start a request.
	KeyValidity = 10 * time.Minute

	issuedPrefix  = "pk1."
	randomBytes   = 12
	macBytes      = 16
	fixedKeyBytes = 8 + 8 + randomBytes + macBytes
	maxHostBytes  = 100
)

// issuedKey is the content of a key that the system issued.
type issuedKey struct {
	keeper      host.ID
	incarnation host.Incarnation
	issued      time.Duration // since the start of the keeper's process
	random      [randomBytes]byte
	mac         [macBytes]byte
}

// IsIssued reports whether key has the form of an issued key.
func IsIssued(key string) bool { return strings.HasPrefix(key, issuedPrefix) }

// ValidOwn reports whether a key that a caller made up is acceptable: visible
// ASCII of bounded length.
func ValidOwn(key string) bool {
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

func (k *issuedKey) body() []byte {
	b := make([]byte, 0, 1+len(k.keeper)+fixedKeyBytes)
	b = append(b, byte(len(k.keeper)))
	b = append(b, k.keeper...)
	b = binary.BigEndian.AppendUint64(b, uint64(k.incarnation))
	b = binary.BigEndian.AppendUint64(b, uint64(k.issued))
	return append(b, k.random[:]...)
}

func (k *issuedKey) sign(secret []byte, account string) [macBytes]byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(k.body())
	mac.Write([]byte(account))
	var sum [macBytes]byte
	copy(sum[:], mac.Sum(nil))
	return sum
}

// authentic reports whether the process with this secret issued the key to the
// account.
func (k *issuedKey) authentic(secret []byte, account string) bool {
	sum := k.sign(secret, account)
	return hmac.Equal(sum[:], k.mac[:])
}

func (k *issuedKey) String() string {
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(append(k.body(), k.mac[:]...))
}

func newIssuedKey(self host.Identity, issued time.Duration, secret []byte, account string) *issuedKey {
	k := &issuedKey{keeper: self.ID, incarnation: self.Incarnation, issued: issued}
	rand.Read(k.random[:]) // never fails
	k.mac = k.sign(secret, account)
	return k
}

// parseIssued decodes an issued key. Its origin is checked by authentic.
func parseIssued(key string) (*issuedKey, bool) {
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
	k.issued = time.Duration(binary.BigEndian.Uint64(b[8:]))
	copy(k.random[:], b[16:])
	copy(k.mac[:], b[16+randomBytes:])
	return k, true
}
