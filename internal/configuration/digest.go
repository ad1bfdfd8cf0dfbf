package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is the SHA-256 of a chunk or of a whole configuration.
type Digest [sha256.Size]byte

// DigestError reports input that is not an encoded Digest.
type DigestError struct {
	Length int // length of the input in bytes
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("input of %d bytes is not a SHA-256 digest", e.Length)
}

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return &DigestError{Length: len(text)}
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return &DigestError{Length: len(text)}
	}
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != len(d) {
		return &DigestError{Length: len(data)}
	}
	copy(d[:], data)
	return nil
}
