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

// document is one series with the store's revision of it.
type document struct {
	series   *Series
	revision kvstore.Revision
	changed  bool
}

// collector is what a leader holds. It is owned by the collecting duty.
type collector struct {
	epoch     uint64 // of the leadership under which documents were read
	documents map[string]*document
	written   time.Time
}

// runCollect collects and writes while this host leads its domain.
func (t *Tracker) runCollect(ctx context.Context) error {
	ticker := time.NewTicker(collectPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.step(ctx, time.Now())
		}
	}
}

// step collects the closed minutes once. A leader begins with what the store
// holds; without it nothing is collected, because hosts keep an hour of counts.
func (t *Tracker) step(ctx context.Context, now time.Time) {
	epoch, leading := t.config.Leadership.Leading()
	snapshot := t.config.InForce.Current()
	if !leading || snapshot == nil {
		t.collector = collector{}
		return
	}
	c := &t.collector
	if c.documents == nil || c.epoch != epoch {
		documents, err := t.read(ctx)
		if err != nil {
			t.failures.Inc(1)
			t.warn("burn not read", Prefix, err)
			return
		}
		*c = collector{epoch: epoch, documents: documents}
	}
	through := MinuteOf(now) - settleMinutes
	c.collect(snapshot.Objectives, through, t.gather(ctx, c.oldest(through), through))
	if now.Sub(c.written) >= writePeriod {
		c.written = now
		t.write(ctx)
	}
}

// oldest returns the last minute that every series counts.
func (c *collector) oldest(through Minute) Minute {
	oldest := through
	for _, d := range c.documents {
		oldest = min(oldest, d.series.Through)
	}
	return max(oldest, through-heldMinutes)
}

// gather asks all hosts of the domain, this one included.
func (t *Tracker) gather(ctx context.Context, from, through Minute) []CollectReply {
	if len(t.collector.documents) == 0 {
		from = through - heldMinutes
	}
	replies := []CollectReply{t.local(from, through)}
	for _, member := range t.config.View.Members() {
		if member.Identity.FailureDomain != t.config.Self.FailureDomain || member.State == host.StateGone {
			continue
		}
		reply, err := t.call(ctx, member.Identity.Fleet, CollectRequest{From: from, Through: through})
		if err != nil {
			t.missed.Inc(1) // its counts of these minutes are not in the report
			continue
		}
		replies = append(replies, reply)
	}
	return replies
}

// collect adds what the hosts have answered to the series.
func (c *collector) collect(objectives []configuration.Objective, through Minute, replies []CollectReply) {
	buckets := map[string][]Bucket{}
	for _, reply := range replies {
		for _, counts := range reply.Objectives {
			buckets[counts.Objective] = append(buckets[counts.Objective], counts.Buckets...)
		}
	}
	for _, objective := range objectives {
		d := c.documents[objective.Name]
		if d == nil {
			d = &document{series: NewSeries(objective.Window.Std(), through-heldMinutes)}
			c.documents[objective.Name] = d
		}
		d.series.Add(buckets[objective.Name], through)
		d.changed = true
	}
}

// read loads the series of this domain.
func (t *Tracker) read(ctx context.Context) (map[string]*document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	prefix := seriesKey(t.config.Self.FailureDomain, "")
	entries, err := t.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	documents := map[string]*document{}
	for _, entry := range entries {
		var series Series
		if err := cbor.Unmarshal(entry.Value, &series); err != nil || series.CoarseLength <= 0 {
			t.warn("series ignored", entry.Key, err)
			continue
		}
		documents[strings.TrimPrefix(entry.Key, prefix)] = &document{series: &series, revision: entry.Revision}
	}
	return documents, nil
}

// write stores the series that have changed. After a conflict another leader has
// written: everything is read again, and what was not stored is collected again.
func (t *Tracker) write(ctx context.Context) {
	for name, d := range t.collector.documents {
		if !d.changed {
			continue
		}
		err := t.writeOne(ctx, name, d)
		if kvstore.IsKind(err, kvstore.KindConflict) {
			t.collector = collector{}
			return
		}
		if err != nil {
			t.failures.Inc(1)
			t.warn("burn not written", seriesKey(t.config.Self.FailureDomain, name), err)
			return
		}
	}
}

func (t *Tracker) writeOne(ctx context.Context, name string, d *document) error {
	value, err := cbor.Marshal(d.series)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := t.config.Store.CompareAndSwap(ctx, kvstore.Write{
		Key:      seriesKey(t.config.Self.FailureDomain, name),
		Value:    value,
		Expected: d.revision,
	})
	if err != nil {
		return err
	}
	d.revision, d.changed = entry.Revision, false
	return nil
}
