package servicelevel

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/configuration"
	"peridotrail/internal/kvstore"
)

// Report says how fast the error budgets of all objectives burn, over all hosts.
type Report struct {
	Time       time.Time         `json:"time"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the burn of one objective.
type ObjectiveReport struct {
	Name       string         `json:"name"`
	Service    string         `json:"service,omitempty"`
	Account    string         `json:"account,omitempty"`
	Target     float64        `json:"target"`
	LatencyMS  float64        `json:"latencyMs,omitempty"`
	Windows    []WindowBurn   `json:"windows"`
	BudgetLeft float64        `json:"budgetLeft"` // share of the error budget of the window that is left; negative if overspent
	Alert      Alert          `json:"alert"`
	Points     []Point        `json:"points,omitempty"`  // by coarse bucket, for plots
	Domains    []DomainReport `json:"domains,omitempty"` // that have counted
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"` // 1 uses up the error budget exactly in the objective's window
	Counts
	minutes Minute
}

// Point is the burn of one period.
type Point struct {
	Start time.Time `json:"start"`
	Burn  float64   `json:"burn"`
	Total int64     `json:"total"`
}

// DomainReport says how far a failure domain's counts reach.
type DomainReport struct {
	FailureDomain string    `json:"failureDomain"`
	Through       time.Time `json:"through"`
}

// Alert is the urgency of a burn.
type Alert string

// Urgencies, by the usual rules of two windows each.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket" // the budget will be used up before the window ends
	AlertPage   Alert = "page"   // a large part of the budget is being used up within hours
)

// rule raises an alert when both windows burn at least at the given rate.
type rule struct {
	long  Minute
	short Minute
	burn  float64
	alert Alert
}

// Windows of reports, in minutes.
const (
	fiveMinutes Minute = 5
	halfHour    Minute = 30
	hour        Minute = 60
	sixHours    Minute = 6 * 60
	threeDays   Minute = 3 * 24 * 60
)

var rules = []rule{
	{long: hour, short: fiveMinutes, burn: 14.4, alert: AlertPage},
	{long: sixHours, short: halfHour, burn: 6, alert: AlertPage},
	{long: threeDays, short: sixHours, burn: 1, alert: AlertTicket},
}

// burnRate returns how many times faster than allowed the budget is used.
func burnRate(counts Counts, target float64) float64 {
	return counts.BadShare() / (1 - target)
}

// domainSeries is the series of one objective in one failure domain.
type domainSeries struct {
	domain string
	series *Series
}

// ReadReport reads the series of all failure domains and reports on the
// objectives of c.
func ReadReport(ctx context.Context, store kvstore.Store, c *configuration.Configuration, now time.Time) (*Report, error) {
	entries, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	series := map[string][]domainSeries{}
	for _, entry := range entries {
		domain, objective, ok := strings.Cut(strings.TrimPrefix(entry.Key, Prefix), "/")
		var s Series
		if !ok || cbor.Unmarshal(entry.Value, &s) != nil {
			continue // not a series of this version
		}
		series[objective] = append(series[objective], domainSeries{domain, &s})
	}
	report := &Report{Time: now, Objectives: []ObjectiveReport{}}
	for _, objective := range c.Objectives {
		report.Objectives = append(report.Objectives, reportOn(objective, series[objective.Name]))
	}
	return report, nil
}

func reportOn(objective configuration.Objective, domains []domainSeries) ObjectiveReport {
	r := ObjectiveReport{
		Name:      objective.Name,
		Service:   objective.Service,
		Account:   objective.Account,
		Target:    objective.Target,
		LatencyMS: float64(objective.Latency.Std()) / float64(time.Millisecond),
	}
	var all []*Series
	for _, d := range domains {
		all = append(all, d.series)
		r.Domains = append(r.Domains, DomainReport{FailureDomain: d.domain, Through: d.series.Through.Time()})
	}
	merged := Merge(all)
	window := Minute(objective.Window.Std() / time.Minute)
	for _, minutes := range windowsOf(window) {
		counts := merged.Sum(minutes)
		r.Windows = append(r.Windows, WindowBurn{
			Window:  windowName(minutes),
			Burn:    burnRate(counts, objective.Target),
			Counts:  counts,
			minutes: minutes,
		})
	}
	r.BudgetLeft = 1 - burnRate(merged.Sum(window), objective.Target)
	r.Alert = r.alert()
	for _, bucket := range merged.Coarse {
		r.Points = append(r.Points, Point{
			Start: bucket.Start.Time(),
			Burn:  burnRate(bucket.Counts, objective.Target),
			Total: bucket.Total,
		})
	}
	return r
}

// windowsOf returns the windows of a report, shortest first. None is longer than
// the objective's own.
func windowsOf(window Minute) []Minute {
	windows := []Minute{fiveMinutes, halfHour, hour, sixHours, threeDays, window}
	windows = slices.DeleteFunc(windows, func(minutes Minute) bool { return minutes > window })
	slices.Sort(windows)
	return slices.Compact(windows)
}

func windowName(minutes Minute) string {
	const day = 24 * hour
	switch {
	case minutes%day == 0:
		return fmt.Sprintf("%dd", minutes/day)
	case minutes%hour == 0:
		return fmt.Sprintf("%dh", minutes/hour)
	default:
		return fmt.Sprintf("%dm", minutes)
	}
}

func (r *ObjectiveReport) alert() Alert {
	for _, rule := range rules {
		if r.burnOver(rule.long) >= rule.burn && r.burnOver(rule.short) >= rule.burn {
			return rule.alert
		}
	}
	return AlertNone
}

func (r *ObjectiveReport) burnOver(minutes Minute) float64 {
	for _, w := range r.Windows {
		if w.minutes == minutes {
			return w.Burn
		}
	}
	return 0
}
