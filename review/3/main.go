// Command rolling shows that a host that leaves spends its share of a tenant's rate beside the
// hosts that have taken the share over.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"peridotrail/platform/platformtest"
	"peridotrail/review/platform"
	"peridotrail/review/rig"
)

const (
	serviceHost = "places.example"
	key         = "key-of-clinic"

	rate            = 200.0 // of the tenant, requests per second
	burst           = 20.0
	quotaWindow     = 5 * time.Second
	quotaExcess     = 0.1
	quotaSlack      = 20.0
	usualRate       = rate / 1.6 // quota_x of the site
	hotTenant       = 7.5        // times the usual requests
	hotTime         = 6500 * time.Millisecond
	clientCount     = 36
	requestDeadline = 4 * time.Second

	// The store answers in 4 ms. It stands in ontario, 12 ms one way from the other regions.
	nearDelay = 4 * time.Millisecond
	farDelay  = nearDelay + 24*time.Millisecond

	lookupTTL = 2 * time.Second // of the answers of the directory

	beforeRestarts = 4 * time.Second
	afterRestarts  = 5 * time.Second
)

// zonesOfHosts places three hosts, one in each region.
var zonesOfHosts = []string{"toronto", "detroit", "cleveland"}

// arrivals collects when requests were sent, and when a worker ran them.
type arrivals struct {
	hot atomic.Bool // the tenant sends hotTenant times its usual

	mu   sync.Mutex // guards the fields below
	sent map[string]time.Time
	ran  map[string]time.Time
}

func main() {
	r := rig.New()
	a := &arrivals{sent: map[string]time.Time{}, ran: map[string]time.Time{}}
	store := platformtest.NewStore()
	r.OnEnd(store.Close)
	store.Put(platform.ConfigurationKey, platform.Configuration(3,
		[]platform.Route{{Name: "r-lookup", Host: serviceHost, Prefix: "/board/", Kind: platform.KindIdempotent, Service: "board", Timeout: 2 * time.Second}},
		[]string{"board"}, []platform.Tenant{{Name: "clinic", Keys: []string{key}, Rate: rate, Burst: burst}}))
	for i, zone := range zonesOfHosts {
		worker := platformtest.NewUpstream(fmt.Sprintf("i-%d", i))
		r.OnEnd(worker.Close)
		worker.SetHandler(func(w http.ResponseWriter, request *http.Request) {
			now, id := time.Now(), request.Header.Get(platform.HeaderID)
			a.mu.Lock()
			a.ran[id] = now
			a.mu.Unlock()
			r.NoteAt(now, "run %s by %s", id, worker.ID)
			worker.Succeed(w, request)
		})
		store.Put(platform.ServersPrefix+worker.ID, worker.Entry("board", zone, "ready", 32))
	}
	near, far := r.NewProxy(store.Address(), nearDelay), r.NewProxy(store.Address(), farDelay)
	var hosts []*rig.Host
	for i, zone := range zonesOfHosts {
		way := far
		if zone == "toronto" || zone == "hamilton" {
			way = near
		}
		hosts = append(hosts, r.Host(zone, i+1, way.Address()))
	}
	startAll(hosts)
	time.Sleep(3 * time.Second) // the hosts know each other

	stop, done := make(chan struct{}), make(chan struct{})
	go func() { a.load(r, newClients(hosts), stop); close(done) }()
	time.Sleep(beforeRestarts)
	a.hot.Store(true)
	r.Note("the tenant is hot")
	cool := time.AfterFunc(hotTime, func() { a.hot.Store(false) })
	defer cool.Stop()
	if rig.Trouble() {
		for _, h := range hosts {
			r.Note("%s gets SIGTERM", h.Name)
			h.Term()
			h.AwaitEnd(6 * time.Second) // the grace
			h.Start()
			h.AwaitReady(10 * time.Second)
		}
	}
	time.Sleep(afterRestarts)
	close(stop)
	<-done

	most, at := a.busiestWindow()
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	r.Finish(float64(most) > allowed, "%d requests of the tenant were sent and run within %v from %.3f s on; allowed %.0f", most, quotaWindow, r.Since(at), allowed)
}

func startAll(hosts []*rig.Host) {
	var all sync.WaitGroup
	for _, h := range hosts {
		all.Go(h.Start)
	}
	all.Wait()
	for _, h := range hosts {
		h.AwaitReady(10 * time.Second)
	}
}

// client is one of the tenant's clients, with what the directory told it.
type client struct {
	zone  string
	hosts []*rig.Host // the nearest first
	keeps time.Duration

	mu        sync.Mutex // guards the fields below
	addresses []string
	asked     time.Time
}

// newClients returns clients in all zones. A third of them keep an answer of the directory three
// times as long as it says.
func newClients(hosts []*rig.Host) []*client {
	var all []*client
	for i := range clientCount {
		n := i % len(hosts)
		c := &client{zone: zonesOfHosts[n], hosts: append(append([]*rig.Host{}, hosts[n:]...), hosts[:n]...), keeps: lookupTTL}
		if i%9 < 3 {
			c.keeps = 3 * lookupTTL
		}
		all = append(all, c)
	}
	return all
}

// address returns the address to which the client sends its next request, but not failed if it
// knows another one.
func (c *client) address(failed string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.asked) > c.keeps {
		c.asked = time.Now()
		for _, h := range c.hosts {
			if addresses := h.Addresses(c.zone); len(addresses) > 0 {
				c.addresses = addresses
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return c.hosts[0].Address()
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	if address == failed && len(c.addresses) == 1 {
		c.asked = time.Time{} // asks again before the next request
	}
	return address
}

// load sends the requests of the tenant.
func (a *arrivals) load(r *rig.Rig, clients []*client, stop chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for next := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		perSecond := usualRate
		if a.hot.Load() {
			perSecond *= hotTenant
		}
		next = next.Add(time.Duration(float64(time.Second) / perSecond))
		running.Go(func() { a.call(r, transport, clients[rand.IntN(len(clients))]) })
	}
}

// call sends one request and, if it was refused or found no host, sends it once more, as the
// clients of the small deployment do.
func (a *arrivals) call(r *rig.Rig, transport *http.Transport, c *client) {
	begin, failed := time.Now(), ""
	for try := range 2 {
		address, id, now := c.address(failed), rig.NewID(), time.Now()
		a.mu.Lock()
		a.sent[id] = now
		a.mu.Unlock()
		r.NoteAt(now, "send %s to %s", id, address)
		left := requestDeadline - now.Sub(begin)
		answer := r.Do(transport, rig.Request{Method: "GET", Address: address, Host: serviceHost, Target: "/board/1", Key: key, ID: id}, left)
		r.Note("answer %s %d", id, answer.Status)
		if try > 0 {
			return
		}
		switch {
		case answer.NoHost:
			failed = address
		case answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable:
			time.Sleep(min(answer.RetryAfter, (requestDeadline-time.Since(begin))/3))
		default:
			return
		}
	}
}

// busiestWindow returns the most requests that were both sent and run within one window, and
// when that window begins.
func (a *arrivals) busiestWindow() (most int, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, begin := range a.sent {
		n := 0
		for id, ran := range a.ran {
			if sent := a.sent[id]; !sent.Before(begin) && ran.Sub(begin) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, begin
		}
	}
	return most, at
}
