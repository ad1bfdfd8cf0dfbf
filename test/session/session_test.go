// Package session replays a whole session of operators and callers against a
// fleet of real hosts and compares it with a golden file.
package session

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/ctl"
	fake "peridotrail/internal/fake/upstream"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/localfleet"
)

var update = flag.Bool("update", false, "write the golden files")

const (
	readyTimeout = 30 * time.Second
	poll         = 20 * time.Millisecond
	demoKey      = "demo-key-north-clinic"
	smallKey     = "demo-key-harbour"
)

// session records what operators and callers see.
type session struct {
	t         *testing.T
	fleet     *localfleet.Fleet
	folder    string
	upstreams map[string]*fake.Upstream
	names     *strings.Replacer // addresses to names
	record    bytes.Buffer
}

func newSession(t *testing.T) *session {
	s := &session{t: t, folder: t.TempDir(), upstreams: map[string]*fake.Upstream{}}
	s.startUpstreams()
	fleet, err := localfleet.Start(t.Context(), localfleet.Options{
		Domains: []string{"north-a", "north-b", "south-a"},
		Regions: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"},
		Grace:   readyTimeout,
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	s.fleet = fleet
	var pairs []string
	for i := range fleet.Len() {
		pairs = append(pairs, fleet.Host(i).Self().Entry.String(), fmt.Sprintf("ENTRY-%s", fleet.Host(i).Self().ID))
	}
	s.names = strings.NewReplacer(append(pairs, s.folder, "DIR")...)
	return s
}

// startUpstreams copies the example folder with the addresses of stand-ins.
func (s *session) startUpstreams() {
	files, err := filepath.Glob("../../examples/quickstart/*.jsonc")
	require.NoError(s.t, err)
	address := regexp.MustCompile(`"name": "([a-z-]+)"(.*)"address": "[0-9.:]+"`)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(s.t, err)
		text = address.ReplaceAllFunc(text, func(match []byte) []byte {
			parts := address.FindSubmatch(match)
			return fmt.Appendf(nil, `"name": %q%s"address": %q`, parts[1], parts[2], s.startUpstream(string(parts[1])))
		})
		require.NoError(s.t, os.WriteFile(filepath.Join(s.folder, filepath.Base(file)), text, 0o600))
	}
}

func (s *session) startUpstream(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	u := fake.New(fake.Settings{Name: name, Slots: 8, Queue: 8, ServiceTime: time.Millisecond})
	s.upstreams[name] = u
	go func() { _ = u.Serve(listener) }() // ends with Close
	s.t.Cleanup(func() { _ = u.Close() })
	return listener.Addr().String()
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.record, format+"\n", args...)
}

// volatile matches what differs from run to run.
var volatile = regexp.MustCompile(`(after|digest) [0-9a-f.]+`)

// ctl runs peridotrailctl and records its output.
func (s *session) ctl(args ...string) {
	var out bytes.Buffer
	app := &ctl.App{
		Stdout: &out, Stderr: &out, HTTP: http.DefaultClient, Now: time.Now, PollInterval: poll,
		OpenStore: func([]string) kvstore.Store { return s.fleet.Store },
	}
	code := app.Run(s.t.Context(), append([]string{"peridotrailctl", "--store", "http://store"}, args...))
	s.note("$ peridotrailctl %s", s.names.Replace(strings.Join(args, " ")))
	s.record.WriteString(volatile.ReplaceAllString(s.names.Replace(out.String()), "$1 VALUE"))
	s.note("exit %d\n", code)
}

// request is one request of a caller.
type request struct {
	host   int
	method string
	path   string
	key    string
	header http.Header
}

type response struct {
	status int
	header http.Header
	body   string
}

