// Package rig starts entry hosts as separate processes on loopback for the cases of this
// review, with stand-ins for the platform's store, its workers and its clients, and records
// what they sent, answered and ran.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"peridotrail/review/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength limits a case.
const maxLength = 118 * time.Second

// program is the daemon as the deploy file builds it, relative to the repository's root.
const program = "target/peridotraild"

// metricsPort is the port of the metrics, the same on all hosts.
const metricsPort = 9464

// Zones of the deployment, with their regions.
var zones = map[string]string{
	"toronto": "ontario", "hamilton": "ontario", "detroit": "michigan",
	"lansing": "michigan", "cleveland": "ohio", "toledo": "ohio",
}

// Rig holds what a case has started.
type Rig struct {
	dir     string // temporary folder
	network string // first three bytes of the hosts' addresses
	start   time.Time

	mu      sync.Mutex // guards the fields below
	record  *os.File
	hosts   []*Host
	cleanup []func()
	closed  bool
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New prepares a case. The argument of the command is the path of the record.
func New() *Rig {
	r := &Rig{start: time.Now()}
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "the path of the record is missing")
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "the daemon has not been built:", err)
		os.Exit(exitNotRun)
	}
	var err error
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if r.record, err = os.Create(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r.chooseNetwork()
	r.Note("disruption: %v", Trouble())
	go r.endEarly()
	return r
}

// endEarly ends the case, and the processes that it started, on a signal or after maxLength.
func (r *Rig) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case s := <-signals:
		r.Abort("%v", s)
	case <-time.After(maxLength):
		r.Abort("not done after %v", maxLength)
	}
}

// chooseNetwork chooses a part of the loopback network on which the hosts' ports are free.
func (r *Rig) chooseNetwork() {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.11:%d", network, platform.FrontendPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		r.network = network
		return
	}
	r.Abort("no free loopback addresses")
}

// Note writes a line to the record, with the time since the start of the case in seconds.
func (r *Rig) Note(format string, args ...any) { r.NoteAt(time.Now(), format, args...) }

// NoteAt is Note for an event at a known time.
func (r *Rig) NoteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.record, "%9.4f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Since returns the time of an event in seconds since the start of the case.
func (r *Rig) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Abort ends a case that could not run.
func (r *Rig) Abort(format string, args ...any) {
	r.Note("NOT RUN: "+format, args...)
	r.end(exitNotRun, fmt.Sprintf("not run: "+format, args...))
}

// Finish ends the case with its verdict.
func (r *Rig) Finish(broken bool, format string, args ...any) {
	verdict, code := "HELD: ", exitHeld
	if broken {
		verdict, code = "BROKEN: ", exitBroken
	}
	text := verdict + fmt.Sprintf(format, args...)
	r.Note("%s", text)
	r.end(code, text)
}

func (r *Rig) end(code int, text string) {
	fmt.Println(text)
	for _, h := range r.hosts {
		h.Kill()
	}
	for _, f := range r.cleanup {
		f()
	}
	r.mu.Lock()
	r.closed = true
	_ = r.record.Close()
	r.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs of the hosts:", r.dir)
	}
	os.Exit(code)
}

// OnEnd calls f when the case ends.
func (r *Rig) OnEnd(f func()) { r.cleanup = append(r.cleanup, f) }

// Host is one entry host, a process of its own.
type Host struct {
	rig      *Rig
	Name     string
	ip       string
	settings string

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	ended   chan struct{}
}

// Host writes the settings of a host. It does not start it.
func (r *Rig) Host(zone string, number int, storeAddress string) *Host {
	h := &Host{rig: r, Name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", r.network, 11+len(r.hosts))}
	h.settings = filepath.Join(r.dir, h.Name+".json")
	settings := platform.Settings(platform.Machine{Name: h.Name, IP: h.ip, Zone: zone, Region: zones[zone], Zones: zones, StoreAddress: storeAddress})
	data, err := json.MarshalIndent(settings, "", "  ")
	if err == nil {
		err = os.WriteFile(h.settings, data, 0o600)
	}
	if err != nil {
		r.Abort("settings: %v", err)
	}
	r.hosts = append(r.hosts, h)
	return h
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() {
	output, err := os.OpenFile(filepath.Join(h.rig.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.rig.Abort("log: %v", err)
	}
	defer output.Close()
	command := exec.Command(program, "gateway", "--metrics-port", fmt.Sprint(metricsPort))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTRAIL_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		h.rig.Abort("start of %s: %v", h.Name, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.command, h.ended = command, ended
	h.mu.Unlock()
	go func() {
		_ = command.Wait() // the end of the process is what counts
		close(ended)
	}()
	h.rig.Note("start %s", h.Name)
}

// Kill ends the process at once, as a loss of power does, and waits for its end.
func (h *Host) Kill() {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.command = nil
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-ended
	h.rig.Note("kill %s", h.Name)
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	h.mu.Lock()
	command, ended := h.command, h.ended
	h.mu.Unlock()
	if command == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// Address returns the address for requests of clients.
func (h *Host) Address() string { return fmt.Sprintf("%s:%d", h.ip, platform.FrontendPort) }

// Ready reports whether the readiness check succeeds.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, platform.ReadyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the host is ready.
func (h *Host) AwaitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if h.Ready() {
			h.rig.Note("ready %s", h.Name)
			return
		}
	}
	h.rig.Abort("%s is not ready", h.Name)
}

// Request is one attempt of a client.
type Request struct {
	Method, Address, Host, Target, Key, ID string
}

// Answer is what a client got.
type Answer struct {
	Status     int // zero if there was no complete answer
	Signed     bool
	RetryAfter time.Duration
	NoHost     bool // no connection could be opened
}

// Do sends a request on a connection of its own, or over transport if that is not nil.
func (r *Rig) Do(transport *http.Transport, q Request, timeout time.Duration) Answer {
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	request, err := http.NewRequest(q.Method, "http://"+q.Address+q.Target, nil)
	if err != nil {
		r.Abort("request: %v", err)
	}
	request.Host = q.Host
	request.Header.Set(platform.HeaderID, q.ID)
	request.Header.Set("Authorization", "Bearer "+q.Key)
	request.Header.Set(platform.HeaderDeadline, fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Transport: transport, Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return Answer{NoHost: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Answer{}
	}
	answer := Answer{Status: response.StatusCode, Signed: response.Header.Get(platform.HeaderSignature) != ""}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}

// NewID returns an id for an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Term asks the process to stop.
func (h *Host) Term() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(syscall.SIGTERM) // it may have ended already
	}
}

// AwaitEnd waits until the process has ended.
func (h *Host) AwaitEnd(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if !h.Running() {
			h.rig.Note("end %s", h.Name)
			return
		}
	}
	h.rig.Abort("%s has not ended", h.Name)
}

// Addresses asks the directory of the host for the addresses to connect to from a zone. It is
// empty if there is no answer.
func (h *Host) Addresses(zone string) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(platform.LookupURL(h.ip, "places.example", zones[zone], zone))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
