// Package servicelevel counts requests against service-level objectives, merges
// the counts of all hosts and reports how fast error budgets burn.
//
// Each host counts requests in buckets of one minute. The leader of a failure domain
// collects the closed minutes of its hosts and keeps one series for each objective in
// the platform's store, so that hosts need no storage of their own.
package servicelevel

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/task"
)

// KindCollect is the kind of the request with which a domain leader collects counts.
const KindCollect fleet.Kind = "servicelevel.collect"

// CollectRequest requests the counts of minutes after From, up to and including Through.
type CollectRequest struct {
	From    Minute `cbor:"1,keyasint"`
	Through Minute `cbor:"2,keyasint"`
}

// CollectReply holds the counts of one host.
type CollectReply struct {
	Objectives []ObjectiveCounts `cbor:"1,keyasint,omitempty"`
}

// ObjectiveCounts holds the counts of one objective by the minute.
type ObjectiveCounts struct {
	Objective string   `cbor:"1,keyasint"`
	Buckets   []Bucket `cbor:"2,keyasint"`
}

// Leadership reports whether this host leads its failure domain.
type Leadership interface {
	// Leading returns the fencing epoch while this host is the leader.
	Leading() (epoch uint64, ok bool)
}

// Config holds the dependencies of a Tracker.
type Config struct {
	Self       host.Identity
	Store      kvstore.Store
	Caller     fleet.Caller
	Registry   fleet.Registry
	View       host.View
	Leadership Leadership
	InForce    *configuration.InForce
	Logger     log.Logger       // nil logs nothing
	Metrics    metrics.Registry // nil uses a private registry
}

// Intervals and timeouts of the collection.
const (
	collectPeriod     = time.Minute
	closeDelayMinutes = 2               // a minute is closed, and collected, when it is older
	writePeriod       = 2 * time.Minute // between writes of a series; a new leader writes at once
	callTimeout       = 2 * time.Second
	storeTimeout      = 5 * time.Second
)

// Tracker counts requests on this host, and collects the counts of the failure domain
// while this host leads it.
type Tracker struct {
	config        Config
	recorder      *recorder
	collector     collector
	missedHosts   metrics.Counter
	storeFailures metrics.Counter
}

// New returns a tracker and registers its message handler.
func New(config Config) *Tracker {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	t := &Tracker{
		config:        config,
		recorder:      newRecorder(),
		missedHosts:   metrics.GetOrRegisterCounter("servicelevel.collect.missed", config.Metrics),
		storeFailures: metrics.GetOrRegisterCounter("servicelevel.store.failures", config.Metrics),
	}
	config.Registry.Handle(KindCollect, t.handleCollect)
	return t
}

// Record counts one request. It is safe for concurrent use and never blocks on I/O.
func (t *Tracker) Record(o Outcome) { t.recorder.record(o, time.Now()) }

// Run applies changes of the objectives and collects counts until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	group := task.NewGroup(ctx, task.GroupOptions{Logger: t.config.Logger, Metrics: t.config.Metrics})
	group.GoUnwatched("servicelevel.objectives", t.followObjectives)
	group.GoUnwatched("servicelevel.collect", t.runCollect)
	return group.Wait()
}

func (t *Tracker) followObjectives(ctx context.Context) error {
	subscription := t.config.InForce.Subscribe()
	defer subscription.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed():
			t.recorder.update(t.config.InForce.Current().Objectives)
		}
	}
}

func (t *Tracker) handleCollect(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
	var request CollectRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return t.localCounts(request.From, request.Through), nil
}

// localCounts returns the counts of this host.
func (t *Tracker) localCounts(from, through Minute) CollectReply {
	var reply CollectReply
	for name, c := range t.recorder.table.Load().byName {
		if buckets := c.bucketsBetween(from, through); len(buckets) > 0 {
			reply.Objectives = append(reply.Objectives, ObjectiveCounts{Objective: name, Buckets: buckets})
		}
	}
	return reply
}

// LocalBurn returns the burn rates of this host alone, over five minutes and an hour.
func (t *Tracker) LocalBurn(now time.Time) []api.BurnRate {
	snapshot := t.config.InForce.Current()
	if snapshot == nil {
		return nil
	}
	through := MinuteOf(now)
	table := t.recorder.table.Load()
	var burns []api.BurnRate
	for _, objective := range snapshot.Objectives {
		c := table.byName[objective.Name]
		if c == nil {
			continue
		}
		series := NewSeries(time.Hour, through-retentionMinutes)
		series.Add(c.bucketsBetween(through-retentionMinutes, through), through)
		burns = append(burns, api.BurnRate{
			Objective:   objective.Name,
			ShortWindow: burnRate(series.Sum(5), objective.Target),
			LongWindow:  burnRate(series.Sum(retentionMinutes), objective.Target),
		})
	}
	return burns
}

// requestCounts requests the counts of one host.
func (t *Tracker) requestCounts(ctx context.Context, addr netip.AddrPort, request CollectRequest) (CollectReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply CollectReply
	err := t.config.Caller.Call(ctx, addr, KindCollect, request, &reply)
	return reply, err
}

func (t *Tracker) warn(message, key string, err error) {
	_ = level.Warn(t.config.Logger).Log("msg", message, "key", key, "err", err)
}
