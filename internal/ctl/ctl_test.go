package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/servicelevel"
)

const baseConfiguration = `{
	"regions": [{"name": "r"}],
	"failureDomains": [{"name": "east", "region": "r"}, {"name": "west", "region": "r"}],
	"clientAccounts": [{"name": "clinic", "rate": 10, "burst": 20}],
}`

// fixture is a configuration folder and a fake store.
type fixture struct {
	t     *testing.T
	dir   string
	store *store.Store
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, dir: t.TempDir(), store: store.New()}
	f.write("10-base.jsonc", baseConfiguration)
	return f
}

func (f *fixture) write(name, content string) {
	require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), []byte(content), 0o600))
}

func (f *fixture) read(name string) string {
	data, err := os.ReadFile(filepath.Join(f.dir, name))
	if os.IsNotExist(err) {
		return ""
	}
	require.NoError(f.t, err)
	return string(data)
}

// run executes one command line and checks its exit code.
func (f *fixture) run(wantCode int, args ...string) (stdout, stderr string) {
	f.t.Helper()
	var out, errOut bytes.Buffer
	app := &App{
		Stdout: &out, Stderr: &errOut, HTTP: http.DefaultClient, Now: time.Now, PollInterval: 10 * time.Millisecond,
		OpenStore: func([]string) kvstore.Store { return f.store },
	}
	code := app.Run(f.t.Context(), append([]string{"peridotrailctl", "--store", "http://store"}, args...))
	require.Equal(f.t, wantCode, code, "%v\n%s%s", args, out.String(), errOut.String())
	return out.String(), errOut.String()
}

func (f *fixture) stored() *configuration.Snapshot {
	s, err := configuration.NewRepository(configuration.RepositoryConfig{Store: f.store}).Load(context.Background())
	require.NoError(f.t, err)
	return s
}

// confirm writes a confirmation as the leader of a failure domain does.
func (f *fixture) confirm(domain string, c distribution.Confirmation) {
	value, err := json.Marshal(c)
	require.NoError(f.t, err)
	key := distribution.ConfirmationKey(domain)
	old, err := f.store.Get(f.t.Context(), key)
	require.NoError(f.t, err)
	_, err = f.store.CompareAndSwap(f.t.Context(), kvstore.Write{Key: key, Value: value, Expected: old.Revision})
	require.NoError(f.t, err)
}

func TestApplyIsIdempotentAndReportsConflicts(t *testing.T) {
	f := newFixture(t)
	out, _ := f.run(exitOK, "check", f.dir)
	require.Contains(t, out, "valid: 1 client accounts")
	out, _ = f.run(exitOK, "diff", f.dir)
	require.Contains(t, out, "+ regions r")
	f.run(exitOK, "apply", f.dir)
	out, _ = f.run(exitOK, "apply", f.dir, "--output", "json")
	var applied applyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &applied))
	require.Equal(t, configuration.Revision(1), applied.Revision)
	require.False(t, applied.Changed)
	f.run(exitOK, "diff", f.dir, "--exit-code")

	other := &fixture{t: t, dir: t.TempDir(), store: f.store}
	other.write("10-base.jsonc", strings.Replace(baseConfiguration, `"burst": 20`, `"burst": 40`, 1))
	_, stderr := other.run(exitConflict, "apply", other.dir)
	require.Contains(t, stderr, "revision 1 is in the store, but the change is based on revision 0")
	require.Contains(t, stderr, "~ clientAccounts clinic")
	require.Equal(t, 20, f.stored().Account("clinic").Burst, "a conflict leaves the stored configuration unchanged")
	other.run(exitOK, "diff", other.dir, "--seen")
	other.run(exitOK, "apply", other.dir)

	f.write("20-more.jsonc", `{"regions": [{"name": "s"}]}`)
	_, stderr = f.run(exitConflict, "--output", "json", "apply", f.dir)
	var failure errorOutput
	require.NoError(t, json.Unmarshal([]byte(stderr), &failure))
	require.Equal(t, "conflict", failure.Kind)
	require.Equal(t, configuration.Revision(2), failure.Current)
	require.Len(t, failure.Difference.Changes, 2)
}

