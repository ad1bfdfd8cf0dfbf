package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/hostbudget"
)

// Guards against responses that are each buffered whole while memory is short, against memory
// that stays taken, and against a part that is taken for the whole.
func TestResponsesBufferLessWhileMemoryIsShort(t *testing.T) {
	const memory = 16 << 20
	for _, test := range []struct {
		length, declared, used int64
		buffered               int
	}{
		{4 << 20, 4 << 20, 0, maxBufferedBody},
		{100, 100, 0, 100},
		{100, -1, 0, 100},
		{0, 0, 0, 0},
		{4 << 20, 4 << 20, memory, minBufferedBody},
		{4 << 20, -1, memory, minBufferedBody},
		{4 << 20, 4 << 20, memory - 4<<20, 512 << 10},
		{100, 100, memory, 100},
	} {
		budget := hostbudget.New(hostbudget.Limits{Memory: memory})
		budget.Charge(test.used)
		x := &exchange{gateway: &Gateway{budget: budget}}
		body := strings.Repeat("b", int(test.length))
		a, err := x.readResponse(&http.Response{ContentLength: test.declared, Body: io.NopCloser(strings.NewReader(body))})
		require.NoError(t, err)
		require.Len(t, a.body, test.buffered, "%+v", test)
		_, usage := budget.Snapshot()
		require.GreaterOrEqual(t, usage.Memory-test.used, int64(test.buffered), "what is buffered is charged")
		require.Equal(t, test.buffered < int(test.length), a.remainder != nil, "%+v", test)
		if a.remainder != nil {
			rest, err := io.ReadAll(a.remainder)
			require.NoError(t, err)
			require.Len(t, rest, int(test.length)-test.buffered)
		}
		x.releaseResponseMemory()
		_, usage = budget.Snapshot()
		require.Equal(t, test.used, usage.Memory)
	}
}
