package gateway

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/boottime"
	"peridotrail/internal/crashguard"
	"peridotrail/internal/knownfailure"
	"peridotrail/internal/kvstore"
)

// The crash fleet is a model of hosts in virtual time whose callers repeat a request that
// crashes each upstream that runs it. Each host has its own, delayed view of the store.

// crashMutation is a rule of the program that the model switches off.
type crashMutation string

// Mutations.
const (
	noMutation      crashMutation = ""
	hostsOnTheirOwn crashMutation = "hosts don't read the records of others"
	unclaimedTrials crashMutation = "trials are not claimed"
	localMemory     crashMutation = "crashes are not written to the store"
	earlyTrials     crashMutation = "a claim that failed permits a trial"
)

const (
	crashModelStep = 20 * time.Millisecond
	// crashRuleDelay and crashRuleArrivals are the platform's bound: arrivals sent by hosts
	// in touch later than the delay after the third crash.
	crashRuleDelay    = 3 * time.Second
	crashRuleArrivals = 3
	// crashMaxSync is the longest delay of a change of the store.
	crashMaxSync = 1600 * time.Millisecond
)

// crashHost is one host with its view of the store.
type crashHost struct {
	name         string
	table        *crashguard.Table // nil while the host is down
	applied      int               // changes of the store that the host has seen
	era          kvstore.Era       // of its view
	nextSync     boottime.Instant
	nextWrite    boottime.Instant
	startAt      boottime.Instant // of a host that is down
	offlineUntil boottime.Instant // the store is out of reach until then
	touchSince   boottime.Instant // since when nothing has disturbed the host
}

// crashUpstream is an upstream of the model.
type crashUpstream struct {
	name    string
	process int64 // number of the current process
	running bool
	ends    map[int]func() // what happens to each request in progress if the process crashes
}

// crashArrival is a request that reached an upstream.
type crashArrival struct {
	at      boottime.Instant
	inTouch bool // the host that sent it was in touch
}

// fatalHistory is what became of one request that crashes upstreams.
type fatalHistory struct {
	crashes []boottime.Instant
	late    int // arrivals from hosts in touch later than crashRuleDelay after the third crash
}

type crashFleet struct {
	random   *rand.Rand
	mutation crashMutation
	now      boottime.Instant
	store    *modelStore
	hosts    []*crashHost
	pending  map[boottime.Instant][]func()
	numbers  int

	upstreams []*crashUpstream
	fatal     crashguard.Fingerprint
	arrivals  []crashArrival
	crashes   []boottime.Instant
	fatals    map[crashguard.Fingerprint]*fatalHistory
	claims    int // trials claimed in the store, by writes that succeeded
	trials    int // fatal requests sent as trials

	popular       []crashguard.Fingerprint // of requests that crash nothing
	sent, refused int                      // of these requests
}

func newCrashFleet(hosts int, seed uint64, mutation crashMutation) *crashFleet {
	begin := boottime.Instant(time.Hour)
	f := &crashFleet{
		random: rand.New(rand.NewPCG(seed, 2)), mutation: mutation, now: begin, store: newModelStore(begin), pending: map[boottime.Instant][]func(){}, fatals: map[crashguard.Fingerprint]*fatalHistory{},
		fatal: crashguard.NewFingerprint(crashguard.Identity{Account: "a", Target: "/fatal"}),
	}
	for i := range 20 {
		f.popular = append(f.popular, crashguard.NewFingerprint(crashguard.Identity{Account: "b", Target: fmt.Sprintf("/popular/%d", i)}))
	}
	for i := range 12 {
		f.upstreams = append(f.upstreams, &crashUpstream{name: fmt.Sprintf("u-%d", i), running: true, ends: map[int]func(){}})
	}
	for i := range hosts {
		h := &crashHost{name: fmt.Sprintf("h-%d", i)}
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	return f
}

func (f *crashFleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.random.Int64N(int64(to-from)+1))
}

func (f *crashFleet) after(d time.Duration, do func()) {
	at := f.now.Add(max(d, crashModelStep))
	at -= at % boottime.Instant(crashModelStep)
	f.pending[at] = append(f.pending[at], do)
}

// start starts the process of a host, which reads all records before it serves requests.
func (f *crashFleet) start(h *crashHost) {
	h.table, h.applied, h.touchSince = crashguard.NewTable(h.name), len(f.store.changes), f.now
	if f.mutation != hostsOnTheirOwn {
		h.table.Reset(f.store.snapshot(), f.store.revision.Era, f.now)
	}
	h.era, h.nextSync, h.nextWrite = f.store.revision.Era, f.now, f.now
}

func (f *crashFleet) online(h *crashHost) bool { return !f.now.Before(h.offlineUntil) }

