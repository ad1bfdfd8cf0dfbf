package hostbudget

import (
	"time"

	"peridotrail/internal/boottime"
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection.
const (
	Idle     Phase = iota // no byte of a request has arrived
	Head                  // part of a head has arrived
	Busy                  // a request is in progress
	Draining              // the handler has returned; net/http reads the rest of the body
)

// Verdict is what happens to a connection.
type Verdict int

// Verdicts. Those that refuse are only given to connections without a response in progress.
const (
	Keep     Verdict = iota
	Close            // idle for too long
	TooSlow          // refuse the request with 408
	TooLarge         // refuse the request with 431
	NoMemory         // refuse the request with 503
	Cut              // the caller takes or sends too little
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string {
	return [...]string{"keep", "idle", "head.slow", "head.large", "head.memory", "cut"}[v]
}

const (
	// PieceBytes is the most that is written at a time. A caller must take a piece within
	// pressedPieceTime under pressure (8 kB/s), and always within pieceTime (546 B/s).
	PieceBytes       = 32 << 10
	pressedPieceTime = 4 * time.Second
	pieceTime        = time.Minute
	// minEvictionAge is the least time for which a connection has been idle that is closed
	// to make room: the request of a new one may still be on its way.
	minEvictionAge = 200 * time.Millisecond
	// minHeadAge is the least age of a head that is refused to make room. Heads of usual
	// callers arrive in one packet.
	minHeadAge = time.Second
)

// Connection is the state of a connection.
type Connection struct {
	Phase        Phase
	Since        boottime.Instant // start of the phase
	BlockedSince boottime.Instant // start of the write of a piece; zero: none
}

// Bounds are the limits of the policy on what one caller may do.
type Bounds struct {
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Judge decides about a connection. Load patterns: connections that send nothing, heads of one
// byte now and then, bodies that never end after a refusal, and responses that are not read.
func Judge(c Connection, bounds Bounds, pressed bool, now boottime.Instant) Verdict {
	age := now.Sub(c.Since)
	switch {
	case c.BlockedSince != 0:
		blocked := now.Sub(c.BlockedSince)
		if blocked > pieceTime || pressed && blocked > pressedPieceTime {
			return Cut
		}
	case c.Phase == Idle && age > bounds.IdleTimeout:
		return Close
	case c.Phase == Head && age > bounds.HeaderTimeout:
		return TooSlow
	case c.Phase == Draining && age > bounds.IdleTimeout:
		return Cut
	}
	return Keep
}

// Evict returns the verdict with which a connection may end to make room for another one; Keep
// if it may not. Idle connections go before heads that arrive slowly.
func Evict(c Connection, now boottime.Instant) Verdict {
	age := now.Sub(c.Since)
	switch {
	case c.BlockedSince != 0:
	case c.Phase == Idle && age >= minEvictionAge:
		return Close
	case c.Phase == Head && age >= minHeadAge:
		return TooSlow
	}
	return Keep
}

// HeadCost returns the memory of a head beyond that of its connection, in bytes. Load pattern:
// heads of many short lines, each of which takes far more memory than its bytes.
func HeadCost(bytes, lines int64) int64 { return max(0, 2*bytes+HeadLineBytes*lines-HeadFreeBytes) }
