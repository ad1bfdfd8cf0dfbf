package fleet

import "time"

// Sweep closes the connections that are unused or no longer accepted at time now.
func (t *Transport) Sweep(now time.Time) { t.sweep(now) }

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// ReconnectDelay exports reconnectDelay.
func ReconnectDelay(failures int, jitter float64) time.Duration {
	return reconnectDelay(failures, jitter)
}
