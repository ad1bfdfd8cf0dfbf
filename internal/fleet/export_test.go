package fleet

import "time"

// Sweep runs one sweep of the connections as of now.
func (t *Transport) Sweep(now time.Time) { t.sweepOnce(now) }

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

// ReconnectDelay returns the delay before the next attempt to connect.
func ReconnectDelay(failures int, jitter float64) time.Duration {
	return reconnectDelay(failures, jitter)
}
