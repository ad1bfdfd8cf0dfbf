package observe

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"
)

type stringType string

// Lines decode to the same values as those of go-kit's JSON logger.
func TestJSONLines(t *testing.T) {
	values := []any{
		"plain", "quo\"te", "back\\slash", "new\nline", "\u00e4\u2028", "\xff", "", 7, int64(-7), uint64(math.MaxUint64), uint16(3), 2.5, 1e21, true, nil,
		errors.New("went \"wrong\""), 1500 * time.Millisecond, time.Unix(1, 5).UTC(), stringType("n"), []string{"a", "b"}, map[string]int{"k": 1}, level.InfoValue(),
	}
	for _, value := range values {
		var got, want bytes.Buffer
		require.NoError(t, newJSONLogger(&got).Log("k", value, "after", 1))
		require.NoError(t, log.NewJSONLogger(&want).Log("k", value, "after", 1))
		require.JSONEq(t, want.String(), got.String(), "%#v", value)
		require.Equal(t, byte('\n'), got.Bytes()[got.Len()-1])
	}
}

func TestJSONLinesOfMalformedCalls(t *testing.T) {
	for _, keyvals := range [][]any{{}, {"alone"}, {7, "number as name"}, {"f", math.Inf(1)}, {"c", make(chan int)}} {
		var got bytes.Buffer
		require.NoError(t, newJSONLogger(&got).Log(keyvals...))
		require.True(t, json.Valid(got.Bytes()), got.String())
	}
}

func benchmarkLine(b *testing.B, logger log.Logger) {
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "host", "edge-1")
	b.ReportAllocs()
	for b.Loop() {
		_ = level.Info(logger).Log("event", "request answered", "request", "9c41d07be2a35f68", "status", 200, "took_ms", int64(42), "attempts", 1,
			"keys_age_ms", int64(300), "version", uint64(9), "account", "clinic", "route", "read", "service", "svc", "object", "17",
			"upstream", "i-7f3a91c2", "domain", "west-a", "wait_ms", int64(0), "work_ms", int64(40), "warm", 0.93, "home", true, "cold", false, "load", 1.5, "load_age_ms", int64(900))
	}
}

func BenchmarkRequestLine(b *testing.B) {
	b.Run("ours", func(b *testing.B) { benchmarkLine(b, newJSONLogger(io.Discard)) })
	b.Run("go-kit", func(b *testing.B) { benchmarkLine(b, log.NewJSONLogger(io.Discard)) })
}