func TestExitCodesOfRejectedCommands(t *testing.T) {
	f := newFixture(t)
	f.write("20-bad.jsonc", "{\n\"clientAccounts\": [{\"name\": \"x\", \"rate\": -1, \"burst\": 0}]\n}")
	_, stderr := f.run(exitInvalid, "check", f.dir)
	require.Contains(t, stderr, "20-bad.jsonc:2: clientAccounts[0].rate: ")
	require.Contains(t, stderr, "20-bad.jsonc:2: clientAccounts[0].burst: ")
	f.run(exitInvalid, "apply", f.dir)
	require.Nil(t, f.stored())

	f.run(exitUsage, "apply")
	f.run(exitUsage, "apply", f.dir, "--no-such-flag")
	f.run(exitUsage, "no-such-command")
	f.run(exitUsage, "--output", "yaml", "check", f.dir)
	f.run(exitUsage, "drain", "start", f.dir, "d")
	f.run(exitFailure, "check", filepath.Join(f.dir, "missing"))
	f.run(exitUsage, "lookup", "desk")

	require.NoError(t, os.Remove(filepath.Join(f.dir, "20-bad.jsonc")))
	f.store.SetDown(true)
	f.run(exitStore, "apply", f.dir, "--timeout", "50ms")
}

func TestApplyAboveLostRevisions(t *testing.T) {
	f := newFixture(t)
	f.run(exitOK, "apply", f.dir)
	f.store = store.New()
	_, stderr := f.run(exitConflict, "apply", f.dir)
	require.Contains(t, stderr, "revision 0 is in the store, but the change is based on revision 1")
	f.run(exitOK, "diff", f.dir, "--seen")
	f.run(exitOK, "apply", f.dir, "--above", "41")
	require.Equal(t, configuration.Revision(42), f.stored().Revision)
	f.run(exitOK, "key", "grant", f.dir, "clinic", "k")
	require.Equal(t, configuration.Revision(43), f.stored().Revision)
}

func TestGrantAndWithdrawKeys(t *testing.T) {
	f := newFixture(t)
	out, _ := f.run(exitOK, "key", "grant", f.dir, "clinic", "k1", "-o", "json")
	var granted keyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &granted))
	account, id, ok := f.stored().KeyOwner(sha256.Sum256([]byte(granted.Key)))
	require.Equal(t, []any{"clinic", "k1", true}, []any{account, id, ok})
	require.NotContains(t, f.read(grantedKeysFile.name), granted.Key, "only the digest is written")

	f.run(exitOK, "key", "withdraw", f.dir, "clinic", "k1")
	require.True(t, f.stored().KeyWithdrawn(sha256.Sum256([]byte(granted.Key))))
	f.run(exitOK, "apply", f.dir)
	require.True(t, f.stored().KeyWithdrawn(sha256.Sum256([]byte(granted.Key))), "a later apply does not undo it")

	before := f.read(withdrawnKeysFile.name)
	f.run(exitInvalid, "key", "withdraw", f.dir, "clinic", "no-such-key")
	require.Equal(t, before, f.read(withdrawnKeysFile.name), "a rejected change leaves the file unchanged")
	out, _ = f.run(exitInvalid, "key", "grant", f.dir, "nobody", "k")
	require.Empty(t, out, "no key is printed if the grant is rejected")
}

func TestStartAndEndDrainsAndShifts(t *testing.T) {
	f := newFixture(t)
	f.write(drainsFile.name, "// Agreed with the data center.\n{\"drains\": []}\n")
	f.run(exitOK, "drain", "start", f.dir, "maintenance", "--kind", "failure-domain", "--target", "east", "--at", "2026-12-03T21:00:00Z")
	f.run(exitOK, "drain", "start", f.dir, "host", "--kind", "host", "--target", "east-1")
	f.run(exitOK, "shift", "start", f.dir, "move", "--from", "east", "--to", "west", "--share", "0.5", "--cap", "0.1", "--interval", "1m")
	stored := f.stored()
	require.Equal(t, time.Date(2026, 12, 3, 21, 0, 0, 0, time.UTC), stored.Drains[0].Start.UTC())
	require.True(t, stored.Drains[1].Start.IsZero())
	require.Equal(t, configuration.Shift{Name: "move", From: "east", To: "west", Share: 0.5, Cap: 0.1, Interval: configuration.Duration(time.Minute)}, stored.Shifts[0])
	f.run(exitInvalid, "shift", "start", f.dir, "again", "--from", "east", "--to", "west", "--share", "0.6", "--cap", "0.1", "--interval", "1m")
	f.run(exitOK, "drain", "end", f.dir, "maintenance")
	require.Contains(t, f.read(drainsFile.name), "Agreed with the data center.")
	require.Len(t, f.stored().Drains, 1)
	_, stderr := f.run(exitFailure, "drain", "end", f.dir, "maintenance")
	require.Contains(t, stderr, "82-drains.jsonc: has no entry \"maintenance\"")
	f.run(exitOK, "shift", "end", f.dir, "move")
	require.Empty(t, f.stored().Shifts)
}

