package servicelevel

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Prefix begins the keys of all series: Prefix + failure domain + "/" + objective.
const Prefix = "peridotrail/burn/"

// seriesKey returns the key of one series.
func seriesKey(domain, objective string) string { return Prefix + domain + "/" + objective }

// storedSeries is a series together with its revision in the store.
type storedSeries struct {
	series   *Series
	revision kvstore.Revision
	changed  bool // since it was last written
}

// collector is the state of a domain leader. Only the collecting task uses it.
type collector struct {
	epoch       uint64 // fencing epoch under which byObjective was read
	byObjective map[string]*storedSeries
	lastWrite   time.Time
}

// runCollect collects counts and writes series while this host leads its domain.
func (t *Tracker) runCollect(ctx context.Context) error {
	ticker := time.NewTicker(collectPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.collectOnce(ctx, time.Now())
		}
	}
}

// collectOnce collects the closed minutes once. A new leader first reads the stored
// series and collects nothing until that succeeds. Hosts keep their counts for an
// hour, so a shorter outage of the store loses none.
func (t *Tracker) collectOnce(ctx context.Context, now time.Time) {
	epoch, leading := t.config.Leadership.Leading()
	snapshot := t.config.InForce.Current()
	if !leading || snapshot == nil {
		t.collector = collector{}
		return
	}
	c := &t.collector
	if c.byObjective == nil || c.epoch != epoch {
		byObjective, err := t.readSeries(ctx)
		if err != nil {
			t.storeFailures.Inc(1)
			t.warn("reading the stored series failed", Prefix, err)
			return
		}
		*c = collector{epoch: epoch, byObjective: byObjective}
	}
	through := MinuteOf(now) - closeDelayMinutes
	c.addReplies(snapshot.Objectives, through, t.gatherCounts(ctx, c.oldestThrough(through), through))
	if now.Sub(c.lastWrite) >= writePeriod {
		c.lastWrite = now
		t.writeChanged(ctx)
	}
}

// oldestThrough returns the last minute that all series include, but no minute
// older than hosts keep.
func (c *collector) oldestThrough(through Minute) Minute {
	oldest := through
	for _, stored := range c.byObjective {
		oldest = min(oldest, stored.series.Through)
	}
	return max(oldest, through-retentionMinutes)
}

// gatherCounts returns the counts of this host and of all reachable hosts of its
// domain.
func (t *Tracker) gatherCounts(ctx context.Context, from, through Minute) []CollectReply {
	if len(t.collector.byObjective) == 0 {
		from = through - retentionMinutes
	}
	replies := []CollectReply{t.localCounts(from, through)}
	for _, member := range t.config.View.Members() {
		if member.Identity.FailureDomain != t.config.Self.FailureDomain || member.State == host.StateGone {
			continue
		}
		reply, err := t.requestCounts(ctx, member.Identity.Fleet, CollectRequest{From: from, Through: through})
		if err != nil {
			t.missedHosts.Inc(1) // the report lacks the host's counts for these minutes
			continue
		}
		replies = append(replies, reply)
	}
	return replies
}

// addReplies adds the counts in the replies of the hosts to the series.
func (c *collector) addReplies(objectives []configuration.Objective, through Minute, replies []CollectReply) {
	buckets := map[string][]Bucket{}
	for _, reply := range replies {
		for _, counts := range reply.Objectives {
			buckets[counts.Objective] = append(buckets[counts.Objective], counts.Buckets...)
		}
	}
	for _, objective := range objectives {
		stored := c.byObjective[objective.Name]
		if stored == nil {
			stored = &storedSeries{series: NewSeries(objective.Window.Std(), through-retentionMinutes)}
			c.byObjective[objective.Name] = stored
		}
		stored.series.Add(buckets[objective.Name], through)
		stored.changed = true
	}
}

// readSeries reads the stored series of this domain, by objective.
func (t *Tracker) readSeries(ctx context.Context) (map[string]*storedSeries, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	prefix := seriesKey(t.config.Self.FailureDomain, "")
	entries, err := t.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	byObjective := map[string]*storedSeries{}
	for _, entry := range entries {
		var series Series
		if err := cbor.Unmarshal(entry.Value, &series); err != nil || series.CoarseLength <= 0 {
			t.warn("ignored an invalid series", entry.Key, err)
			continue
		}
		byObjective[strings.TrimPrefix(entry.Key, prefix)] = &storedSeries{series: &series, revision: entry.Revision}
	}
	return byObjective, nil
}

// writeChanged stores the series that have changed. A conflict means that another
// leader has written: the next run reads all series again and collects the minutes
// that were not stored.
func (t *Tracker) writeChanged(ctx context.Context) {
	for name, stored := range t.collector.byObjective {
		if !stored.changed {
			continue
		}
		err := t.writeSeries(ctx, name, stored)
		if kvstore.IsKind(err, kvstore.KindConflict) {
			t.collector = collector{}
			return
		}
		if err != nil {
			t.storeFailures.Inc(1)
			t.warn("writing a series failed", seriesKey(t.config.Self.FailureDomain, name), err)
			return
		}
	}
}

// writeSeries stores one series if its revision in the store is still the known one.
func (t *Tracker) writeSeries(ctx context.Context, name string, stored *storedSeries) error {
	value, err := cbor.Marshal(stored.series)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := t.config.Store.CompareAndSwap(ctx, kvstore.Write{
		Key:      seriesKey(t.config.Self.FailureDomain, name),
		Value:    value,
		Expected: stored.revision,
	})
	if err != nil {
		return err
	}
	stored.revision, stored.changed = entry.Revision, false
	return nil
}
