package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"peridotrail/internal/configuration"
)

// Delays of the deployments, one way.
const (
	delayWithinDomain   = 100 * time.Microsecond
	delayBetweenRegions = 12 * time.Millisecond
	delayToClient       = 8 * time.Millisecond
)

// capacityShare is the capacity of the upstreams over the sum of all rates.
const capacityShare = 0.8

// deployment is one user's fleet.
type deployment struct {
	name                string
	configuration       *configuration.Configuration
	hosts               []string // failure domain of each host
	delayBetweenDomains time.Duration
	mix                 map[string]float64 // share of requests by service
	regions             map[string]string  // region of each failure domain
}

// UnknownNameError reports a deployment, scenario or policy that does not exist.
type UnknownNameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

func loadDeployment(examples, name string) (*deployment, error) {
	d := &deployment{name: name}
	switch name {
	case "lakeshore":
		d.hosts = []string{"toronto", "hamilton", "detroit", "lansing", "cleveland", "toledo", "toronto", "hamilton", "detroit", "lansing"}
		d.delayBetweenDomains = 500 * time.Microsecond
		d.mix = map[string]float64{"vacancy-board": 0.30, "booking-desk": 0.15, "records-archive": 0.35, "centre-directory": 0.20}
	case "vatulele":
		d.hosts = []string{"lautoka-a", "lautoka-b", "suva-a", "suva-b", "labasa-a", "labasa-b", "lautoka-a", "suva-a"}
		d.delayBetweenDomains = time.Millisecond
		d.mix = map[string]float64{"slotboard": 0.35, "tally": 0.15, "gradebook": 0.30, "freshwatch": 0.20}
	default:
		return nil, &UnknownNameError{Kind: "deployment", Name: name}
	}
	loaded, err := configuration.LoadFolder(os.DirFS(filepath.Join(examples, name)))
	if err != nil {
		return nil, err
	}
	d.configuration = loaded
	d.regions = map[string]string{}
	for _, domain := range loaded.FailureDomains {
		d.regions[domain.Name] = domain.Region
	}
	d.splitBlocks()
	for i := range loaded.ClientAccounts {
		account := &loaded.ClientAccounts[i]
		account.Keys = []configuration.Key{{ID: "measure", Digest: digestOf(keyOf(account.Name))}}
	}
	return d, nil
}

// keyOf returns the key that callers of an account use in this run.
func keyOf(account string) string { return "measure-key-of-" + account }

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// capacity returns the requests per second that the upstreams can serve.
func (d *deployment) capacity() float64 {
	sum := 0.0
	for _, account := range d.configuration.ClientAccounts {
		sum += account.Rate
	}
	return sum * capacityShare
}

// serviceTime returns the mean time that a request of a service occupies a slot.
func (d *deployment) serviceTime(service string) time.Duration {
	slots := 0
	for _, u := range d.configuration.Upstreams {
		if u.Service == service {
			slots += u.Slots
		}
	}
	seconds := float64(slots) / (d.mix[service] * d.capacity())
	return time.Duration(seconds * float64(time.Second))
}

// delay returns the one-way delay between two failure domains.
func (d *deployment) delay(from, to string) time.Duration {
	switch {
	case from == to:
		return delayWithinDomain
	case d.regions[from] == d.regions[to]:
		return d.delayBetweenDomains
	default:
		return delayBetweenRegions
	}
}

// splitBlocks replaces the client blocks by one for each group of callers.
func (d *deployment) splitBlocks() {
	d.configuration.ClientBlocks = nil
	for i, domain := range d.configuration.FailureDomains {
		domains := d.nearest(domain.Name)
		for group := range callerGroups {
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{172, 16 + byte(i), byte(group), 0}), 24)
			d.configuration.ClientBlocks = append(d.configuration.ClientBlocks, configuration.ClientBlock{Prefix: prefix, Domains: domains})
		}
	}
}

// nearest returns the failure domains in the order of their distance.
func (d *deployment) nearest(domain string) []string {
	var names []string
	for _, other := range d.configuration.FailureDomains {
		names = append(names, other.Name)
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(d.delay(domain, a), d.delay(domain, b)) })
	return names
}

// clientAddress returns an address of a group of callers.
func (d *deployment) clientAddress(at place) netip.Addr {
	for i, domain := range d.configuration.FailureDomains {
		if domain.Name == at.domain {
			return netip.AddrFrom4([4]byte{172, 16 + byte(i), byte(at.group), 1})
		}
	}
	return netip.IPv4Unspecified()
}