func TestWaitReportsUnconfirmedHosts(t *testing.T) {
	f := newFixture(t)
	f.store.SetHosts([]kvstore.HostRecord{
		{Name: "e1", FailureDomain: "east"}, {Name: "e2", FailureDomain: "east"},
		{Name: "w1", FailureDomain: "west"}, {Name: "w2", FailureDomain: "west", Leaving: true},
	})
	confirm := f.confirm
	_, stderr := f.run(exitUnconfirmed, "apply", f.dir, "--wait", "--timeout", "100ms")
	require.Contains(t, stderr, "failure domain east has confirmed revision 0; waiting for hosts: e1, e2")
	require.Contains(t, stderr, "failure domain west has confirmed revision 0; waiting for hosts: w1\n")
	confirm("east", distribution.Confirmation{Revision: 1})
	confirm("west", distribution.Confirmation{Revision: 1})
	out, _ := f.run(exitOK, "apply", f.dir, "--wait")
	require.Contains(t, out, "revision 1 in force on every live host")

	f.write("20-more.jsonc", `{"regions": [{"name": "s"}]}`)
	confirm("east", distribution.Confirmation{Revision: 2})
	confirm("west", distribution.Confirmation{Revision: 1, Lagging: []host.ID{"w1"}})
	_, stderr = f.run(exitUnconfirmed, "apply", f.dir, "--wait", "--timeout", "100ms")
	require.NotContains(t, stderr, "east")
	require.Contains(t, stderr, "failure domain west has confirmed revision 1; waiting for hosts: w1\n")
}

func TestLookupAndStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case api.LookupPath:
			if r.URL.Query().Get(api.ServiceParameter) != "desk" {
				w.WriteHeader(http.StatusNotFound)
				_, _ = w.Write([]byte(`{"title": "Not found", "detail": "no service"}`))
				return
			}
			require.Equal(t, "192.0.2.1", r.URL.Query().Get(api.ClientParameter))
			_ = json.NewEncoder(w).Encode(api.LookupResponse{Service: "desk", Revision: 3, Hosts: []api.EntryHost{{ID: "e1", FailureDomain: "east"}}})
		case api.StatusPath:
			_ = json.NewEncoder(w).Encode(api.StatusResponse{Host: "e1", Revision: 3,
				Members: []api.Member{{ID: "e1", FailureDomain: "east", State: "live", Revision: 3}},
				Shifts:  []api.ShiftProgress{{Name: "move", Moved: 0.2, Goal: 0.5}}})
		}
	}))
	defer server.Close()
	f := newFixture(t)
	out, _ := f.run(exitOK, "lookup", "desk", "--client", "192.0.2.1", "--host", "http://127.0.0.1:1", "--host", server.URL)
	require.Contains(t, out, "e1")
	_, stderr := f.run(exitHost, "lookup", "other", "--host", server.URL)
	require.Contains(t, stderr, "404 Not Found: Not found: no service")
	out, _ = f.run(exitOK, "status", "--host", server.URL)
	require.Contains(t, out, "host e1")
	require.Contains(t, out, "20.0%")
	require.NotContains(t, out, "CONFIRMED")

	f.confirm("east", distribution.Confirmation{Revision: 2, Leader: "e1", Epoch: 4, Hosts: 3, Lagging: []host.ID{"e2"}})
	out, _ = f.run(exitOK, "status", "--host", server.URL)
	require.Regexp(t, `east +2 +3 +e1 +4 +e2`, out)
	f.store.SetDown(true)
	out, _ = f.run(exitOK, "status", "--host", server.URL)
	require.Contains(t, out, "confirmed revisions are unknown: ")
}

func TestReportBurn(t *testing.T) {
	f := newFixture(t)
	out, _ := f.run(exitOK, "report", "burn")
	require.Contains(t, out, "no objectives")
	f.write("20-objectives.jsonc", `{"objectives": [{"name": "clinics", "account": "clinic", "target": 0.99, "window": "672h"}]}`)
	f.run(exitOK, "apply", f.dir)
	page := filepath.Join(t.TempDir(), "burn.html")
	out, _ = f.run(exitOK, "report", "burn", "--html", page)
	require.Contains(t, out, "clinics    none   100.0%")
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(content), "clinics")
	out, _ = f.run(exitOK, "report", "burn", "-o", "json")
	var report servicelevel.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Len(t, report.Objectives[0].Windows, 6)
}
