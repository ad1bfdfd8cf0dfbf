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

const maxAnswerBytes = 64 << 20

// fetch requests path from the first host that answers and decodes the answer.
func (a *App) fetch(ctx context.Context, c *cli.Command, path string, query url.Values, into any) error {
	hosts := c.StringSlice(flagHost)
	if len(hosts) == 0 {
		return &UsageError{Detail: "name an entry host with --host or PERIDOTRAIL_HOST"}
	}
	var last error
	for _, base := range hosts {
		address := strings.TrimSuffix(base, "/") + path
		if len(query) > 0 {
			address += "?" + query.Encode()
		}
		last = a.fetchFrom(ctx, address, into)
		if last == nil {
			return nil
		}
	}
	return last
}

func (a *App) fetchFrom(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	response, err := a.HTTP.Do(request)
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &HostError{URL: address, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return &HostError{URL: address, Status: response.StatusCode, Detail: problemDetail(body)}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &HostError{URL: address, Status: response.StatusCode, Detail: "the answer is not of this API", Err: err}
	}
	return nil
}

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
		Usage:     "show which entry hosts a caller is told to use",
		ArgsUsage: "SERVICE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagClient, Usage: "`IP` address of the caller; this machine's if absent"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound of the whole command"},
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
	var answer api.LookupResponse
	if err := a.fetch(ctx, c, api.LookupPath, query, &answer); err != nil {
		return err
	}
	return a.print(outputOf(c), answer, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "service %s, revision %d\n", answer.Service, answer.Revision)
		rows := [][]any{{"HOST", "ADDRESS", "FAILURE DOMAIN", "REGION"}}
		for _, h := range answer.Hosts {
			rows = append(rows, []any{h.ID, h.Address, h.FailureDomain, h.Region})
		}
		tabulate(w, rows...)
	})
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show who is live, which revision is where, who leads and what moves",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagWatch, Usage: "show the status again until interrupted"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound of one request"},
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
		case <-time.After(a.Pause):
		}
	}
}

func (a *App) showStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	var answer api.StatusResponse
	if err := a.fetch(ctx, c, api.StatusPath, nil, &answer); err != nil {
		return err
	}
	full := statusOutput{StatusResponse: answer}
	full.Confirmed, full.StoreError = a.confirmed(ctx, c)
	return a.print(outputOf(c), full, func(w io.Writer) {
		statusTable(w, answer)
		full.confirmedTable(w)
	})
}

// statusOutput is the answer of status.
type statusOutput struct {
	api.StatusResponse
	Confirmed  []confirmedDomain `json:"confirmed,omitempty"`  // from the store, if one is named
	StoreError string            `json:"storeError,omitempty"` // why Confirmed is absent
}

// confirmedDomain is what the leader of a failure domain has confirmed.
type confirmedDomain struct {
	FailureDomain string `json:"failureDomain"`
	distribution.Confirmation
}

// confirmed reads the confirmations if a store is named. A store that cannot be
// reached does not make status fail.
func (a *App) confirmed(ctx context.Context, c *cli.Command) ([]confirmedDomain, string) {
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

func (s statusOutput) confirmedTable(w io.Writer) {
	if s.StoreError != "" {
		_, _ = fmt.Fprintf(w, "\nconfirmed revisions are not known: %s\n", s.StoreError)
	}
	section(w, "CONFIRMED (in force on every live host, from the store)",
		[]any{"FAILURE DOMAIN", "REVISION", "HOSTS", "LEADER", "EPOCH", "LAGGING"}, s.Confirmed,
		func(d confirmedDomain) []any {
			return []any{d.FailureDomain, d.Revision, d.Hosts, d.Leader, d.Epoch, lagging(d.Lagging)}
		})
}

func lagging(hosts []host.ID) string {
	if len(hosts) == 0 {
		return "-"
	}
	return joinHosts(hosts)
}

// statusTable writes the status as one screen.
func statusTable(w io.Writer, s api.StatusResponse) {
	_, _ = fmt.Fprintf(w, "host %s at %s, revision %d\n", s.Host, s.Time.Format(time.RFC3339), s.Revision)
	section(w, "MEMBERS", []any{"HOST", "FAILURE DOMAIN", "REGION", "STATE", "REVISION"}, s.Members, func(m api.Member) []any {
		return []any{m.ID, m.FailureDomain, m.Region, m.State, revisionText(m.Revision)}
	})
	section(w, "LEADERS", []any{"FAILURE DOMAIN", "HOST", "EPOCH"}, s.Leaders, func(l api.Leader) []any {
		return []any{l.FailureDomain, l.Host, l.Epoch}
	})
	section(w, "CLIENT ACCOUNTS (share of this host)", []any{"ACCOUNT", "RATE/S", "BURST", "TOKENS", "ADMITTED", "REFUSED"}, s.Accounts, func(x api.AccountShare) []any {
		return []any{x.Account, number(x.Rate), number(x.Burst), number(x.Tokens), x.Admitted, x.Refused}
	})
	section(w, "UPSTREAMS (share of this host)", []any{"UPSTREAM", "SERVICE", "HEALTHY", "SLOTS", "IN USE", "QUEUED"}, s.Upstreams, func(u api.UpstreamUsage) []any {
		return []any{u.Upstream, u.Service, u.Healthy, u.Slots, u.InUse, u.Queued}
	})
	section(w, "DRAINS", []any{"NAME", "KIND", "TARGET", "REQUESTS LEFT"}, s.Drains, func(d api.DrainProgress) []any {
		return []any{d.Name, d.Kind, d.Target, d.RemainingRequests}
	})
	section(w, "SHIFTS", []any{"NAME", "FROM", "TO", "MOVED", "GOAL"}, s.Shifts, func(x api.ShiftProgress) []any {
		return []any{x.Name, x.From, x.To, percent(x.Moved), percent(x.Goal)}
	})
	section(w, "BURN (1.00 uses up the error budget exactly)", []any{"OBJECTIVE", "SHORT WINDOW", "WHOLE WINDOW"}, s.BurnRates, func(b api.BurnRate) []any {
		return []any{b.Objective, fmt.Sprintf("%.2f", b.ShortWindow), fmt.Sprintf("%.2f", b.LongWindow)}
	})
}

func section[T any](w io.Writer, title string, header []any, entries []T, row func(T) []any) {
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

func number(value float64) string { return fmt.Sprintf("%.4g", value) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

// revisionText shows the revision of a member; the answering host does not know
// it for all.
func revisionText(revision configuration.Revision) string {
	if revision == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(revision), 10)
}
