package storelinks

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotrail/platform/platformtest"
)

const (
	policyHost    = "app.example"
	serviceA      = "svc-a"
	serviceB      = "svc-b"
	serviceHeader = "X-Service"
	baseKey       = "key-of-clinic"
)

// policy is one version of the policy: the service of the route /moved/, the routes /added-N/
// and the keys key-N that it has, the homes, and a number of further routes.
type policy struct {
	version      int
	moved        string
	routes, keys map[int]bool
	homes        homes
	bulk         int
}

// next returns a copy with the next version.
func (p policy) next() policy {
	p.version++
	p.routes, p.keys = maps.Clone(p.routes), maps.Clone(p.keys)
	return p
}

func (p policy) text() string {
	d := platformtest.PolicyDocument{Version: p.version, Services: []string{serviceA, serviceB}, Keys: []string{baseKey}}
	route := func(prefix, service string) {
		d.Routes = append(d.Routes, platformtest.PolicyRoute{Host: policyHost, Prefix: prefix, Service: service})
	}
	route("/kept/", serviceA)
	route("/moved/", p.moved)
	p.homes.addTo(&d)
	for n := range p.routes {
		route(fmt.Sprintf("/added-%d/", n), serviceA)
	}
	for n := range p.bulk {
		route(fmt.Sprintf("/bulk-%d/", n), serviceA)
	}
	for n := range p.keys {
		d.Keys = append(d.Keys, fmt.Sprintf("key-%d", n))
	}
	return d.Text()
}

// probe is one request.
type probe struct {
	path string
	key  string
	n    int // of the route or key, zero for /moved/
}

// outcome returns what a version makes of a probe: a service, or a status as text.
func (p policy) outcome(q probe) string {
	switch {
	case q.key != baseKey && !p.keys[q.n]:
		return "401"
	case strings.HasPrefix(q.path, "/added-") && !p.routes[q.n]:
		return "404"
	case strings.HasPrefix(q.path, "/moved/"):
		return p.moved
	}
	return serviceA
}

// acknowledged is a version with the times of its write.
type acknowledged struct {
	policy
	sent, acked time.Time
}

// judge records the versions and judges responses.
type judge struct {
	mu       sync.Mutex // guards the fields below
	versions []acknowledged
	judged   int
	other    int // neither served nor 401 or 404
	late     map[string][]string
}

// newest returns the newest version.
func (j *judge) newest() policy {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.versions[len(j.versions)-1].policy
}

// put writes a version to the store.
func (j *judge) put(p policy, write func(text string)) {
	j.mu.Lock()
	j.versions = append(j.versions, acknowledged{policy: p, sent: time.Now(), acked: time.Now().Add(time.Hour)})
	n := len(j.versions) - 1
	j.mu.Unlock()
	write(p.text())
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions[n].acked = time.Now()
}

// inForce returns the versions by which a host may decide between two instants: each from its write until
// policyDelay after the acknowledgement of the next one.
func (j *judge) inForce(from, to time.Time) []policy {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []policy
	for i, v := range j.versions {
		replaced := i+1 < len(j.versions) && from.Sub(j.versions[i+1].acked) > policyDelay
		if !v.sent.After(to) && !replaced {
			found = append(found, v.policy)
		}
	}
	return found
}

// judge checks a response to a request sent at an instant: it must be what the newest version
// acknowledged policyDelay before, or a newer one, says. Refusals that promise nothing about the
// policy are counted only.
func (j *judge) judge(h *host, q probe, sent time.Time, status int, service string) {
	ended := time.Now()
	got := service
	if status == http.StatusNotFound || status == http.StatusUnauthorized {
		got = fmt.Sprint(status)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if got == "" {
		j.other++
		return
	}
	j.judged++
	base := 0
	for i, v := range j.versions {
		if sent.Sub(v.acked) > policyDelay {
			base = i
		}
	}
	for _, v := range j.versions[base:] {
		if !v.sent.After(ended) && v.outcome(q) == got {
			return
		}
	}
	if j.late == nil {
		j.late = map[string][]string{}
	}
	newest := j.versions[base]
	j.late[h.name] = append(j.late[h.name], fmt.Sprintf("%s %s %s: %s, but version %d was acknowledged %v before", sent.Format("05.000"), q.path, q.key, got, newest.version, sent.Sub(newest.acked).Round(time.Millisecond)))
}

// lateHosts returns the number of late responses of each host with an example.
func (j *judge) lateHosts() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var lines []string
	for name, late := range j.late {
		lines = append(lines, fmt.Sprintf("%s: %d late, first %s; last %s", name, len(late), late[0], late[len(late)-1]))
	}
	return lines
}