// run lets a host read the store and write its records.
func (f *crashFleet) run(h *crashHost) {
	switch {
	case h.table == nil && !f.now.Before(h.startAt) && f.online(h):
		f.start(h)
	case h.table == nil || !f.online(h):
		return
	}
	if !f.now.Before(h.nextSync) {
		if era := f.store.revision.Era; h.era != era {
			h.table.Reset(f.store.snapshot(), era, f.now)
			h.era, h.applied = era, len(f.store.changes)
		}
		for _, change := range f.store.changes[h.applied:] {
			if f.mutation != hostsOnTheirOwn {
				_ = h.table.Apply(change, f.now) // the model writes valid entries only
			}
		}
		h.applied = len(f.store.changes)
		h.nextSync = f.now.Add(f.between(100*time.Millisecond, crashMaxSync))
	}
	if !f.now.Before(h.nextWrite) && f.mutation != localMemory {
		h.nextWrite = f.now.Add(crashRecordInterval)
		for _, write := range h.table.Writes(f.now) {
			f.commit(h, write)
		}
	}
}

// commit makes a write. Some calls are lost, some take effect late, of some the response is
// lost. It reports whether the host knows that the write took effect.
func (f *crashFleet) commit(h *crashHost, write crashguard.Write) bool {
	unknown := &kvstore.Error{Kind: kvstore.KindUnknownOutcome, Key: write.Key}
	switch f.random.IntN(20) {
	case 0:
		h.table.Finish(write, kvstore.Revision{}, unknown, f.now)
		return false
	case 1:
		f.after(f.between(0, 2*time.Second), func() { _ = f.store.commit([]kvstore.Write{write.Write}) })
		h.table.Finish(write, kvstore.Revision{}, unknown, f.now)
		return false
	case 2:
		_ = f.store.commit([]kvstore.Write{write.Write})
		h.table.Finish(write, kvstore.Revision{}, unknown, f.now)
		return false
	}
	err := f.store.commit([]kvstore.Write{write.Write})
	h.table.Finish(write, f.store.revision, err, f.now)
	return err == nil
}

// step advances the time. fatalRate and popularRate are requests per second.
func (f *crashFleet) step(fatalRate, popularRate float64) {
	f.now = f.now.Add(crashModelStep)
	f.store.now = f.now
	for _, do := range f.pending[f.now] {
		do()
	}
	delete(f.pending, f.now)
	for _, h := range f.hosts {
		f.run(h)
	}
	if f.random.Float64() < fatalRate*crashModelStep.Seconds() {
		f.request(f.fatal, true)
	}
	for rate := popularRate * crashModelStep.Seconds(); rate > 0; rate-- {
		if f.random.Float64() < rate {
			f.request(f.popular[f.random.IntN(len(f.popular))], false)
		}
	}
}

// request sends a request at a random host.
func (f *crashFleet) request(fingerprint crashguard.Fingerprint, fatal bool) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	if h.table == nil {
		return
	}
	sent := f.send(h, fingerprint, fatal, true)
	if !fatal {
		f.sent++
		if !sent {
			f.refused++
		}
	}
}

// send sends a request from a host to a random upstream. It returns false if the request is
// refused because of crashes.
func (f *crashFleet) send(h *crashHost, fingerprint crashguard.Fingerprint, fatal, first bool) bool {
	u := f.upstreams[f.random.IntN(len(f.upstreams))]
	if !u.running {
		return true
	}
	account := "b"
	if fatal {
		account = "a"
	}
	subject := h.table.Subject(fingerprint, account)
	decision, trial := h.table.Admit(subject, f.now), false
	switch decision.Verdict {
	case crashguard.Refused:
		return false
	case crashguard.Trial:
		if f.mutation != unclaimedTrials && !f.claim(h, subject) {
			return false
		}
		trial = true
		if fatal {
			f.trials++
		}
	}
	if fatal {
		f.arrivals = append(f.arrivals, crashArrival{at: f.now, inTouch: f.now.Sub(h.touchSince) >= crashRuleDelay})
		f.fatalArrived(fingerprint, f.now.Sub(h.touchSince) >= crashRuleDelay)
	}
	f.numbers++
	number := f.numbers
	table, retry := h.table, first && len(decision.Crashes) == 0
	crash := crashguard.Crash{Process: crashguard.Process{Upstream: u.name, Incarnation: u.process}, Request: fmt.Sprint(number), Trial: trial}
	u.ends[number] = func() {
		f.after(f.between(20*time.Millisecond, 300*time.Millisecond), func() { table.Crashed(fingerprint, account, crash, retry, f.now) })
		if retry && h.table == table {
			f.send(h, fingerprint, fatal, false)
		}
	}
	if fatal {
		work := f.between(20*time.Millisecond, 300*time.Millisecond)
		if f.random.IntN(10) == 0 {
			work += f.between(0, 2*time.Second) // it waited at the upstream
		}
		f.after(work, func() {
			if u.running && u.process == crash.Incarnation {
				f.crashes = append(f.crashes, f.now)
				f.fatals[fingerprint].crashes = append(f.fatals[fingerprint].crashes, f.now)
				f.crash(u)
			}
		})
		return true
	}
	f.after(600*time.Millisecond, func() {
		if _, running := u.ends[number]; running {
			delete(u.ends, number)
			table.Answered(fingerprint, account)
		}
	})
	return true
}

