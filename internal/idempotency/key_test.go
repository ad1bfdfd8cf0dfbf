package idempotency

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/host"
)

var (
	start = time.Date(2026, 12, 3, 5, 0, 0, 0, time.UTC)
	self  = host.Identity{ID: "toronto-1", Incarnation: 7, FailureDomain: "toronto"}
)

func TestIssuedKeysNameTheirKeeper(t *testing.T) {
	k := NewKeeper(self, func() time.Time { return start })
	key := k.Issue("clinic")
	require.LessOrEqual(t, len(key), MaxKeyBytes)
	parsed, ok := parseIssuedKey(key)
	require.True(t, ok)
	require.Equal(t, self.ID, parsed.keeper)
	require.Equal(t, self.Incarnation, parsed.incarnation)
	require.True(t, parsed.authentic(k.issued.secret[:], "clinic"))
	require.False(t, parsed.authentic(k.issued.secret[:], "centre"))
	require.NotEqual(t, key, k.Issue("clinic"))
}

func TestChangedKeysAreInvalid(t *testing.T) {
	k := NewKeeper(self, func() time.Time { return start })
	key := k.Issue("clinic")
	for i := len(issuedPrefix); i < len(key); i++ {
		c := byte('A')
		if key[i] == c {
			c = 'B'
		}
		changed := key[:i] + string(c) + key[i+1:]
		verdict := k.Begin(&Begin{Account: "clinic", Key: changed}).Verdict
		require.Contains(t, []Verdict{VerdictInvalid, VerdictUnknown}, verdict, "byte %d", i)
	}
	for _, malformed := range []string{"pk1.", "pk1.!", "pk1.AA", key + "AA", key[:len(key)-2], "pk1." + strings.Repeat("A", 400)} {
		require.Equal(t, VerdictInvalid, k.Begin(&Begin{Account: "clinic", Key: malformed}).Verdict)
	}
	require.Zero(t, k.Count())
}

func TestValidCallerKeys(t *testing.T) {
	for key, want := range map[string]bool{
		"order-17": true, "": false, "a b": false, "a\x7f": false, "é": false, strings.Repeat("a", MaxKeyBytes): true, strings.Repeat("a", MaxKeyBytes+1): false,
	} {
		require.Equal(t, want, ValidCallerKey(key), "%q", key)
	}
}
