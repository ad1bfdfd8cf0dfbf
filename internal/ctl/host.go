package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
	"peridotrail/internal/problem"
)

const maxResponseBytes = 64 << 20

// fetch requests path from the hosts of --host in their order until one responds
// with 200, and decodes its JSON into target. If none does, it returns the
// *HostError of the last one.
func (a *App) fetch(ctx context.Context, c *cli.Command, path string, query url.Values, target any) error {
	hosts := c.StringSlice(flagHost)
	if len(hosts) == 0 {
		return &UsageError{Detail: "no entry host given: use --host or PERIDOTRAIL_HOST"}
	}
	var lastErr error
	for _, baseURL := range hosts {
		address := strings.TrimSuffix(baseURL, "/") + path
		if len(query) > 0 {
			address += "?" + query.Encode()
		}
		lastErr = a.fetchFrom(ctx, address, target)
		if lastErr == nil {
			return nil
		}
	}
	return lastErr
}

func (a *App) fetchFrom(ctx context.Context, address string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	response, err := a.HTTP.Do(request)
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return &HostError{URL: address, Status: response.StatusCode, Detail: problemDetail(body)}
	}
	if err := json.Unmarshal(body, target); err != nil {
		return &HostError{URL: address, Status: response.StatusCode, Detail: "the response body is not the expected JSON", Err: err}
	}
	return nil
}

// problemDetail returns the title and detail of a problem document (RFC 9457).
func problemDetail(body []byte) string {
	var p problem.Problem
	if json.Unmarshal(body, &p) != nil || p.Title == "" {
		return "no details"
	}
	return strings.TrimSuffix(p.Title+": "+p.Detail, ": ")
}

func (a *App) lookupCommand() *cli.Command {
	return &cli.Command{
		Name:      "lookup",
		Usage:     "show the entry hosts that a look-up returns to a caller",
		ArgsUsage: "SERVICE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagClient, Usage: "`IP` address of the caller; this machine's if absent"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the whole command"},
		},
		Action: a.lookup,
	}
}

func (a *App) lookup(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "SERVICE")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	query := url.Values{api.ServiceParameter: {args[0]}}
	if client := c.String(flagClient); client != "" {
		query.Set(api.ClientParameter, client)
	}
	var response api.LookupResponse
	if err := a.fetch(ctx, c, api.LookupPath, query, &response); err != nil {
		return err
	}
	return a.print(selectedFormat(c), response, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "service %s, revision %d\n", response.Service, response.Revision)
		rows := [][]any{{"HOST", "ADDRESS", "FAILURE DOMAIN", "REGION"}}
		for _, h := range response.Hosts {
			rows = append(rows, []any{h.ID, h.Address, h.FailureDomain, h.Region})
		}
		tabulate(w, rows...)
	})
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the fleet: members, revisions, leaders, drains and shifts",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagWatch, Usage: "repeat until interrupted"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of one request"},
		},
		Action: a.status,
	}
}

func (a *App) status(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	for {
		if err := a.showStatus(ctx, c); err != nil {
			return err
		}
		if !c.Bool(flagWatch) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(a.PollInterval):
		}
	}
}

func (a *App) showStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	var response api.StatusResponse
	if err := a.fetch(ctx, c, api.StatusPath, nil, &response); err != nil {
		return err
	}
	output := statusOutput{StatusResponse: response}
	output.Confirmed, output.StoreError = a.confirmedDomains(ctx, c)
	return a.print(selectedFormat(c), output, func(w io.Writer) {
		writeStatusTables(w, response)
		output.writeConfirmedTable(w)
	})
}

// statusOutput is the output of status.
type statusOutput struct {
	api.StatusResponse
	Confirmed  []confirmedDomain `json:"confirmed,omitempty"`  // read from the store, if one is given
	StoreError string            `json:"storeError,omitempty"` // why Confirmed is absent
}

// confirmedDomain is the confirmation that a domain leader has written to the
// store.
type confirmedDomain struct {
	FailureDomain string `json:"failureDomain"`
	distribution.Confirmation
}