// crash ends the process of an upstream and all its requests. Another one starts later.
func (f *crashFleet) crash(u *crashUpstream) {
	if !u.running {
		return
	}
	u.running = false
	ends := u.ends
	u.ends = map[int]func(){}
	for _, number := range slices.Sorted(maps.Keys(ends)) {
		ends[number]()
	}
	f.after(3*time.Second, func() { u.running, u.process = true, u.process+1 })
}

// claim claims a trial. It reports whether the request may be sent.
func (f *crashFleet) claim(h *crashHost, fingerprint crashguard.Fingerprint) bool {
	write, ok := h.table.Claim(fingerprint, f.now)
	if !ok {
		return false
	}
	if !f.online(h) {
		h.table.Finish(write, kvstore.Revision{}, &kvstore.Error{Kind: kvstore.KindUnavailable}, f.now)
		return f.mutation == earlyTrials
	}
	if !f.commit(h, write) {
		return f.mutation == earlyTrials
	}
	if fingerprint == f.fatal {
		f.claims++
	}
	return true
}

// disturb restarts hosts, cuts them off from the store, or adds one.
func (f *crashFleet) disturb() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(5) {
	case 0:
		f.stop(h)
	case 1: // a fifth of the hosts
		for _, each := range f.hosts {
			if f.random.IntN(5) == 0 {
				f.stop(each)
			}
		}
	case 2:
		f.cut(h, f.between(time.Second, 15*time.Second))
	case 3:
		for _, each := range f.hosts {
			if f.random.IntN(5) == 0 {
				f.cut(each, f.between(time.Second, 15*time.Second))
			}
		}
	case 4:
		added := &crashHost{name: fmt.Sprintf("added-%d", f.numbers+len(f.hosts))}
		f.hosts = append(f.hosts, added)
		f.start(added)
	}
}

func (f *crashFleet) stop(h *crashHost) {
	h.table, h.startAt = nil, f.now.Add(f.between(200*time.Millisecond, 4*time.Second))
}

func (f *crashFleet) cut(h *crashHost, d time.Duration) {
	h.offlineUntil, h.touchSince = f.now.Add(d), f.now.Add(d)
}

// late returns the arrivals that count for the platform's bound.
func (f *crashFleet) late() int {
	slices.SortFunc(f.crashes, func(a, b boottime.Instant) int { return int(a - b) })
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, a := range f.arrivals {
		if a.inTouch && a.at > f.crashes[2].Add(crashRuleDelay) {
			n++
		}
	}
	return n
}

var (
	crashHistories = flag.Int("crash.histories", 60, "number of random histories of requests that crash upstreams")
	crashSeed      = flag.Uint64("crash.seed", 1, "seed of the first of these histories")
)

var crashFleetSizes = []int{8, 10, 83, 300}

// runCrashHistory runs two minutes of a fleet that is disturbed at random.
func runCrashHistory(seed uint64, mutation crashMutation) *crashFleet {
	f := newCrashFleet(crashFleetSizes[seed%4], seed, mutation)
	rate := []float64{2, 2, 6}[f.random.IntN(3)]
	interval := []int{50, 150, 400}[f.random.IntN(3)]
	for range 2 * time.Minute / crashModelStep {
		f.step(rate, 0)
		if f.random.IntN(interval) == 0 {
			f.disturb()
		}
	}
	return f
}

// Random histories of hosts that restart, join and lose the store while a request that
// crashes upstreams is repeated.
func TestCrashBoundHoldsThroughRestartsAndStaleViews(t *testing.T) {
	histories := *crashHistories
	if testing.Short() {
		histories = min(histories, 8)
	}
	most := 0
	for n := range histories {
		seed := *crashSeed + uint64(n)
		f := runCrashHistory(seed, noMutation)
		most = max(most, f.late())
		if late := f.late(); late > crashRuleArrivals {
			t.Errorf("seed %d, %d hosts: %d arrivals from hosts in touch later than %v after the third of %d crashes", seed, crashFleetSizes[seed%4], late, crashRuleDelay, len(f.crashes))
		}
		if f.trials > f.claims {
			t.Errorf("seed %d: %d trials for %d claims", seed, f.trials, f.claims)
		}
	}
	t.Logf("at most %d late arrivals", most)
}