func (s *session) send(r request) response {
	url := fmt.Sprintf("http://%s%s", s.fleet.Host(r.host).Self().Entry, r.path)
	sent, err := http.NewRequestWithContext(s.t.Context(), r.method, url, http.NoBody)
	require.NoError(s.t, err)
	for name, values := range r.header {
		sent.Header[name] = values
	}
	if r.key != "" {
		sent.Header.Set("Authorization", "Bearer "+r.key)
	}
	answer, err := http.DefaultClient.Do(sent)
	require.NoError(s.t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(s.t, err)
	return response{status: answer.StatusCode, header: answer.Header, body: string(body)}
}

// show records a request and its response.
func (s *session) show(title string, r request, got response) {
	s.note("# %s", title)
	s.note("%s %s at host %d", r.method, r.path, r.host)
	s.note("%d", got.status)
	for _, name := range []string{"Content-Type", "Cache-Control", "Peridotrail-Executed", "Peridotrail-Replayed", "Www-Authenticate"} {
		if value := got.header.Get(name); value != "" {
			s.note("%s: %s", name, value)
		}
	}
	s.note("%s\n", strings.TrimSpace(s.names.Replace(got.body)))
}

func (s *session) do(title string, r request) response {
	got := s.send(r)
	s.show(title, r, got)
	return got
}

// until repeats a request until its response is wanted, and records that one.
func (s *session) until(title string, r request, wanted func(response) bool) {
	s.untilAs(title, r, func(got *response) bool { return wanted(*got) })
}

// untilAs is until with a function that may change what is recorded.
func (s *session) untilAs(title string, r request, wanted func(*response) bool) {
	limit := time.Now().Add(readyTimeout)
	for {
		got := s.send(r)
		if wanted(&got) {
			s.show(title, r, got)
			return
		}
		require.True(s.t, time.Now().Before(limit), "%s: last response %d %s", title, got.status, got.body)
		time.Sleep(poll)
	}
}

func status(code int) func(response) bool {
	return func(r response) bool { return r.status == code }
}

func contains(text string) func(response) bool {
	return func(r response) bool { return strings.Contains(r.body, text) }
}

func TestWholeSession(t *testing.T) {
	s := newSession(t)
	s.ctl("check", s.folder)
	s.ctl("apply", s.folder, "--wait")
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	require.NoError(t, s.fleet.WaitReady(ctx))

	s.lookups()
	s.callers()
	s.atMostOnce()
	s.operations()
	s.compare()
}

func (s *session) lookups() {
	lookup := request{method: "GET", path: "/v1/entry-hosts?service=board&client=10.2.0.7"}
	s.until("look up once all hosts are known", lookup, func(r response) bool { return strings.Count(r.body, "address") == 3 })
	s.do("look up an unknown service", request{method: "GET", path: "/v1/entry-hosts?service=nothing"})
}

func (s *session) callers() {
	keyed := request{method: "GET", path: "/board/list", key: demoKey}
	s.until("request with a key, once the host has slots", keyed, contains("board-north-a"))
	s.until("the same for another service", request{method: "GET", path: "/booking/list", key: demoKey}, contains("booking-north-a"))
	s.do("request without a key", request{method: "GET", path: "/board/list"})
	s.do("request with an unknown key", request{method: "GET", path: "/board/list", key: "guessed"})
	s.do("request to an open route", request{method: "GET", path: "/board/open"})
	s.do("request to a closed route by a path trick", request{method: "GET", path: "/board/open/..%2flist"})
	s.until("request over the rate", request{method: "GET", path: "/board/list", key: smallKey}, status(http.StatusTooManyRequests))
}

func (s *session) atMostOnce() {
	issue := request{method: "POST", path: "/v1/idempotency-keys", key: demoKey}
	issued := s.send(issue)
	var answer struct {
		Keys []string `json:"idempotencyKeys"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(issued.body), &answer), issued.body)
	require.Len(s.t, answer.Keys, 1)
	issued.body = strings.ReplaceAll(issued.body, answer.Keys[0], "KEY")
	s.show("issue an idempotency key", issue, issued)

	booking := request{method: "POST", path: "/booking/reservations", key: demoKey, header: http.Header{"Idempotency-Key": answer.Keys}}
	s.until("book", booking, status(http.StatusOK))
	booking.host = 1
	s.until("send the same booking again through another host", booking, status(http.StatusOK))
	s.note("runs of the booking: %d\n", s.runs(answer.Keys[0]))
}

func (s *session) runs(key string) int {
	sum := 0
	for _, u := range s.upstreams {
		sum += u.Runs(key)
	}
	return sum
}

func (s *session) operations() {
	keyed := request{method: "GET", path: "/board/list", key: demoKey}
	s.ctl("drain", "start", s.folder, "maintenance", "--kind", "upstream", "--target", "board-north-a", "--wait")
	other := regexp.MustCompile(`board-(north-b|south-a)`)
	s.untilAs("request after the upstream left", keyed, func(r *response) bool {
		found := other.MatchString(r.body)
		r.body = other.ReplaceAllString(r.body, "another upstream")
		return found
	})
	s.ctl("key", "withdraw", s.folder, "north-clinic", "demo", "--wait")
	s.until("request with the withdrawn key", keyed, status(http.StatusUnauthorized))

	require.NoError(s.t, s.fleet.Shutdown(s.t.Context(), 0))
	s.note("# host 0 shut down gracefully\n")
	lookup := request{host: 1, method: "GET", path: "/v1/entry-hosts?service=board&client=10.2.0.7"}
	s.until("look up after the shutdown", lookup, func(r response) bool { return strings.Count(r.body, "address") == 2 })
}

func (s *session) compare() {
	file := filepath.Join("testdata", "session.golden")
	if *update {
		require.NoError(s.t, os.WriteFile(file, s.record.Bytes(), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), s.record.String())
}
