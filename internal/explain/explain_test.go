package explain

import (
	"fmt"
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

func parsedLines(t *testing.T) []Line {
	t.Helper()
	all, err := Read(strings.NewReader(logOfTwoHosts))
	require.NoError(t, err)
	require.Len(t, all, 7)
	return all
}

func TestFailedRequest(t *testing.T) {
	report, err := Request("r2", parsedLines(t))
	require.NoError(t, err)
	require.Len(t, report.Lines, 2)
	require.Equal(t, "attempt failed", report.Lines[0].Event)
	require.Len(t, report.StateChanges, 2, "state changes of its host and of its upstream only")
	require.Equal(t, "status 502: the upstream gave no answer; an attempt at upstream i-1 failed: reset", report.Cause)
}

// A report on a request that an outdated view refused did not show whose view it was.
func TestReportShowsWhoseViewTheHostHad(t *testing.T) {
	var log strings.Builder
	events := []string{"store lost", "host not followed", "no substitute", "substitute found", "following host", "held host", "substitute left"}
	for i, event := range events {
		fmt.Fprintf(&log, `{"event":%q,"host":"h","time":"2026-01-01T00:00:0%dZ"}`+"\n", event, i)
	}
	log.WriteString(`{"event":"request refused","host":"h","request":"r","status":404,"detail":"no route matches","time":"2026-01-01T00:00:08Z"}`)
	all, err := Read(strings.NewReader(log.String()))
	require.NoError(t, err)
	report, err := Request("r", all)
	require.NoError(t, err)
	var shown []string
	for _, line := range report.StateChanges {
		shown = append(shown, line.Event)
	}
	require.Equal(t, events, shown)
}

func TestLateRequest(t *testing.T) {
	report, err := Request("r3", parsedLines(t))
	require.NoError(t, err)
	require.Contains(t, report.Cause, "did not know the object")
}

func TestUnknownRequest(t *testing.T) {
	_, err := Request("r9", parsedLines(t))
	var notFound *NotFoundError
	require.True(t, errors.As(err, &notFound))
}

func TestCausesNameTheDecidingInputs(t *testing.T) {
	tests := []struct{ name, log, cause string }{
		{
			"over the rate",
			`{"event":"request refused","host":"h","request":"r","status":429,"detail":"client account a","rate":45,"share":3.75,"tokens":0.2,"demand":9.1}`,
			"status 429: client account a: of its 45 requests a second this host has 3.75, 0.2 tokens were left and 9.1 were asked for a second",
		},
		{
			"sent by another host",
			`{"event":"relayed request answered","host":"h","request":"r","status":200,"took_ms":31,"peer":"h-2"}`,
			"status 200 after 31 ms, through host h-2",
		},
		{
			"homes",
			`{"event":"request answered","host":"h","request":"r","status":200,"took_ms":31,"upstream":"i-1","cold":true,"version":7,"homes":"west","region":"east"}`,
			"status 200 from upstream i-1 after 31 ms: the upstream had just started; its homes under policy 7 are west, the upstream is in east",
		},
		{
			"homes without an upstream",
			`{"event":"request refused","host":"h","request":"r","status":503,"detail":"d","version":7,"homes":"none"}`,
			"status 503: d; its homes under policy 7 are none",
		},
		{
			"an upstream that vanished",
			`{"event":"upstream gone","host":"h","upstream":"i-1","time":"2026-01-01T00:00:03Z"}
{"event":"request refused","host":"h","request":"r","status":504,"detail":"no answer in time","upstream":"i-1","wait_ms":0,"work_ms":300,"time":"2026-01-01T00:00:03.5Z"}`,
			"status 504: no answer in time; upstream i-1 was asked last, 0 ms until a slot and 300 ms of work were expected; the upstream's entry vanished 500 ms before the end",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			all, err := Read(strings.NewReader(test.log))
			require.NoError(t, err)
			report, err := Request("r", all)
			require.NoError(t, err)
			require.Equal(t, test.cause, report.Cause)
		})
	}
}
