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

// bench is an operator with a folder and a store.
type bench struct {
	t     *testing.T
	dir   string
	store *store.Store
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, dir: t.TempDir(), store: store.New()}
	b.write("10-base.jsonc", baseConfiguration)
	return b
}

func (b *bench) write(name, content string) {
	require.NoError(b.t, os.WriteFile(filepath.Join(b.dir, name), []byte(content), 0o600))
}

func (b *bench) read(name string) string {
	data, err := os.ReadFile(filepath.Join(b.dir, name))
	if os.IsNotExist(err) {
		return ""
	}
	require.NoError(b.t, err)
	return string(data)
}

// run executes one command line and checks its exit code.
func (b *bench) run(code int, args ...string) (stdout, stderr string) {
	b.t.Helper()
	var out, errOut bytes.Buffer
	app := &App{
		Stdout: &out, Stderr: &errOut, HTTP: http.DefaultClient, Now: time.Now, Pause: 10 * time.Millisecond,
		OpenStore: func([]string) kvstore.Store { return b.store },
	}
	got := app.Run(b.t.Context(), append([]string{"peridotrailctl", "--store", "http://store"}, args...))
	require.Equal(b.t, code, got, "%v\n%s%s", args, out.String(), errOut.String())
	return out.String(), errOut.String()
}

func (b *bench) stored() *configuration.Snapshot {
	s, err := configuration.NewRepository(configuration.RepositoryConfig{Store: b.store}).Load(context.Background())
	require.NoError(b.t, err)
	return s
}

// confirm writes what the leader of a failure domain would.
func (b *bench) confirm(domain string, c distribution.Confirmation) {
	value, err := json.Marshal(c)
	require.NoError(b.t, err)
	key := distribution.ConfirmationKey(domain)
	old, err := b.store.Get(b.t.Context(), key)
	require.NoError(b.t, err)
	_, err = b.store.CompareAndSwap(b.t.Context(), kvstore.Write{Key: key, Value: value, Expected: old.Revision})
	require.NoError(b.t, err)
}

func TestFolderIsAppliedOnceAndConflictsAreNamed(t *testing.T) {
	b := newBench(t)
	out, _ := b.run(exitOK, "check", b.dir)
	require.Contains(t, out, "valid: 1 client accounts")
	out, _ = b.run(exitOK, "diff", b.dir)
	require.Contains(t, out, "+ regions r")
	b.run(exitOK, "apply", b.dir)
	out, _ = b.run(exitOK, "apply", b.dir, "--output", "json")
	var applied applyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &applied))
	require.Equal(t, configuration.Revision(1), applied.Revision)
	require.False(t, applied.Changed)
	b.run(exitOK, "diff", b.dir, "--exit-code")

	other := &bench{t: t, dir: t.TempDir(), store: b.store}
	other.write("10-base.jsonc", strings.Replace(baseConfiguration, `"burst": 20`, `"burst": 40`, 1))
	_, stderr := other.run(exitConflict, "apply", other.dir)
	require.Contains(t, stderr, "revision 1 is in the store, but the change is based on revision 0")
	require.Contains(t, stderr, "~ clientAccounts clinic")
	require.Equal(t, 20, b.stored().Account("clinic").Burst, "what was in force stays")
	other.run(exitOK, "diff", other.dir, "--seen")
	other.run(exitOK, "apply", other.dir)

	b.write("20-more.jsonc", `{"regions": [{"name": "s"}]}`)
	_, stderr = b.run(exitConflict, "--output", "json", "apply", b.dir)
	var failure errorOutput
	require.NoError(t, json.Unmarshal([]byte(stderr), &failure))
	require.Equal(t, "conflict", failure.Kind)
	require.Equal(t, configuration.Revision(2), failure.Current)
	require.Len(t, failure.Difference.Changes, 2)
}

