// Package session runs a scripted session of operators and callers against a
// fleet of real hosts and compares its transcript with a golden file.
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

var update = flag.Bool("update", false, "rewrite the golden file")

const (
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	demoKey      = "demo-key-north-clinic"
	lowRateKey   = "demo-key-harbour"
)

// session runs the commands and requests and records what operators and callers
// see of them.
type session struct {
	t            *testing.T
	fleet        *localfleet.Fleet
	folder       string
	upstreams    map[string]*fake.Upstream
	addressNames *strings.Replacer // replaces addresses and the folder by stable names
	transcript   bytes.Buffer
}

// newSession starts three hosts in three failure domains of two regions, with an
// empty store.
func newSession(t *testing.T) *session {
	s := &session{t: t, folder: t.TempDir(), upstreams: map[string]*fake.Upstream{}}
	s.writeConfiguration()
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
	s.addressNames = strings.NewReplacer(append(pairs, s.folder, "DIR")...)
	return s
}

// writeConfiguration copies the example configuration to the folder, with a fake
// upstream in place of each configured one.
func (s *session) writeConfiguration() {
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

// startUpstream starts a fake upstream and returns its address.
func (s *session) startUpstream(name string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	u := fake.New(fake.Settings{Name: name, Slots: 8, Queue: 8, ServiceTime: time.Millisecond})
	s.upstreams[name] = u
	go func() { _ = u.Serve(listener) }() // ends with Close
	s.t.Cleanup(func() { _ = u.Close() })
	return listener.Addr().String()
}

// record appends a line to the transcript.
func (s *session) record(format string, args ...any) {
	fmt.Fprintf(&s.transcript, format+"\n", args...)
}

// volatileValue matches durations and digests in the output of peridotrailctl,
// which differ between runs.
var volatileValue = regexp.MustCompile(`(after|digest) [0-9a-f.]+`)

// runCtl runs peridotrailctl and records its output.
func (s *session) runCtl(args ...string) {
	var out bytes.Buffer
	app := &ctl.App{
		Stdout: &out, Stderr: &out, HTTP: http.DefaultClient, Now: time.Now, PollInterval: pollInterval,
		OpenStore: func([]string) kvstore.Store { return s.fleet.Store },
	}
	code := app.Run(s.t.Context(), append([]string{"peridotrailctl", "--store", "http://store"}, args...))
	s.record("$ peridotrailctl %s", s.addressNames.Replace(strings.Join(args, " ")))
	s.transcript.WriteString(volatileValue.ReplaceAllString(s.addressNames.Replace(out.String()), "$1 VALUE"))
	s.record("exit %d\n", code)
}

// request is one HTTP request of a caller; host is the index of the host to send
// it to, and key the account key, if any.
type request struct {
	host   int
	method string
	path   string
	key    string
	header http.Header
}

// response is what a caller sees of an HTTP response.
type response struct {
	status int
	header http.Header
	body   string
}

func (s *session) send(r request) response {
	url := fmt.Sprintf("http://%s%s", s.fleet.Host(r.host).Self().Entry, r.path)
	httpRequest, err := http.NewRequestWithContext(s.t.Context(), r.method, url, http.NoBody)
	require.NoError(s.t, err)
	for name, values := range r.header {
		httpRequest.Header[name] = values
	}
	if r.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+r.key)
	}
	httpResponse, err := http.DefaultClient.Do(httpRequest)
	require.NoError(s.t, err)
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	require.NoError(s.t, err)
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(body)}
}

// recordExchange records a request and its response.
func (s *session) recordExchange(title string, r request, got response) {
	s.record("# %s", title)
	s.record("%s %s at host %d", r.method, r.path, r.host)
	s.record("%d", got.status)
	for _, name := range []string{"Content-Type", "Cache-Control", "Peridotrail-Executed", "Peridotrail-Replayed", "Www-Authenticate"} {
		if value := got.header.Get(name); value != "" {
			s.record("%s: %s", name, value)
		}
	}
	s.record("%s\n", strings.TrimSpace(s.addressNames.Replace(got.body)))
}

// sendOnce sends a request once and records it with its response.
func (s *session) sendOnce(title string, r request) response {
	got := s.send(r)
	s.recordExchange(title, r, got)
	return got
}

// sendUntil repeats a request until a response is accepted, and records only
// that exchange.
func (s *session) sendUntil(title string, r request, accept func(response) bool) {
	s.sendUntilEdited(title, r, func(got *response) bool { return accept(*got) })
}

// sendUntilEdited does the same as sendUntil, but accept may change the response
// before it is recorded.
func (s *session) sendUntilEdited(title string, r request, accept func(*response) bool) {
	deadline := time.Now().Add(readyTimeout)
	for {
		got := s.send(r)
		if accept(&got) {
			s.recordExchange(title, r, got)
			return
		}
		require.True(s.t, time.Now().Before(deadline), "%s: last response %d %s", title, got.status, got.body)
		time.Sleep(pollInterval)
	}
}

