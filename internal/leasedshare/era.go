package leasedshare

import (
	"strconv"
	"time"

	"peridotrail/internal/boottime"
	"peridotrail/internal/kvstore"
)

// settledKey is the key of the number of the last era of the store in which no holder of
// an earlier era can use a share any longer. Without it a process that starts could not
// tell whether the era has just begun, and would use no shares for the time of a lease.
const settledKey = "shares-settled"

// settled reports whether no process has used a share under a lease of an earlier era within
// window. The caller holds mu.
func (h *Holder) settled(now boottime.Instant, window time.Duration) bool {
	return !h.era.Named() || h.settledEra == h.era && now.Sub(h.settledSeen) >= window ||
		now.Sub(h.eraSeen) >= h.options.LeaseTTL+window+MaxSendDelay
}

// readSettled reads the entry of settledKey; other entries are ignored. The caller holds mu.
func (h *Holder) readSettled(entry kvstore.Entry, now boottime.Instant) {
	if entry.Key != settledKey {
		return
	}
	before := h.settledEra
	h.settledEra, h.settledAt = 0, entry.Revision
	if number, err := strconv.ParseUint(string(entry.Value), 10, 64); err == nil && entry.Exists() {
		h.settledEra, _ = kvstore.NewEra(number)
	}
	if h.settledEra != before {
		h.settledSeen = now
	}
}

// settle adds the write of settledKey to a transaction that writes nothing else, once the leases
// of earlier eras have ended. The caller holds mu.
func (h *Holder) settle(t *Transaction, now boottime.Instant) {
	if !h.era.Named() || h.settledEra == h.era || len(t.Writes) > 0 || now.Before(h.settleRetry) ||
		now.Sub(h.eraSeen) < h.options.LeaseTTL+MaxSendDelay {
		return
	}
	t.settles = true
	t.Writes = append(t.Writes, kvstore.Write{Key: settledKey, Value: []byte(strconv.FormatUint(h.era.Number(), 10)), Expected: h.settledAt})
}
