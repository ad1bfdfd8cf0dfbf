// Command measure runs membership over QUIC on loopback and reports the cost of
// heartbeats: traffic, CPU time and memory for each number of hosts, with linear
// fits. The first host of each failure domain leads it; the leader's figures are
// those of the first host.
//
//	go run ./internal/membership/measure --hosts 10,20,40,80 --seconds 20
//	go run ./internal/membership/measure --hosts 3,6,11 --domains 11 --seconds 20
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/fleet"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/host"
	"peridotrail/internal/membership"
)

const (
	warmUp              = 10 * time.Second
	datagramHeaderBytes = 28 // IPv4 and UDP headers
	services            = 4  // in the digest of a host
	accounts            = 8  // in the digest of a host
)

// Row is the result for one number of hosts.
type Row struct {
	Hosts          int     `json:"hosts"`
	LeaderOut      float64 `json:"leaderOutBytesPerSecond"`
	LeaderIn       float64 `json:"leaderInBytesPerSecond"`
	FollowerOut    float64 `json:"followerOutBytesPerSecond"` // mean
	FollowerIn     float64 `json:"followerInBytesPerSecond"`  // mean
	Exchanges      float64 `json:"exchangesPerSecond"`        // of all hosts together
	BytesExchange  float64 `json:"bytesPerExchange"`          // both directions
	CPUPerExchange float64 `json:"cpuMicrosecondsPerExchange"`
	CPUPerHost     float64 `json:"cpuPercentOfCorePerHost"` // mean
	LiveAtLastHost int     `json:"liveAtLastHost"`
	MemoryPerHost  float64 `json:"memoryKilobytesPerHost"` // live heap and stacks, mean
}

// Report is the JSON output.
type Report struct {
	Rows   []Row   `json:"rows"`
	Slopes []Slope `json:"slopes"`
}

// Slope is the least-squares fit of a figure against the number of hosts.
type Slope struct {
	Figure    string  `json:"figure"`
	PerHost   float64 `json:"perHost"`
	Intercept float64 `json:"intercept"`
}

func main() {
	sizes := flag.String("hosts", "10,20,40,80", "numbers of hosts, separated by commas")
	domains := flag.Int("domains", 1, "number of failure domains")
	profile := flag.String("profile", "", "file to write a CPU profile to")
	seconds := flag.Int("seconds", 20, "length of each measurement in seconds")
	flag.Parse()
	if stop, err := startProfile(*profile); err == nil {
		defer stop()
	}
	if err := run(*sizes, *domains, time.Duration(*seconds)*time.Second); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(sizes string, domains int, length time.Duration) error {
	var report Report
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "--hosts")
		}
		row, err := measure(size, domains, length)
		if err != nil {
			return err
		}
		report.Rows = append(report.Rows, row)
	}
	report.Slopes = []Slope{
		slope("leaderOutBytesPerSecond", report.Rows, func(r Row) float64 { return r.LeaderOut }),
		slope("leaderInBytesPerSecond", report.Rows, func(r Row) float64 { return r.LeaderIn }),
		slope("followerOutBytesPerSecond", report.Rows, func(r Row) float64 { return r.FollowerOut }),
		slope("followerInBytesPerSecond", report.Rows, func(r Row) float64 { return r.FollowerIn }),
		slope("bytesPerExchange", report.Rows, func(r Row) float64 { return r.BytesExchange }),
		slope("memoryKilobytesPerHost", report.Rows, func(r Row) float64 { return r.MemoryPerHost }),
		slope("cpuPercentOfCorePerHost", report.Rows, func(r Row) float64 { return r.CPUPerHost }),
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// node is one host of the measured fleet.
type node struct {
	transport *fleet.Transport
	service   *membership.Service
	registry  metrics.Registry
}

func measure(size, domains int, length time.Duration) (Row, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	before := memory()
	nodes, err := startAll(ctx, size, domains, &running)
	if err != nil {
		return Row{}, err
	}
	time.Sleep(warmUp)
	first, firstCPU, firstBeats := traffic(nodes), cpuTime(), heartbeats(nodes)
	time.Sleep(length)
	last, lastCPU, lastBeats := traffic(nodes), cpuTime(), heartbeats(nodes)
	row := Row{Hosts: size, LiveAtLastHost: live(nodes[size-1])}
	elapsed := length.Seconds()
	for i := range nodes {
		out, in := wireBytes(first[i], last[i])
		if i == 0 {
			row.LeaderOut, row.LeaderIn = out/elapsed, in/elapsed
			continue
		}
		row.FollowerOut += out / elapsed / float64(size-1)
		row.FollowerIn += in / elapsed / float64(size-1)
	}
	beats := float64(lastBeats - firstBeats)
	row.Exchanges = beats / elapsed
	row.BytesExchange = (row.LeaderOut + row.FollowerOut*float64(size-1)) * elapsed / beats
	row.CPUPerExchange = float64((lastCPU - firstCPU).Microseconds()) / beats
	row.CPUPerHost = (lastCPU - firstCPU).Seconds() / elapsed / float64(size) * 100
	row.MemoryPerHost = float64(memory()-before) / 1024 / float64(size)
	return row, nil
}

func startAll(ctx context.Context, size, domains int, running *sync.WaitGroup) ([]*node, error) {
	authority, err := keys.NewEphemeralAuthority()
	if err != nil {
		return nil, err
	}
	var seeds []netip.AddrPort
	var nodes []*node
	for i := range size {
		leader := membership.Leadership{Leader: nodeID(i % domains), Epoch: 1}
		name := keys.Name{Host: nodeID(i), FailureDomain: fmt.Sprintf("domain-%02d", i%domains)}
		n, err := start(ctx, authority, name, seeds, leader, running)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, n.transport.Self().Fleet)[:1]
		nodes = append(nodes, n)
	}
	return nodes, nil
}

