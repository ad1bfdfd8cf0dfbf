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

// Timing of the controller.
const (
	shiftInterval        = time.Second
	shiftCallTimeout     = 2 * time.Second
	shiftRefreshInterval = 30 * time.Second // time after which all documents are read again
)

// ShiftOptions configures a ShiftController.
type ShiftOptions struct {
	Self          host.Identity
	Store         kvstore.Store
	Configuration func() *configuration.Snapshot
	Leading       func() (epoch uint64, ok bool) // whether this host leads its failure domain
	Measure       func(domain string) Measurement
	Now           func() time.Time // time.Now if nil
	MaxAge        time.Duration    // DefaultMaxAge if zero
}

// ShiftController makes the steps of the shifts out of this host's failure domain
// while this host is the domain leader. It is not safe for concurrent use.
type ShiftController struct {
	options  ShiftOptions
	planner  Planner
	observer *Observer
	epoch    uint64 // leadership epoch in which observer was created; zero: none
	listedAt time.Time
	averages map[string]*movingAverage // by failure domain
}

// NewShiftController creates a ShiftController.
func NewShiftController(options ShiftOptions) *ShiftController {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MaxAge == 0 {
		options.MaxAge = DefaultMaxAge
	}
	return &ShiftController{options: options, planner: Planner{MaxAge: options.MaxAge}, observer: NewObserver(), averages: map[string]*movingAverage{}}
}

// measure returns the current measurement of a failure domain with averages.
func (c *ShiftController) measure(domain string, now time.Time) Measurement {
	if c.averages[domain] == nil {
		c.averages[domain] = &movingAverage{}
	}
	return c.averages[domain].add(c.options.Measure(domain), now)
}

// Run calls RunOnce periodically until ctx ends.
func (c *ShiftController) Run(ctx context.Context) error {
	ticker := time.NewTicker(shiftInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.RunOnce(ctx)
		}
	}
}

// RunOnce makes the steps that are due if this host is the domain leader.
func (c *ShiftController) RunOnce(ctx context.Context) {
	epoch, leading := c.options.Leading()
	snapshot := c.options.Configuration()
	if !leading || snapshot == nil {
		c.epoch = 0
		return
	}
	if epoch != c.epoch {
		c.observer, c.epoch, c.listedAt = NewObserver(), epoch, time.Time{}
	}
	if !c.refresh(ctx) {
		return
	}
	for _, name := range c.ownShiftNames(snapshot) {
		c.step(ctx, snapshot, name)
	}
}

// refresh reads the progress documents from the store if the last reading is too
// old or was invalidated. It reports false if the store cannot be read.
func (c *ShiftController) refresh(ctx context.Context) bool {
	if !c.listedAt.IsZero() && c.options.Now().Sub(c.listedAt) < shiftRefreshInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, shiftCallTimeout)
	defer cancel()
	entries, err := c.options.Store.List(ctx, ShiftPrefix)
	if err != nil {
		return false
	}
	c.listedAt = c.options.Now()
	for _, entry := range entries {
		c.observe(entry)
	}
	return true
}

func (c *ShiftController) observe(entry kvstore.Entry) {
	var progress Progress
	if entry.Exists() && json.Unmarshal(entry.Value, &progress) == nil {
		c.observer.Observe(progress, entry.Revision, c.options.Now())
	}
}

// ownShiftNames returns the sorted names of the configured and stored shifts out of
// this host's failure domain.
func (c *ShiftController) ownShiftNames(snapshot *configuration.Snapshot) []string {
	names := c.observer.ShiftNames(c.options.Self.FailureDomain)
	for _, shift := range snapshot.Shifts {
		if shift.From == c.options.Self.FailureDomain && !slices.Contains(names, shift.Name) {
			names = append(names, shift.Name)
		}
	}
	slices.Sort(names)
	return names
}

// step plans and writes the next progress of one shift.
func (c *ShiftController) step(ctx context.Context, snapshot *configuration.Snapshot, name string) {
	observed, revision := c.observer.Get(name)
	if observed.From != "" && observed.From != c.options.Self.FailureDomain {
		return // the leader of that domain moves its callers back first
	}
	var configured *configuration.Shift
	for i := range snapshot.Shifts {
		if snapshot.Shifts[i].Name == name {
			configured = &snapshot.Shifts[i]
		}
	}
	target := observed.To
	if target == "" && configured != nil {
		target = configured.To
	}
	now := c.options.Now()
	others := c.observer.OtherShifts(c.options.Self.FailureDomain, name)
	sourceLoad, targetLoad := c.measure(c.options.Self.FailureDomain, now), c.measure(target, now)
	next, changed := c.planner.Plan(observed, configured, others, sourceLoad, targetLoad, now)
	if !changed {
		return
	}
	next.Host, next.Epoch = c.options.Self.ID, c.epoch
	if next.Step != observed.Step {
		next.Time = now
	}
	c.write(ctx, next, revision)
}

// write stores a progress document. After an error the stored content may be
// unknown, so all documents are read again before the next step.
func (c *ShiftController) write(ctx context.Context, next Progress, expected kvstore.Revision) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shiftCallTimeout)
	defer cancel()
	key := ShiftPrefix + next.Name
	entry, err := c.options.Store.CompareAndSwap(ctx, kvstore.Write{Key: key, Value: value, Expected: expected})
	if err != nil {
		c.listedAt = time.Time{}
		return
	}
	entry.Value = value
	c.observe(entry)
}
