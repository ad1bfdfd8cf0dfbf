// Package observe provides the logger and the metrics endpoints of a process.
package observe

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes JSON lines to w and drops lines below
// minLevel (debug, info, warn or error; others mean info). It is safe for concurrent
// use.
func NewLogger(w io.Writer, minLevel string) log.Logger {
	logger := newJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, levelOption(minLevel))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

func levelOption(minLevel string) level.Option {
	switch minLevel {
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
