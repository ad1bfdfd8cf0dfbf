package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// sharedRecords is the number of records that the further requests of an account share when
	// it has maxPerAccount records of its own. A request falls in one of them by its
	// fingerprint: with 16 such requests that crash upstreams an eighth of the others is
	// treated like them until it is known to be harmless.
	sharedRecords = 128
	// harmlessSlots is the number of requests that a host remembers as harmless, at 8 bytes. It
	// is a power of two.
	harmlessSlots = 4096
	// sharedPrefix is the number of zero bytes with which the fingerprint of a shared record
	// begins. No digest of a request does.
	sharedPrefix = 16
)

// shared reports whether a fingerprint is that of a shared record.
func (f Fingerprint) shared() bool {
	return [sharedPrefix]byte(f[:sharedPrefix]) == [sharedPrefix]byte{}
}

// tag identifies a request within a shared record.
func (f Fingerprint) tag() string { return hex.EncodeToString(f[:8]) }

// sharedFingerprint returns the fingerprint of the shared record in which a request of an
// account falls. After the zero bytes come 8 bytes for the account and the number of the record.
func sharedFingerprint(account string, f Fingerprint) Fingerprint {
	var shared Fingerprint
	digest := sha256.Sum256([]byte(account))
	copy(shared[sharedPrefix:], digest[:8])
	binary.BigEndian.PutUint16(shared[len(shared)-2:], binary.BigEndian.Uint16(f[len(f)-2:])%sharedRecords)
	return shared
}

// harmless remembers requests that got complete responses, in a table of fixed size: one
// replaces another in the same slot.
type harmless [harmlessSlots]uint64

func (h *harmless) slot(f Fingerprint) *uint64 {
	return &h[binary.BigEndian.Uint16(f[8:])%harmlessSlots]
}

func (h *harmless) add(f Fingerprint) { *h.slot(f) = binary.BigEndian.Uint64(f[:]) }

func (h *harmless) has(f Fingerprint) bool { return *h.slot(f) == binary.BigEndian.Uint64(f[:]) }

func (h *harmless) remove(f Fingerprint) {
	if h.has(f) {
		*h.slot(f) = 0
	}
}

// Subject returns the fingerprint of the record that decides about a request of an account,
// for Admit and Claim: its own, or that of the shared record.
func (t *Table) Subject(f Fingerprint, account string) Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	if subject := t.subject(f, accountDigest(account)); !subject.shared() || t.records[subject] != nil && !t.harmless.has(f) {
		return subject
	}
	return f
}

// subject returns the fingerprint of the record in which a crash under a request is recorded.
// The caller holds mu.
func (t *Table) subject(f Fingerprint, account string) Fingerprint {
	own, shared := t.records[f], sharedFingerprint(account, f)
	switch {
	case own != nil && (len(own.crashes()) >= suspectCrashes || t.records[shared] == nil):
		return f
	case t.records[shared] != nil || t.perAccount[account] >= maxPerAccount:
		return shared
	}
	return f
}