// Each rule of the crash records is needed.
func TestCrashModelCatchesMutations(t *testing.T) {
	for _, mutation := range []crashMutation{hostsOnTheirOwn, unclaimedTrials, localMemory, earlyTrials} {
		t.Run(string(mutation), func(t *testing.T) {
			for seed := range uint64(40) {
				if f := runCrashHistory(seed, mutation); f.late() > crashRuleArrivals || f.trials > f.claims {
					return
				}
			}
			require.Fail(t, "not caught")
		})
	}
}

// Requests that crash nothing were refused because upstreams crashed for other causes.
func TestPopularRequestsAreServedWhileUpstreamsCrash(t *testing.T) {
	cases := []struct {
		name       string
		fatalRate  float64                            // requests per second
		crashes    func(at time.Duration, u int) bool // whether an upstream crashes for another cause
		maxRefused float64                            // of the requests
	}{
		{"beside a request that crashes upstreams", 2, func(time.Duration, int) bool { return false }, 0.01},
		{"a quarter of the upstreams crashes every 15 s", 0, func(at time.Duration, u int) bool { return at%(15*time.Second) == 0 && u%4 == 0 }, 0.01},
		{"an upstream crashes every 2 s", 0, func(at time.Duration, u int) bool {
			return at%(2*time.Second) == 0 && at/(2*time.Second)%12 == time.Duration(u)
		}, 0.01},
	}
	for _, c := range cases {
		for _, hosts := range crashFleetSizes {
			t.Run(fmt.Sprintf("%s, %d hosts", c.name, hosts), func(t *testing.T) {
				sent, refused := 0, 0
				for seed := range uint64(5) {
					f := newCrashFleet(hosts, seed, noMutation)
					for at := crashModelStep; at < time.Minute; at += crashModelStep {
						for i, u := range f.upstreams {
							if c.crashes(at, i) {
								f.crash(u)
							}
						}
						f.step(c.fatalRate, 60)
					}
					sent, refused = sent+f.sent, refused+f.refused
				}
				require.LessOrEqual(t, float64(refused), c.maxRefused*float64(sent), "refused of %d", sent)
				t.Logf("%d refused of %d", refused, sent)
			})
		}
	}
}

// fatalArrived records that a request that crashes upstreams reached one.
func (f *crashFleet) fatalArrived(fingerprint crashguard.Fingerprint, inTouch bool) {
	history := f.fatals[fingerprint]
	if history == nil {
		history = &fatalHistory{}
		f.fatals[fingerprint] = history
	}
	if inTouch && len(history.crashes) >= 3 && f.now > history.crashes[2].Add(crashRuleDelay) {
		history.late++
	}
}

// Beyond 32 different requests of an account that crash upstreams, their crashes were
// forgotten, and they reached upstreams again and again.
func TestCrashBoundHoldsForManyRequestsOfAnAccount(t *testing.T) {
	for seed, c := range []struct{ hosts, fatals int }{{3, 48}, {8, 48}, {8, 400}, {83, 48}} {
		t.Run(fmt.Sprintf("%d hosts, %d requests", c.hosts, c.fatals), func(t *testing.T) {
			f := newCrashFleet(c.hosts, uint64(seed), noMutation)
			for i := len(f.upstreams); i < 72; i++ {
				f.upstreams = append(f.upstreams, &crashUpstream{name: fmt.Sprintf("u-%d", i), running: true, ends: map[int]func(){}})
			}
			var fatals []crashguard.Fingerprint
			for i := range c.fatals {
				fatals = append(fatals, crashguard.NewFingerprint(crashguard.Identity{Account: "a", Target: fmt.Sprintf("/fatal/%d", i)}))
			}
			// A request comes every 40 ms.
			for n := range 90 * time.Second / (2 * crashModelStep) {
				f.step(0, 30)
				f.request(fatals[int(n)%len(fatals)], true)
				f.step(0, 30)
			}
			worst, over := 0, 0
			for _, history := range f.fatals {
				worst = max(worst, history.late)
				if history.late > crashRuleArrivals {
					over++
				}
			}
			records := 0
			for _, h := range f.hosts {
				n, _ := h.table.Len()
				records = max(records, n)
			}
			t.Logf("%d crashes, %d requests beyond the bound, the worst %d times; %d records; %d of %d requests of the other account refused", len(f.crashes), over, worst, records, f.refused, f.sent)
			require.LessOrEqual(t, worst, crashRuleArrivals, "late arrivals of one request")
			for _, h := range f.hosts {
				for _, popular := range f.popular {
					require.Equal(t, popular, h.table.Subject(popular, "b"), "a request of the other account shares no record")
				}
			}
			t.Run("other account", func(t *testing.T) {
				knownfailure.SkipIfListed(t)
				require.LessOrEqual(t, float64(f.refused), 0.01*float64(f.sent), "of the requests of the other account")
			})
		})
	}
}