func hasStatus(code int) func(response) bool {
	return func(r response) bool { return r.status == code }
}

func bodyContains(text string) func(response) bool {
	return func(r response) bool { return strings.Contains(r.body, text) }
}

// Guards against unintended changes of what operators and callers see: the output
// of peridotrailctl, and status, headers and body of responses. Any difference
// from the golden file fails the test; the flag -update rewrites the file.
func TestWholeSession(t *testing.T) {
	s := newSession(t)
	s.runCtl("check", s.folder)
	s.runCtl("apply", s.folder, "--wait")
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	require.NoError(t, s.fleet.WaitReady(ctx))

	s.recordLookups()
	s.recordCallers()
	s.recordAtMostOnce()
	s.recordOperations()
	s.compareWithGolden()
}

func (s *session) recordLookups() {
	lookup := request{method: "GET", path: "/v1/entry-hosts?service=board&client=10.2.0.7"}
	s.sendUntil("look up once all hosts are known", lookup, func(r response) bool { return strings.Count(r.body, "address") == 3 })
	s.sendOnce("look up an unknown service", request{method: "GET", path: "/v1/entry-hosts?service=nothing"})
}

func (s *session) recordCallers() {
	keyed := request{method: "GET", path: "/board/list", key: demoKey}
	s.sendUntil("request with a key, once the host has slots", keyed, bodyContains("board-north-a"))
	s.sendUntil("the same for another service", request{method: "GET", path: "/booking/list", key: demoKey}, bodyContains("booking-north-a"))
	s.sendOnce("request without a key", request{method: "GET", path: "/board/list"})
	s.sendOnce("request with an unknown key", request{method: "GET", path: "/board/list", key: "guessed"})
	s.sendOnce("request to an open route", request{method: "GET", path: "/board/open"})
	s.sendOnce("request to a closed route by a path trick", request{method: "GET", path: "/board/open/..%2flist"})
	s.sendUntil("request over the rate", request{method: "GET", path: "/board/list", key: lowRateKey}, hasStatus(http.StatusTooManyRequests))
}

func (s *session) recordAtMostOnce() {
	issue := request{method: "POST", path: "/v1/idempotency-keys", key: demoKey}
	issued := s.send(issue)
	var issuedKeys struct {
		Keys []string `json:"idempotencyKeys"`
	}
	require.NoError(s.t, json.Unmarshal([]byte(issued.body), &issuedKeys), issued.body)
	require.Len(s.t, issuedKeys.Keys, 1)
	issued.body = strings.ReplaceAll(issued.body, issuedKeys.Keys[0], "KEY")
	s.recordExchange("issue an idempotency key", issue, issued)

	booking := request{method: "POST", path: "/booking/reservations", key: demoKey, header: http.Header{"Idempotency-Key": issuedKeys.Keys}}
	s.sendUntil("book", booking, hasStatus(http.StatusOK))
	booking.host = 1
	s.sendUntil("send the same booking again through another host", booking, hasStatus(http.StatusOK))
	s.record("runs of the booking: %d\n", s.runCount(issuedKeys.Keys[0]))
}

func (s *session) runCount(idempotencyKey string) int {
	sum := 0
	for _, u := range s.upstreams {
		sum += u.Runs(idempotencyKey)
	}
	return sum
}

func (s *session) recordOperations() {
	keyed := request{method: "GET", path: "/board/list", key: demoKey}
	s.runCtl("drain", "start", s.folder, "maintenance", "--kind", "upstream", "--target", "board-north-a", "--wait")
	otherUpstream := regexp.MustCompile(`board-(north-b|south-a)`)
	s.sendUntilEdited("request after the upstream left", keyed, func(r *response) bool {
		found := otherUpstream.MatchString(r.body)
		r.body = otherUpstream.ReplaceAllString(r.body, "another upstream")
		return found
	})
	s.runCtl("key", "withdraw", s.folder, "north-clinic", "demo", "--wait")
	s.sendUntil("request with the withdrawn key", keyed, hasStatus(http.StatusUnauthorized))

	require.NoError(s.t, s.fleet.Shutdown(s.t.Context(), 0))
	s.record("# host 0 shut down gracefully\n")
	lookup := request{host: 1, method: "GET", path: "/v1/entry-hosts?service=board&client=10.2.0.7"}
	s.sendUntil("look up after the shutdown", lookup, func(r response) bool { return strings.Count(r.body, "address") == 2 })
}

// compareWithGolden compares the transcript with the golden file, which it
// rewrites first if -update is set.
func (s *session) compareWithGolden() {
	file := filepath.Join("testdata", "session.golden")
	if *update {
		require.NoError(s.t, os.WriteFile(file, s.transcript.Bytes(), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(s.t, err)
	require.Equal(s.t, string(want), s.transcript.String())
}
