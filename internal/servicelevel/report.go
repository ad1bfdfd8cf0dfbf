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

// Report holds the burn rates and remaining error budgets of all objectives, over all hosts.
type Report struct {
	Time       time.Time         `json:"time"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport holds the burn rates of one objective.
type ObjectiveReport struct {
	Name       string         `json:"name"`
	Service    string         `json:"service,omitempty"`
	Account    string         `json:"account,omitempty"`
	Target     float64        `json:"target"`
	LatencyMS  float64        `json:"latencyMs,omitempty"`
	Windows    []WindowBurn   `json:"windows"`
	BudgetLeft float64        `json:"budgetLeft"` // fraction of the window's error budget that is left; negative if overspent
	Alert      Alert          `json:"alert"`
	Points     []Point        `json:"points,omitempty"`  // one for each coarse bucket, for charts
	Domains    []DomainReport `json:"domains,omitempty"` // failure domains that have stored counts
}

// WindowBurn is the burn rate over one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Burn   float64 `json:"burn"` // rate; 1 uses up the error budget exactly in the objective's window
	Counts
	minutes Minute
}

// Point is the burn rate of one period.
type Point struct {
	Start time.Time `json:"start"`
	Burn  float64   `json:"burn"`
	Total int64     `json:"total"`
}

// DomainReport names a failure domain and the last minute that its counts include.
type DomainReport struct {
	FailureDomain string    `json:"failureDomain"`
	Through       time.Time `json:"through"`
}

// Alert is the urgency of an objective's burn rates.
type Alert string

// Alerts, raised by multiwindow burn-rate rules.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket" // the budget will be used up before the window ends
	AlertPage   Alert = "page"   // a large fraction of the budget is being used up within hours
)

// alertRule raises an alert when the burn rate of both windows is at least minBurn.
type alertRule struct {
	longWindow  Minute
	shortWindow Minute
	minBurn     float64
	alert       Alert
}

// Windows of reports, in minutes.
const (
	fiveMinutes Minute = 5
	halfHour    Minute = 30
	hour        Minute = 60
	sixHours    Minute = 6 * 60
	threeDays   Minute = 3 * 24 * 60
)

// alertRules are in order of urgency; the first that matches decides.
var alertRules = []alertRule{
	{longWindow: hour, shortWindow: fiveMinutes, minBurn: 14.4, alert: AlertPage},
	{longWindow: sixHours, shortWindow: halfHour, minBurn: 6, alert: AlertPage},
	{longWindow: threeDays, shortWindow: sixHours, minBurn: 1, alert: AlertTicket},
}

// burnRate returns the fraction of bad requests divided by the fraction that the
// target allows.
func burnRate(counts Counts, target float64) float64 {
	return counts.BadFraction() / (1 - target)
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
		report.Objectives = append(report.Objectives, reportObjective(objective, series[objective.Name]))
	}
	return report, nil
}

// reportObjective merges the series of all failure domains into one report.
func reportObjective(objective configuration.Objective, domains []domainSeries) ObjectiveReport {
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
	for _, minutes := range reportWindows(window) {
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

// reportWindows returns the windows of a report, shortest first, without those longer
// than the objective's own window.
func reportWindows(window Minute) []Minute {
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
	for _, rule := range alertRules {
		if r.burnFor(rule.longWindow) >= rule.minBurn && r.burnFor(rule.shortWindow) >= rule.minBurn {
			return rule.alert
		}
	}
	return AlertNone
}

// burnFor returns the burn rate over a window, or 0 if the report lacks the window.
func (r *ObjectiveReport) burnFor(minutes Minute) float64 {
	for _, w := range r.Windows {
		if w.minutes == minutes {
			return w.Burn
		}
	}
	return 0
}