func TestRefusals(t *testing.T) {
	b := newBench(t)
	b.write("20-bad.jsonc", "{\n\"clientAccounts\": [{\"name\": \"x\", \"rate\": -1, \"burst\": 0}]\n}")
	_, stderr := b.run(exitInvalid, "check", b.dir)
	require.Contains(t, stderr, "20-bad.jsonc:2: clientAccounts[0].rate: ")
	require.Contains(t, stderr, "20-bad.jsonc:2: clientAccounts[0].burst: ")
	b.run(exitInvalid, "apply", b.dir)
	require.Nil(t, b.stored())

	b.run(exitUsage, "apply")
	b.run(exitUsage, "apply", b.dir, "--no-such-flag")
	b.run(exitUsage, "no-such-command")
	b.run(exitUsage, "--output", "yaml", "check", b.dir)
	b.run(exitUsage, "drain", "start", b.dir, "d")
	b.run(exitFailure, "check", filepath.Join(b.dir, "missing"))
	b.run(exitUsage, "lookup", "desk")

	require.NoError(t, os.Remove(filepath.Join(b.dir, "20-bad.jsonc")))
	b.store.SetDown(true)
	b.run(exitStore, "apply", b.dir, "--timeout", "50ms")
}

func TestApplyAboveRevisionsThatTheStoreHasLost(t *testing.T) {
	b := newBench(t)
	b.run(exitOK, "apply", b.dir)
	b.store = store.New()
	_, stderr := b.run(exitConflict, "apply", b.dir)
	require.Contains(t, stderr, "revision 0 is in the store, but the change is based on revision 1")
	b.run(exitOK, "diff", b.dir, "--seen")
	b.run(exitOK, "apply", b.dir, "--above", "41")
	require.Equal(t, configuration.Revision(42), b.stored().Revision)
	b.run(exitOK, "key", "grant", b.dir, "clinic", "k")
	require.Equal(t, configuration.Revision(43), b.stored().Revision)
}

func TestKeysAreGrantedAndWithdrawn(t *testing.T) {
	b := newBench(t)
	out, _ := b.run(exitOK, "key", "grant", b.dir, "clinic", "k1", "-o", "json")
	var granted keyOutput
	require.NoError(t, json.Unmarshal([]byte(out), &granted))
	account, id, ok := b.stored().KeyOwner(sha256.Sum256([]byte(granted.Key)))
	require.Equal(t, []any{"clinic", "k1", true}, []any{account, id, ok})
	require.NotContains(t, b.read(grantedKeysFile.name), granted.Key, "only the digest is written")

	b.run(exitOK, "key", "withdraw", b.dir, "clinic", "k1")
	require.True(t, b.stored().KeyWithdrawn(sha256.Sum256([]byte(granted.Key))))
	b.run(exitOK, "apply", b.dir)
	require.True(t, b.stored().KeyWithdrawn(sha256.Sum256([]byte(granted.Key))), "a later apply does not undo it")

	before := b.read(withdrawnKeysFile.name)
	b.run(exitInvalid, "key", "withdraw", b.dir, "clinic", "no-such-key")
	require.Equal(t, before, b.read(withdrawnKeysFile.name), "a refused change leaves the file as it was")
	out, _ = b.run(exitInvalid, "key", "grant", b.dir, "nobody", "k")
	require.Empty(t, out, "no key is printed that does not work")
}

func TestDrainsAndShiftsStayUntilTheyEnd(t *testing.T) {
	b := newBench(t)
	b.write(drainsFile.name, "// Planned with the hall.\n{\"drains\": []}\n")
	b.run(exitOK, "drain", "start", b.dir, "maintenance", "--kind", "failure-domain", "--target", "east", "--at", "2026-12-03T21:00:00Z")
	b.run(exitOK, "drain", "start", b.dir, "host", "--kind", "host", "--target", "east-1")
	b.run(exitOK, "shift", "start", b.dir, "move", "--from", "east", "--to", "west", "--share", "0.5", "--cap", "0.1", "--interval", "1m")
	stored := b.stored()
	require.Equal(t, time.Date(2026, 12, 3, 21, 0, 0, 0, time.UTC), stored.Drains[0].Start.UTC())
	require.True(t, stored.Drains[1].Start.IsZero())
	require.Equal(t, configuration.Shift{Name: "move", From: "east", To: "west", Share: 0.5, Cap: 0.1, Interval: configuration.Duration(time.Minute)}, stored.Shifts[0])
	b.run(exitInvalid, "shift", "start", b.dir, "again", "--from", "east", "--to", "west", "--share", "0.6", "--cap", "0.1", "--interval", "1m")
	b.run(exitOK, "drain", "end", b.dir, "maintenance")
	require.Contains(t, b.read(drainsFile.name), "Planned with the hall.")
	require.Len(t, b.stored().Drains, 1)
	_, stderr := b.run(exitFailure, "drain", "end", b.dir, "maintenance")
	require.Contains(t, stderr, "82-drains.jsonc: has no entry \"maintenance\"")
	b.run(exitOK, "shift", "end", b.dir, "move")
	require.Empty(t, b.stored().Shifts)
}

