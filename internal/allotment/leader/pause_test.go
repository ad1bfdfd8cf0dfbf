package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRenewPauseGrowsWithHosts(t *testing.T) {
	lease := DefaultTiming().HostLease
	for _, test := range []struct {
		hosts int
		lease time.Duration
		want  time.Duration
	}{
		{hosts: 1, lease: lease, want: 50 * time.Millisecond},
		{hosts: 60, lease: lease, want: 3 * time.Second},
		{hosts: 1000, lease: lease, want: 4 * time.Second},
		{hosts: 60, lease: time.Second, want: 200 * time.Millisecond},
		{hosts: 60, lease: 0, want: 0},
	} {
		require.Equal(t, test.want, renewPause(test.hosts, test.lease), "%d hosts", test.hosts)
	}
}
