package explain

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

const logOfTwoHosts = `
  1.5 h-1 {"event":"store lost","host":"h-1","time":"2026-01-01T00:00:01Z","err":"timeout"}
{"event":"store lost","host":"h-2","time":"2026-01-01T00:00:01Z"}
{"event":"upstream","host":"h-1","upstream":"i-9","time":"2026-01-01T00:00:02Z"}
not json {
{"event":"upstream","host":"h-1","upstream":"i-1","time":"2026-01-01T00:00:02Z","draining":true}
{"event":"request refused","host":"h-1","request":"r2","status":502,"detail":"the upstream gave no answer","time":"2026-01-01T00:00:03Z","upstream":"i-1"}
{"event":"attempt failed","host":"h-1","request":"r2","upstream":"i-1","err":"reset","time":"2026-01-01T00:00:02.9Z"}
{"event":"request answered","host":"h-2","request":"r3","status":200,"took_ms":900,"wait_ms":10,"work_ms":850,"warm":0.05,"upstream":"i-2","time":"2026-01-01T00:00:04Z"}
`

func lines(t *testing.T) []Line {
	t.Helper()
	all, err := Read(strings.NewReader(logOfTwoHosts))
	require.NoError(t, err)
	require.Len(t, all, 7)
	return all
}

func TestFailedRequest(t *testing.T) {
	report, err := Request("r2", lines(t))
	require.NoError(t, err)
	require.Len(t, report.Lines, 2)
	require.Equal(t, "attempt failed", report.Lines[0].Event)
	require.Len(t, report.Beliefs, 2, "of its host and its upstream only")
	require.Equal(t, "status 502: the upstream gave no answer; an attempt at upstream i-1 failed: reset", report.Cause)
}

func TestLateRequest(t *testing.T) {
	report, err := Request("r3", lines(t))
	require.NoError(t, err)
	require.Contains(t, report.Cause, "did not know the object")
}

func TestUnknownRequest(t *testing.T) {
	_, err := Request("r9", lines(t))
	var missing *NotFoundError
	require.True(t, errors.As(err, &missing))
}
