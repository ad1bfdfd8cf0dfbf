package crashguard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := Identity{Account: "clinic", Method: "POST", Host: "a.example", Target: "/x/1?b=2", Body: []byte("body")}
	with := func(change func(*Identity)) Identity {
		other := base
		change(&other)
		return other
	}
	cases := []struct {
		name  string
		other Identity
		same  bool
	}{
		{"equal", with(func(i *Identity) { i.Body = []byte("body") }), true},
		{"account", with(func(i *Identity) { i.Account = "other" }), false},
		{"no account", with(func(i *Identity) { i.Account = "" }), false},
		{"method", with(func(i *Identity) { i.Method = "PUT" }), false},
		{"host", with(func(i *Identity) { i.Host = "b.example" }), false},
		{"path", with(func(i *Identity) { i.Target = "/x/2?b=2" }), false},
		{"query", with(func(i *Identity) { i.Target = "/x/1?b=3" }), false},
		{"body", with(func(i *Identity) { i.Body = []byte("bodY") }), false},
		{"longer body with the same beginning", with(func(i *Identity) { i.Partial = true }), false},
		{"moved boundary", with(func(i *Identity) { i.Account, i.Method = "clinicP", "OST" }), false},
		{"no body", with(func(i *Identity) { i.Body = nil }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.same, NewFingerprint(base) == NewFingerprint(c.other))
		})
	}
}

func TestFingerprintSurvivesItsText(t *testing.T) {
	f := NewFingerprint(Identity{Target: "/x"})
	parsed, ok := parseFingerprint(f.String())
	require.True(t, ok)
	require.Equal(t, f, parsed)
	for _, text := range []string{"", "x", f.String()[1:], f.String() + "AA", "not base64 at all!"} {
		_, ok := parseFingerprint(text)
		require.False(t, ok, text)
	}
}
