package steering

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Timing of the duty.
const (
	shiftPeriod      = time.Second
	shiftCallTimeout = 2 * time.Second
	shiftReread      = 30 * time.Second // between two readings of unchanged documents
)

// ShiftOptions configures a ShiftDuty.
type ShiftOptions struct {
	Self          host.Identity
	Store         kvstore.Store
	Configuration func() *configuration.Snapshot
	Leading       func() (epoch uint64, ok bool) // whether this host leads its failure domain
	Measure       func(domain string) Measure
	Now           func() time.Time // time.Now if nil
	MaxAge        time.Duration    // DefaultMaxAge if zero
}

// ShiftDuty makes the steps of the shifts out of this host's failure domain
// while this host is the domain's leader.
type ShiftDuty struct {
	options  ShiftOptions
	planner  Planner
	observer *Observer
	epoch    uint64 // of the leadership that observer belongs to; zero: none
	read     time.Time
	averages map[string]*average // by failure domain
}

// NewShiftDuty creates the duty.
func NewShiftDuty(options ShiftOptions) *ShiftDuty {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MaxAge == 0 {
		options.MaxAge = DefaultMaxAge
	}
	return &ShiftDuty{options: options, planner: Planner{MaxAge: options.MaxAge}, observer: NewObserver(), averages: map[string]*average{}}
}

// measure returns the present measure of a failure domain with averages.
func (d *ShiftDuty) measure(domain string, now time.Time) Measure {
	if d.averages[domain] == nil {
		d.averages[domain] = &average{}
	}
	return d.averages[domain].add(d.options.Measure(domain), now)
}

// Run makes steps until ctx ends.
func (d *ShiftDuty) Run(ctx context.Context) error {
	ticker := time.NewTicker(shiftPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.Once(ctx)
		}
	}
}

// Once makes the steps that are due.
func (d *ShiftDuty) Once(ctx context.Context) {
	epoch, leading := d.options.Leading()
	snapshot := d.options.Configuration()
	if !leading || snapshot == nil {
		d.epoch = 0
		return
	}
	if epoch != d.epoch {
		d.observer, d.epoch, d.read = NewObserver(), epoch, time.Time{}
	}
	if !d.refresh(ctx) {
		return
	}
	for _, name := range d.names(snapshot) {
		d.step(ctx, snapshot, name)
	}
}

// refresh reads the documents when they may be out of date, and reports whether
// they are known.
func (d *ShiftDuty) refresh(ctx context.Context) bool {
	if !d.read.IsZero() && d.options.Now().Sub(d.read) < shiftReread {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, shiftCallTimeout)
	defer cancel()
	entries, err := d.options.Store.List(ctx, ShiftPrefix)
	if err != nil {
		return false
	}
	d.read = d.options.Now()
	for _, entry := range entries {
		d.see(entry)
	}
	return true
}

func (d *ShiftDuty) see(entry kvstore.Entry) {
	var progress Progress
	if entry.Exists() && json.Unmarshal(entry.Value, &progress) == nil {
		d.observer.See(progress, entry.Revision, d.options.Now())
	}
}

// names returns the shifts that this host is responsible for.
func (d *ShiftDuty) names(snapshot *configuration.Snapshot) []string {
	names := d.observer.Names(d.options.Self.FailureDomain)
	for _, shift := range snapshot.Shifts {
		if shift.From == d.options.Self.FailureDomain && !slices.Contains(names, shift.Name) {
			names = append(names, shift.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (d *ShiftDuty) step(ctx context.Context, snapshot *configuration.Snapshot, name string) {
	observed, revision := d.observer.Get(name)
	if observed.From != "" && observed.From != d.options.Self.FailureDomain {
		return // the leader of that domain moves its callers back first
	}
	var wanted *configuration.Shift
	for i := range snapshot.Shifts {
		if snapshot.Shifts[i].Name == name {
			wanted = &snapshot.Shifts[i]
		}
	}
	to := observed.To
	if to == "" && wanted != nil {
		to = wanted.To
	}
	now := d.options.Now()
	others := d.observer.From(d.options.Self.FailureDomain, name)
	from, target := d.measure(d.options.Self.FailureDomain, now), d.measure(to, now)
	next, changed := d.planner.Plan(observed, wanted, others, from, target, now)
	if !changed {
		return
	}
	next.Host, next.Epoch = d.options.Self.ID, d.epoch
	if next.Step != observed.Step {
		next.Time = now
	}
	d.write(ctx, next, revision)
}

// write stores a progress. Whatever the store answers, the document is read
// again before the next step if this host does not know what it holds.
func (d *ShiftDuty) write(ctx context.Context, next Progress, expected kvstore.Revision) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shiftCallTimeout)
	defer cancel()
	key := ShiftPrefix + next.Name
	entry, err := d.options.Store.CompareAndSwap(ctx, kvstore.Write{Key: key, Value: value, Expected: expected})
	if err != nil {
		d.read = time.Time{}
		return
	}
	entry.Value = value
	d.see(entry)
}