// confirmedDomains reads the confirmations, sorted by failure domain, if a store is
// given. It returns an error as text, because status also works without the store.
func (a *App) confirmedDomains(ctx context.Context, c *cli.Command) ([]confirmedDomain, string) {
	if len(c.StringSlice(flagStore)) == 0 {
		return nil, ""
	}
	store, err := a.store(c)
	if err != nil {
		return nil, err.Error()
	}
	entries, err := store.List(ctx, distribution.ConfirmationPrefix)
	if err != nil {
		return nil, err.Error()
	}
	var domains []confirmedDomain
	for domain, confirmation := range readConfirmations(entries) {
		domains = append(domains, confirmedDomain{domain, confirmation})
	}
	slices.SortFunc(domains, func(x, y confirmedDomain) int { return strings.Compare(x.FailureDomain, y.FailureDomain) })
	return domains, ""
}

func (s statusOutput) writeConfirmedTable(w io.Writer) {
	if s.StoreError != "" {
		_, _ = fmt.Fprintf(w, "\nconfirmed revisions are unknown: %s\n", s.StoreError)
	}
	writeSection(w, "CONFIRMED (in force on every live host, from the store)",
		[]any{"FAILURE DOMAIN", "REVISION", "HOSTS", "LEADER", "EPOCH", "LAGGING"}, s.Confirmed,
		func(d confirmedDomain) []any {
			return []any{d.FailureDomain, d.Revision, d.Hosts, d.Leader, d.Epoch, formatLagging(d.Lagging)}
		})
}

func formatLagging(hosts []host.ID) string {
	if len(hosts) == 0 {
		return "-"
	}
	return joinHosts(hosts)
}

// writeStatusTables writes the status as a series of tables.
func writeStatusTables(w io.Writer, s api.StatusResponse) {
	_, _ = fmt.Fprintf(w, "host %s at %s, revision %d\n", s.Host, s.Time.Format(time.RFC3339), s.Revision)
	writeSection(w, "MEMBERS", []any{"HOST", "FAILURE DOMAIN", "REGION", "STATE", "REVISION"}, s.Members, func(m api.Member) []any {
		return []any{m.ID, m.FailureDomain, m.Region, m.State, formatRevision(m.Revision)}
	})
	writeSection(w, "LEADERS", []any{"FAILURE DOMAIN", "HOST", "EPOCH"}, s.Leaders, func(l api.Leader) []any {
		return []any{l.FailureDomain, l.Host, l.Epoch}
	})
	writeSection(w, "CLIENT ACCOUNTS (share of this host)", []any{"ACCOUNT", "RATE/S", "BURST", "TOKENS", "ADMITTED", "REFUSED"}, s.Accounts, func(x api.AccountShare) []any {
		return []any{x.Account, formatNumber(x.Rate), formatNumber(x.Burst), formatNumber(x.Tokens), x.Admitted, x.Refused}
	})
	writeSection(w, "UPSTREAMS (share of this host)", []any{"UPSTREAM", "SERVICE", "HEALTHY", "SLOTS", "IN USE", "QUEUED"}, s.Upstreams, func(u api.UpstreamUsage) []any {
		return []any{u.Upstream, u.Service, u.Healthy, u.Slots, u.InUse, u.Queued}
	})
	writeSection(w, "DRAINS", []any{"NAME", "KIND", "TARGET", "REQUESTS LEFT"}, s.Drains, func(d api.DrainProgress) []any {
		return []any{d.Name, d.Kind, d.Target, d.RemainingRequests}
	})
	writeSection(w, "SHIFTS", []any{"NAME", "FROM", "TO", "MOVED", "GOAL"}, s.Shifts, func(x api.ShiftProgress) []any {
		return []any{x.Name, x.From, x.To, formatPercent(x.Moved), formatPercent(x.Goal)}
	})
	writeSection(w, "BURN (1.00 uses up the error budget exactly)", []any{"OBJECTIVE", "SHORT WINDOW", "WHOLE WINDOW"}, s.BurnRates, func(b api.BurnRate) []any {
		return []any{b.Objective, fmt.Sprintf("%.2f", b.ShortWindow), fmt.Sprintf("%.2f", b.LongWindow)}
	})
}

// writeSection writes a titled table, or nothing if there are no entries.
func writeSection[T any](w io.Writer, title string, header []any, entries []T, row func(T) []any) {
	if len(entries) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", title)
	rows := [][]any{header}
	for _, entry := range entries {
		rows = append(rows, row(entry))
	}
	tabulate(w, rows...)
}

func formatNumber(value float64) string { return fmt.Sprintf("%.4g", value) }

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// formatRevision formats the revision of a member; it is 0 if the responding host
// doesn't know it.
func formatRevision(revision configuration.Revision) string {
	if revision == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(revision), 10)
}
