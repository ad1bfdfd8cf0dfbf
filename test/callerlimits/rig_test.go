// Package callerlimits starts the program as a process with lowered limits and lets a crowd of
// callers stay outside the limits of the policy. The tests check the process, its memory, its
// descriptors and one ordinary request, not times or shares. They must not run in parallel.
package callerlimits

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/platform"
	"peridotrail/platform/platformtest"
)

const (
	memoryMB = 96
	wideFDs  = 4100 // the fewest of the hosts to design for
	fewFDs   = 300  // of which 200 are for files
	crowd    = 300
	// settleTime lets callers that are not served send what they can.
	settleTime = 5 * time.Second
	// patience is how long an ordinary caller tries.
	patience = 60 * time.Second
	bigBody  = 4 << 20
)

var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "callerlimits")
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

// host is a process of the program.
type host struct {
	t               *testing.T
	process         *exec.Cmd
	ended           chan struct{}
	maxFDs          int
	callers, ready  string
	peakFDs         int
	stopSampling    chan struct{}
	samplingStopped chan struct{}
}

// ports returns free loopback addresses in a row, below the range of outgoing connections.
func ports(t *testing.T, n int) []string {
	t.Helper()
	for start := 20000 + os.Getpid()*10%11000; start < 32000; start += n {
		var addresses []string
		for port := start; port < start+n; port++ {
			address := fmt.Sprintf("127.0.0.1:%d", port)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				break
			}
			_ = listener.Close()
			addresses = append(addresses, address)
		}
		if len(addresses) == n {
			return addresses
		}
	}
	require.Fail(t, "no free ports")
	return nil
}

func startHost(t *testing.T, maxFDs int) *host {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a process and takes many seconds")
	}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put(platformtest.PolicyKey, platformtest.OpenPolicy)
	for i := range 4 {
		u := platformtest.NewUpstream(fmt.Sprintf("i-%d", i))
		t.Cleanup(u.Close)
		u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/big" {
				u.Succeed(w, r)
				return
			}
			u.Sign(w, r)
			w.Header().Set("Content-Length", strconv.Itoa(bigBody))
			_, _ = w.Write(make([]byte, bigBody)) // the caller may be cut off
		})
		store.Put(platformtest.UpstreamPrefix+u.ID, u.Entry("svc", "west-a", "ready", 200))
	}
	free := ports(t, 6)
	h := &host{t: t, maxFDs: maxFDs, callers: free[0], ready: free[1], ended: make(chan struct{}), stopSampling: make(chan struct{}), samplingStopped: make(chan struct{})}
	_, first, _ := strings.Cut(free[3], ":")
	_, last, _ := strings.Cut(free[5], ":")
	file := filepath.Join(t.TempDir(), "host.json")
	settings := platformtest.HostSettings{
		Callers: free[0], Ready: free[1], Lookups: free[2], FirstPort: first, LastPort: last,
		MemoryMB: memoryMB, Descriptors: maxFDs, Store: store.Address(),
	}
	require.NoError(t, os.WriteFile(file, []byte(settings.Text()), 0o600))
	h.process = exec.Command(program, "gateway", "--log-level", "warn")
	h.process.Env = append(os.Environ(), platform.SettingsEnvVar+"="+file)
	var output bytes.Buffer
	h.process.Stdout, h.process.Stderr = &output, &output
	require.NoError(t, h.process.Start())
	go func() {
		_ = h.process.Wait() // whether it has ended is what counts
		close(h.ended)
	}()
	go h.sampleDescriptors()
	t.Cleanup(func() {
		close(h.stopSampling)
		<-h.samplingStopped
		_ = h.process.Process.Kill() // it may have ended already
		<-h.ended
		if t.Failed() {
			t.Log(output.String()[max(0, output.Len()-3000):])
		}
	})
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, patience, 20*time.Millisecond, "the host gets ready")
	return h
}

// sampleDescriptors records the largest number of open descriptors.
func (h *host) sampleDescriptors() {
	defer close(h.samplingStopped)
	for {
		select {
		case <-h.stopSampling:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid)); err == nil {
			h.peakFDs = max(h.peakFDs, len(entries))
		}
	}
}

// peakMemory returns the largest resident memory of the process, in bytes; zero if it ended.
func (h *host) peakMemory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(value, "kB")), 10, 64)
			require.NoError(h.t, err)
			return kilobytes << 10
		}
	}
	return 0
}

// ordinaryRequest sends one ordinary request and reports whether it was answered with 200.
func (h *host) ordinaryRequest() bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience/3)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.callers+"/small", http.NoBody)
	require.NoError(h.t, err)
	request.Host = "open.example"
	request.Header.Set(platformtest.CallHeader, fmt.Sprint(time.Now().UnixNano()))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// withstand opens the connections of the crowd, lets each do one thing, checks the host while
// they stay connected, and again after they have left.
func (h *host) withstand(behave func(net.Conn)) {
	h.t.Helper()
	var connections []net.Conn
	var running sync.WaitGroup
	for range crowd {
		conn, err := net.DialTimeout("tcp4", h.callers, patience)
		if err != nil {
			continue // the host accepts no more
		}
		connections = append(connections, conn)
		running.Go(func() { behave(conn) })
	}
	time.Sleep(settleTime)
	for deadline := time.Now().Add(patience); !h.ordinaryRequest(); {
		require.True(h.t, time.Now().Before(deadline), "no ordinary request was answered beside the crowd")
		time.Sleep(100 * time.Millisecond)
	}
	for _, conn := range connections {
		_ = conn.Close() // the host may have closed it
	}
	running.Wait()
	require.Eventually(h.t, h.ordinaryRequest, patience, 100*time.Millisecond, "an ordinary request after the crowd")
	select {
	case <-h.ended:
		require.Fail(h.t, "the process has ended")
	default:
	}
	peak := h.peakMemory()
	close(h.stopSampling)
	<-h.samplingStopped
	h.stopSampling = make(chan struct{})
	h.t.Logf("peak of %d MB and %d descriptors", peak>>20, h.peakFDs)
	require.Less(h.t, peak, int64(memoryMB<<20), "memory")
	require.Less(h.t, h.peakFDs, h.maxFDs, "descriptors")
}

const requestLine = "GET /small HTTP/1.1\r\nHost: open.example\r\n" + platformtest.CallHeader + ": a\r\n"

// writeAll sends part up to n times, until the connection ends.
func writeAll(conn net.Conn, part string, n int, pause time.Duration) {
	for range n {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// awaitEnd reads until the connection ends.
func awaitEnd(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) } // how it ends does not matter