func nodeID(i int) host.ID { return host.ID(fmt.Sprintf("host-%03d", i)) }

func start(ctx context.Context, authority *keys.Authority, name keys.Name, seeds []netip.AddrPort, leader membership.Leadership, running *sync.WaitGroup) (*node, error) {
	material, err := authority.Material(name)
	if err != nil {
		return nil, err
	}
	identity := host.Identity{
		ID: name.Host, Incarnation: host.NewIncarnation(time.Now()), FailureDomain: name.FailureDomain,
		Region: "ontario", Entry: netip.MustParseAddrPort("127.0.0.1:8080"),
	}
	n := &node{registry: metrics.NewRegistry()}
	n.transport, err = fleet.New(fleet.Options{
		Self: identity, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		TLS: keys.NewReplaceableSource(material), Metrics: n.registry,
	})
	if err != nil {
		return nil, err
	}
	n.service = membership.New(membership.Options{
		Self: n.transport.Self(), Caller: n.transport, Seeds: seeds, Metrics: n.registry,
		Leadership: func() membership.Leadership { return leader },
	})
	n.service.AddProvider(fillDigest)
	n.service.Register(n.transport)
	running.Go(func() { _ = n.transport.Run(ctx) })
	running.Go(func() { _ = n.service.Run(ctx, func() {}) })
	return n, nil
}

// fillDigest fills the digest as a host of the current production size does.
func fillDigest(digest *membership.Digest) {
	digest.ConfigurationRevision = 1 << 20
	digest.StateRevision = 1 << 20
	for i := range services {
		digest.Services = append(digest.Services, membership.ServiceLoad{Service: fmt.Sprintf("service-%02d", i), FreeSlots: 40 + i, Queued: i})
	}
	for i := range accounts {
		digest.Tokens = append(digest.Tokens, membership.AccountTokens{Account: fmt.Sprintf("account-%02d", i), Spare: 100 + i})
	}
}

func traffic(nodes []*node) []fleet.Traffic {
	all := make([]fleet.Traffic, len(nodes))
	for i, n := range nodes {
		all[i] = n.transport.Traffic()
	}
	return all
}

// wireBytes returns the bytes sent and received between two readings, including the
// IPv4 and UDP headers.
func wireBytes(first, last fleet.Traffic) (out, in float64) {
	out = float64(last.BytesSent-first.BytesSent) + datagramHeaderBytes*float64(last.PacketsSent-first.PacketsSent)
	in = float64(last.BytesReceived-first.BytesReceived) + datagramHeaderBytes*float64(last.PacketsReceived-first.PacketsReceived)
	return out, in
}

func heartbeats(nodes []*node) int64 {
	sum := int64(0)
	for _, n := range nodes {
		sum += metrics.GetOrRegisterCounter("membership.heartbeats", n.registry).Count()
	}
	return sum
}

func live(n *node) int {
	count := 1
	for _, m := range n.service.Members() {
		if m.State == host.StateLive {
			count++
		}
	}
	return count
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes of live heap and stacks after a garbage collection.
func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func slope(figure string, rows []Row, value func(Row) float64) Slope {
	n, sx, sy, sxx, sxy := float64(len(rows)), 0.0, 0.0, 0.0, 0.0
	for _, row := range rows {
		x, y := float64(row.Hosts), value(row)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	result := Slope{Figure: figure}
	if spread := n*sxx - sx*sx; spread != 0 {
		result.PerHost = (n*sxy - sx*sy) / spread
		result.Intercept = (sy - result.PerHost*sx) / n
	}
	return result
}

// startProfile starts a CPU profile and returns the function that ends it. It does
// nothing if name is empty.
func startProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
