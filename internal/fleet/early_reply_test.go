package fleet_test

import (
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/fleettest"
)

// A peer may reply or refuse before the caller has closed its side of the stream,
// which makes the caller's write fail. The caller must still return the reply or
// KindRefused.
func TestReplyBeforeEndOfRequest(t *testing.T) {
	ca := fleettest.Authority(t)
	a := fleettest.Start(t, ca, options("a", "toronto"), echo)
	small := options("b", "toronto")
	small.MaxFrameSize = 1 << 10
	b := fleettest.Start(t, ca, small, echo)
	large := ping{Text: strings.Repeat("x", 4<<10)}
	const callers, calls = 16, 150
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range calls {
				var reply ping
				if err := a.Call(t.Context(), b.Addr(), "echo", ping{Text: "hi"}, &reply); err != nil || reply.Text != "a:hi" {
					t.Errorf("accepted call: %q, %v", reply.Text, err)
				}
				var failure *fleet.Error
				err := a.Call(t.Context(), b.Addr(), "echo", large, nil)
				if !errors.As(err, &failure) || failure.Kind != fleet.KindRefused {
					t.Errorf("refused call: %v", err)
				}
			}
		})
	}
	wait.Wait()
	require.False(t, t.Failed())
}