func TestWaitNamesHostsThatHaveNotConfirmed(t *testing.T) {
	b := newBench(t)
	b.store.SetHosts([]kvstore.HostRecord{
		{Name: "e1", FailureDomain: "east"}, {Name: "e2", FailureDomain: "east"},
		{Name: "w1", FailureDomain: "west"}, {Name: "w2", FailureDomain: "west", Leaving: true},
	})
	confirm := b.confirm
	_, stderr := b.run(exitUnconfirmed, "apply", b.dir, "--wait", "--timeout", "100ms")
	require.Contains(t, stderr, "failure domain east has confirmed revision 0; waiting for hosts: e1, e2")
	require.Contains(t, stderr, "failure domain west has confirmed revision 0; waiting for hosts: w1\n")
	confirm("east", distribution.Confirmation{Revision: 1})
	confirm("west", distribution.Confirmation{Revision: 1})
	out, _ := b.run(exitOK, "apply", b.dir, "--wait")
	require.Contains(t, out, "revision 1 in force on every live host")

	b.write("20-more.jsonc", `{"regions": [{"name": "s"}]}`)
	confirm("east", distribution.Confirmation{Revision: 2})
	confirm("west", distribution.Confirmation{Revision: 1, Lagging: []host.ID{"w1"}})
	_, stderr = b.run(exitUnconfirmed, "apply", b.dir, "--wait", "--timeout", "100ms")
	require.NotContains(t, stderr, "east")
	require.Contains(t, stderr, "failure domain west has confirmed revision 1; waiting for hosts: w1\n")
}

func TestHostsAreAsked(t *testing.T) {
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
	b := newBench(t)
	out, _ := b.run(exitOK, "lookup", "desk", "--client", "192.0.2.1", "--host", "http://127.0.0.1:1", "--host", server.URL)
	require.Contains(t, out, "e1")
	_, stderr := b.run(exitHost, "lookup", "other", "--host", server.URL)
	require.Contains(t, stderr, "404 Not Found: Not found: no service")
	out, _ = b.run(exitOK, "status", "--host", server.URL)
	require.Contains(t, out, "host e1")
	require.Contains(t, out, "20.0%")
	require.NotContains(t, out, "CONFIRMED")

	b.confirm("east", distribution.Confirmation{Revision: 2, Leader: "e1", Epoch: 4, Hosts: 3, Lagging: []host.ID{"e2"}})
	out, _ = b.run(exitOK, "status", "--host", server.URL)
	require.Regexp(t, `east +2 +3 +e1 +4 +e2`, out)
	b.store.SetDown(true)
	out, _ = b.run(exitOK, "status", "--host", server.URL)
	require.Contains(t, out, "confirmed revisions are not known: ")
}

func TestBurnIsReported(t *testing.T) {
	b := newBench(t)
	out, _ := b.run(exitOK, "report", "burn")
	require.Contains(t, out, "no objectives")
	b.write("20-objectives.jsonc", `{"objectives": [{"name": "clinics", "account": "clinic", "target": 0.99, "window": "672h"}]}`)
	b.run(exitOK, "apply", b.dir)
	page := filepath.Join(t.TempDir(), "burn.html")
	out, _ = b.run(exitOK, "report", "burn", "--html", page)
	require.Contains(t, out, "clinics    none   100.0%")
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(content), "clinics")
	out, _ = b.run(exitOK, "report", "burn", "-o", "json")
	var report servicelevel.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Len(t, report.Objectives[0].Windows, 6)
}
