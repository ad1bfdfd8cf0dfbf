package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Report holds the results of all policies for one scenario.
type Report struct {
	Deployment string   `json:"deployment"`
	Scenario   string   `json:"scenario"`
	Seed       uint64   `json:"seed"`
	Results    []Result `json:"results"`
}

// Result holds the measures of one policy. Fractions are from 0 to 1.
type Result struct {
	Policy             string  `json:"policy"`
	LatencyP50         float64 `json:"latency_p50_ms"`
	LatencyP99         float64 `json:"latency_p99_ms"`
	HeadroomMin        float64 `json:"headroom_min"`
	DrainSeconds       float64 `json:"drain_seconds"`
	LastNewRequest     float64 `json:"drain_last_new_request_seconds"`
	WorstAccountServed float64 `json:"worst_account_served"`
	WrongfulRefusals   float64 `json:"wrongful_refusals"`
	DoubledRuns        int     `json:"doubled_runs"`
	FailedRequests     int     `json:"cut_requests"`
	Refused            int     `json:"refused"`
	RegionOverCapacity float64 `json:"region_over_capacity"`

	accounts map[string]*accountTally // by name of the client account
}

// print prints the results as a table, and a second one by client account if
// withAccounts is set.
func (r *Report) print(w io.Writer, withAccounts bool) {
	fmt.Fprintf(w, "%s, %s, seed %d\n", r.Deployment, r.Scenario, r.Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tp50 ms\tp99 ms\theadroom\tdrain s\tlast new s\tworst account\twrongful\tdoubled\tcut\trefused\tover capacity")
	for _, result := range r.Results {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.3f\t%.2f\t%.2f\t%.4f\t%.4f\t%d\t%d\t%d\t%.3f\n",
			result.Policy, result.LatencyP50, result.LatencyP99, result.HeadroomMin, result.DrainSeconds, result.LastNewRequest,
			result.WorstAccountServed, result.WrongfulRefusals, result.DoubledRuns, result.FailedRequests, result.Refused, result.RegionOverCapacity)
	}
	_ = table.Flush() // standard output
	if withAccounts {
		r.printAccounts(w)
	}
}

func (r *Report) printAccounts(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\taccount\toffered\tinside\tserved\tlimited\trefused\tlate\tcut\tp99 ms")
	for _, result := range r.Results {
		names := slices.Sorted(maps.Keys(result.accounts))
		for _, name := range names {
			a := result.accounts[name]
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\n", result.Policy, name, a.offered, a.withinRate,
				a.served, a.rateRefused, a.refused, a.late, a.failed, float64(a.latency.ValueAtQuantile(99))/1000)
		}
	}
	_ = table.Flush() // standard output
}
