// Package storelinks runs fleets of processes whose hosts reach the store through links of
// their own, and checks that a policy is in force in time also at hosts that the store rejects.
package storelinks

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"peridotrail/platform"
	"peridotrail/platform/platformtest"
)

const (
	policyDelay = 3 * time.Second // from the acknowledgement of a policy until it is in force
	startTime   = 30 * time.Second
	callTimeout = 2 * time.Second
)

var domains = []string{"toronto", "detroit", "cleveland", "hamilton", "lansing", "toledo"}

var regions = map[string]string{"toronto": "ontario", "detroit": "michigan", "cleveland": "ohio", "hamilton": "ontario", "lansing": "michigan", "toledo": "ohio"}

var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "storelinks")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "peridotraild")
	if output, err := exec.Command("go", "build", "-o", program, "../../cmd/peridotraild").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(output))
		return 1
	}
	return m.Run()
}

// host is a process of the program with its own link to the store.
type host struct {
	name, domain string
	callers      string // IP:port
	ready        string // IP:port
	lookups      string // IP:port
	settings     string // path
	log          string // path
	link         *platformtest.Link
	client       *http.Client

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is a store, upstreams of two services and hosts in the failure domains.
type fleet struct {
	t     *testing.T
	store *platformtest.Store
	hosts []*host
	dir   string
	port  int // from which ports are tried next

	upstreams map[string]*platformtest.Upstream // of serviceA, by failure domain
}

// startFleet starts n hosts for each failure domain and waits until they are ready.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: platformtest.NewStore(), dir: t.TempDir(), port: 20000 + os.Getpid()*97%9000, upstreams: map[string]*platformtest.Upstream{}}
	t.Cleanup(f.store.Close)
	for _, service := range []string{serviceA, serviceB} {
		for i, domain := range domains {
			u := platformtest.NewUpstream(fmt.Sprintf("%s-%d", service, i))
			t.Cleanup(u.Close)
			if service == serviceA {
				f.upstreams[domain] = u
			}
			u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(serviceHeader, service)
				u.Succeed(w, r)
			})
			f.store.Put(platformtest.UpstreamPrefix+u.ID, u.Entry(service, domain, "ready", 200))
		}
	}
	for _, domain := range domains {
		for i := range n {
			f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("%s-%d", domain, i+1), domain))
		}
	}
	t.Cleanup(f.end)
	return f
}

// run starts all hosts and waits until they are ready.
func (f *fleet) run() {
	f.t.Helper()
	for _, h := range f.hosts {
		h.start(f.t)
	}
	for _, h := range f.hosts {
		if !assert.Eventually(f.t, h.isReady, startTime, 20*time.Millisecond, h.name) {
			text, err := os.ReadFile(h.log)
			require.NoError(f.t, err)
			require.FailNow(f.t, "a host is not ready", "the end of its log:\n%s", text[max(0, len(text)-4000):])
		}
	}
}

// end kills the processes and closes the links.
func (f *fleet) end() {
	for _, h := range f.hosts {
		h.kill()
		h.client.CloseIdleConnections()
		h.link.Close()
	}
}

// addresses returns n free loopback addresses in a row, below the range of outgoing connections.
func (f *fleet) addresses(n int) []string {
	f.t.Helper()
	for ; f.port < 32000; f.port += n {
		var free []string
		for port := f.port; port < f.port+n; port++ {
			address := fmt.Sprintf("127.0.0.1:%d", port)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				break
			}
			packets, err := net.ListenPacket("udp4", address)
			_ = listener.Close()
			if err != nil {
				break
			}
			_ = packets.Close()
			free = append(free, address)
		}
		if len(free) == n {
			f.port += n
			return free
		}
	}
	require.Fail(f.t, "no free ports")
	return nil
}

func (f *fleet) newHost(name, domain string) *host {
	f.t.Helper()
	free := f.addresses(6)
	port := func(address string) string { return strings.TrimPrefix(address, "127.0.0.1:") }
	h := &host{
		name: name, domain: domain, callers: free[0], ready: free[1], lookups: free[2],
		settings: filepath.Join(f.dir, name+".json"), log: filepath.Join(f.dir, name+".log"),
		link: platformtest.NewLink(f.store), client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}},
	}
	settings := platformtest.HostSettings{
		Name: name, Domain: domain, Regions: regions, PolicyDelay: policyDelay.String(),
		Callers: free[0], Ready: free[1], Lookups: free[2], FirstPort: port(free[3]), LastPort: port(free[5]),
		MemoryMB: 184, Descriptors: 4100, Store: h.link.Address(),
	}
	require.NoError(f.t, os.WriteFile(h.settings, []byte(settings.Text()), 0o600))
	return h
}

// start starts the process unless it runs.
func (h *host) start(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	output, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer output.Close()
	process, ended := exec.Command(program, "gateway"), make(chan struct{})
	process.Env = append(os.Environ(), platform.SettingsEnvVar+"="+h.settings, "GOMAXPROCS=1")
	process.Stdout, process.Stderr = output, output
	require.NoError(t, process.Start())
	go func() {
		_ = process.Wait() // whether it has ended is what counts
		close(ended)
	}()
	h.process, h.ended = process, ended
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-h.ended
	h.process = nil
}

// stop asks the process to end and does not wait for that. The channel is closed when the process
// has ended.
func (h *host) stop() (ended <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(syscall.SIGTERM) // it may have ended already
	}
	return h.ended
}

func (h *host) isReady() bool {
	response, err := h.client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lookup returns the entry addresses that the host names for its own failure domain.
func (h *host) lookup() ([]string, error) {
	return platformtest.LookUp(h.client, h.lookups, policyHost, regions[h.domain], h.domain)
}

// logLines returns the last lines of the host's log about its view and the policies.
func (h *host) logLines() string {
	text, _ := os.ReadFile(h.log)
	var lines []string
	for line := range strings.SplitSeq(string(text), "\n") {
		for _, event := range []string{"policy in force", "store lost", "store regained", "following host", "host not followed", "store history lost", "snapshot read", "substitute found", "substitute left", "no substitute", "started", "store reached"} {
			if strings.Contains(line, `"event":"`+event+`"`) {
				lines = append(lines, line)
			}
		}
	}
	return strings.Join(lines[max(0, len(lines)-25):], "\n")
}

// request sends a request with a key. It returns the status, zero if there was no response,
// and the service that ran it.
func (h *host) request(ctx context.Context, path, key, id string) (status int, service string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.callers+path, nil)
	if err != nil {
		return 0, ""
	}
	request.Host = policyHost
	request.Header.Set(platformtest.CallHeader, id)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(platformtest.DeadlineHeader, "1500")
	response, err := h.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status counts
	return response.StatusCode, response.Header.Get(serviceHeader)
}
