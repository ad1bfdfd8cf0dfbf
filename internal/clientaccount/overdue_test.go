package clientaccount

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/invariant"
)

// noKeys is a fake Keys that knows no key.
type noKeys struct{}

func (noKeys) KeyOwner([32]byte) (string, string, bool) { return "", "", false }

// The enforcer must report a violation if a request ignores the cancellation of its
// context and is still active MaxEndDelay after its key was withdrawn.
func TestEnforcerReportsRequestsThatOutliveTheirKey(t *testing.T) {
	for _, test := range []struct {
		name       string
		endsInTime bool
		violations int
	}{
		{name: "ends", endsInTime: true},
		{name: "runs on", violations: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				violations := 0
				defer invariant.SetHandler(func(v *invariant.Violation) {
					require.Equal(t, invariant.WithdrawnKeyEnforced, v.Invariant)
					violations++
				})()
				active := NewActiveRequests()
				ctx, request := active.Begin(t.Context(), DigestOf("k"), "clinic")
				e := &Enforcer{Requests: active, InForce: func() (Keys, configuration.Revision) { return noKeys{}, 1 }}
				e.Step()
				require.Error(t, ctx.Err())
				if test.endsInTime {
					request.End()
				}
				time.Sleep(MaxEndDelay + time.Second)
				e.Step()
				e.Step()
				require.Equal(t, test.violations, violations)
				request.End()
			})
		})
	}
}
