package clientaccount

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/invariant"
)

type noKeys struct{}

func (noKeys) KeyOwner([32]byte) (string, string, bool) { return "", "", false }

// A request that ignores the end of its context is a violation once it has run
// on for longer than EndLimit after the withdrawal.
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
					require.Equal(t, invariant.WithdrawnKeyStops, v.Invariant)
					violations++
				})()
				active := NewActive()
				ctx, request := active.Begin(t.Context(), DigestOf("k"), "clinic")
				e := &Enforcer{Active: active, InForce: func() (Keys, configuration.Revision) { return noKeys{}, 1 }}
				e.Step()
				require.Error(t, ctx.Err())
				if test.endsInTime {
					request.End()
				}
				time.Sleep(EndLimit + time.Second)
				e.Step()
				e.Step()
				require.Equal(t, test.violations, violations)
				request.End()
			})
		})
	}
}
