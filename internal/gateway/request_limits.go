package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/placement"
)

// limitPrefix is the prefix of the keys of request limits in the store. The rest of the
// key is the ID of the upstream.
const limitPrefix = "limits/"

const (
	// limitRecordInterval is the time between two checks for limits to record.
	limitRecordInterval = 100 * time.Millisecond
	// limitRankDelay is the delay of a host for each share of the upstream's region that
	// goes before its own. It is shorter than the time until other hosts read
	// an entry, since the first host may have no connection to the store.
	limitRankDelay = 100 * time.Millisecond
	// noShareLimitDelay is the shortest delay of a host without a share.
	noShareLimitDelay = 2 * time.Second
	// noShareLimitSpread spreads the delays of these hosts.
	noShareLimitSpread = 2 * time.Second
	// restoreRankDelay is the delay of a host, for each one that goes before it, before it
	// writes a limit that the store has lost. An entry reaches other hosts meanwhile.
	restoreRankDelay = 1 * time.Second
	// limitCallTimeout limits one write of a limit.
	limitCallTimeout = 1 * time.Second
)

// limitEntry is the value of the entry of an upstream's request limit.
type limitEntry struct {
	Incarnation int64   `json:"incarnation"` // of the upstream's process
	Rate        float64 `json:"rate"`        // requests per second from all hosts
}

// InvalidRateError reports the entry of a request limit whose rate is no finite number
// from zero.
type InvalidRateError struct{ Rate float64 }

// Error implements error.
func (e *InvalidRateError) Error() string {
	return fmt.Sprintf("the rate %v is not a finite number from zero", e.Rate)
}

// decodeLimit returns the limit in an entry of the store.
func decodeLimit(entry kvstore.Entry) (placement.StoredLimit, error) {
	if !entry.Exists() {
		return placement.StoredLimit{}, nil
	}
	var decoded limitEntry
	if err := json.Unmarshal(entry.Value, &decoded); err != nil {
		return placement.StoredLimit{}, err
	}
	if decoded.Rate < 0 || math.IsInf(decoded.Rate, 0) || math.IsNaN(decoded.Rate) {
		return placement.StoredLimit{}, &InvalidRateError{Rate: decoded.Rate}
	}
	return placement.StoredLimit{Incarnation: decoded.Incarnation, Rate: decoded.Rate, Revision: entry.Revision}, nil
}

// readLimit returns the limit in an entry of the store, and logs it. An entry that can't
// be decoded counts as none.
func (s *state) readLimit(id string, entry kvstore.Entry) placement.StoredLimit {
	limit, err := decodeLimit(entry)
	if err != nil {
		_ = level.Warn(s.logger).Log("event", "limit entry rejected", "upstream", id, "revision", entry.Revision, "err", err)
		return placement.StoredLimit{}
	}
	_ = level.Info(s.logger).Log("event", "upstream limit", "upstream", id, "limit", limit.Rate, "revision", entry.Revision)
	return limit
}

// resetLimits replaces the entries of all limits.
func (s *state) resetLimits(entries []kvstore.Entry, newEra bool, now boottime.Instant) {
	limits := map[string]placement.StoredLimit{}
	for _, entry := range entries {
		if id, ok := strings.CutPrefix(entry.Key, limitPrefix); ok {
			limits[id] = s.readLimit(id, entry)
		}
	}
	s.pool.SetStoredLimits(limits, newEra, now)
}

// limitUnits returns how many of the requests that an upstream accepts within a window
// this host may send: the units of the limit that belong to the shares that it holds.
// Only hosts of the upstream's region may send any.
func (s *state) limitUnits(u catalog.Upstream, requests int, window time.Duration, now boottime.Instant) int {
	settings := s.settings.get()
	if settings.Regions[u.FailureDomain] != settings.Region {
		return 0
	}
	return s.shares.RegionUnits(requests, xxhash.Sum64String(u.ID), window, now)
}

// limitRecordDelay returns how long this host waits before it records a change of an
// upstream's limit. Hosts with shares of the limit go first, one after another: they send
// most requests to the upstream. The failure domain of one that is gone is empty; hosts
// of each region then go in the same order.
func (s *state) limitRecordDelay(u catalog.Upstream) time.Duration {
	settings := s.settings.get()
	offset := xxhash.Sum64String(u.ID+"\x00"+settings.Host) % uint64(noShareLimitSpread)
	latest := noShareLimitDelay + time.Duration(offset)
	if s.restoring(s.clock()) {
		return min(time.Duration(s.hostRank(u.ID))*restoreRankDelay, latest)
	}
	rank, ok := s.shares.RegionRank(xxhash.Sum64String(u.ID))
	if ok && (u.FailureDomain == "" || settings.Regions[u.FailureDomain] == settings.Region) {
		return min(time.Duration(rank)*limitRankDelay, noShareLimitDelay)
	}
	return latest
}

// hostRank returns the position of this host in an order of all known hosts that differs
// from upstream to upstream and is the same at all hosts.
func (s *state) hostRank(id string) int {
	digest := func(host string) uint64 { return xxhash.Sum64String(id + "\x00" + host) }
	rank, own := 0, digest(s.settings.get().Host)
	for _, host := range *s.hosts.Load() {
		if digest(host.Name) < own {
			rank++
		}
	}
	return rank
}

// limitWrites returns the writes that record changes of limits. The entries have no lease:
// a limit outlives the host that recorded it. There are none while this host has no lease,
// since it does not reach the store then.
func (s *state) limitWrites(now boottime.Instant) []kvstore.Write {
	if !s.shares.Leased(now) {
		return nil
	}
	var writes []kvstore.Write
	for _, change := range s.pool.LimitChanges(now) {
		write := kvstore.Write{Key: limitPrefix + change.Upstream, Expected: change.Limit.Revision, Delete: change.Delete}
		if !change.Delete {
			value, err := json.Marshal(limitEntry{Incarnation: change.Limit.Incarnation, Rate: change.Limit.Rate})
			if err != nil {
				_ = level.Error(s.logger).Log("event", "limit not encoded", "upstream", change.Upstream, "err", err)
				continue
			}
			write.Value = value
		}
		writes = append(writes, write)
	}
	return writes
}

// recordLimits records changes of limits in the store until ctx ends.
func (g *Gateway) recordLimits(ctx context.Context) {
	every(ctx, limitRecordInterval, func() {
		for _, write := range g.state.limitWrites(boottime.Now()) {
			call, cancel := context.WithTimeout(ctx, limitCallTimeout)
			revision, err := g.store.Commit(call, []kvstore.Write{write})
			cancel()
			if err != nil {
				_ = level.Info(g.logger).Log("event", "upstream limit not recorded", "key", write.Key, "deleted", write.Delete, "err", err)
				continue
			}
			_ = level.Info(g.logger).Log("event", "upstream limit recorded", "key", write.Key, "deleted", write.Delete, "entry", string(write.Value), "revision", revision)
		}
	})
}
