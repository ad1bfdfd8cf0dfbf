package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRenewPauseBoundsTheRenewalsOfALeader(t *testing.T) {
	term := DefaultTiming().HostTerm
	for _, test := range []struct {
		hosts int
		term  time.Duration
		want  time.Duration
	}{
		{hosts: 1, term: term, want: 50 * time.Millisecond},
		{hosts: 60, term: term, want: 3 * time.Second},
		{hosts: 1000, term: term, want: 4 * time.Second},
		{hosts: 60, term: time.Second, want: 200 * time.Millisecond},
		{hosts: 60, term: 0, want: 0},
	} {
		require.Equal(t, test.want, renewPause(test.hosts, test.term), "%d hosts", test.hosts)
	}
}
