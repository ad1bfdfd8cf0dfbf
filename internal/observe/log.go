// Package observe sets up logs and metrics of a process.
package observe

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes JSON lines to w and drops lines below
// the named level (debug, info, warn or error). It is safe for concurrent use.
func NewLogger(w io.Writer, lowest string) log.Logger {
	logger := newJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, allow(lowest))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

func allow(lowest string) level.Option {
	switch lowest {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	default:
		return level.AllowInfo()
	}
}
