package configuration

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExampleFoldersHaveExpectedSizes(t *testing.T) {
	tests := []struct {
		folder      string
		slots       map[string]int // by service
		connections int
	}{
		{"lakeshore", map[string]int{"vacancy-board": 8, "booking-desk": 4, "records-archive": 9, "centre-directory": 3}, 360},
		{"vatulele", map[string]int{"slotboard": 5, "tally": 3, "gradebook": 5, "freshwatch": 3}, 330},
	}
	for _, test := range tests {
		t.Run(test.folder, func(t *testing.T) {
			c, err := LoadFolder(os.DirFS("../../examples/" + test.folder))
			require.NoError(t, err)
			require.Len(t, c.Regions, 3)
			require.Len(t, c.FailureDomains, 6)
			require.Len(t, c.ClientAccounts, 8)
			require.Len(t, c.Services, len(test.slots))
			s := NewSnapshot(1, c)
			for service, slots := range test.slots {
				require.Len(t, s.UpstreamsOf(service), 12)
				for _, upstream := range s.UpstreamsOf(service) {
					require.Equal(t, slots, upstream.Slots)
					require.Equal(t, test.connections, upstream.Connections)
				}
			}
		})
	}
}
