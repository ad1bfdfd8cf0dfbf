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

// One-way network delays of the deployments.
const (
	delayWithinDomain   = 100 * time.Microsecond
	delayBetweenRegions = 12 * time.Millisecond
	delayToClient       = 8 * time.Millisecond
)

// capacityFraction is the capacity of the upstreams over the sum of the rates of
// all client accounts.
const capacityFraction = 0.8

// deployment describes the fleet and the load of one user.
type deployment struct {
	name                string
	configuration       *configuration.Configuration
	hosts               []string // failure domain of each host
	delayBetweenDomains time.Duration
	serviceMix          map[string]float64 // fraction of requests by service
	regions             map[string]string  // region of each failure domain
}

// UnknownNameError reports a deployment, scenario or policy that does not exist.
type UnknownNameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name) }

// loadDeployment loads the configuration of a deployment from the examples folder.
// It gives each client account a known key and each group of callers a client block.
func loadDeployment(examples, name string) (*deployment, error) {
	d := &deployment{name: name}
	switch name {
	case "lakeshore":
		d.hosts = []string{"toronto", "hamilton", "detroit", "lansing", "cleveland", "toledo", "toronto", "hamilton", "detroit", "lansing"}
		d.delayBetweenDomains = 500 * time.Microsecond
		d.serviceMix = map[string]float64{"vacancy-board": 0.30, "booking-desk": 0.15, "records-archive": 0.35, "centre-directory": 0.20}
	case "vatulele":
		d.hosts = []string{"lautoka-a", "lautoka-b", "suva-a", "suva-b", "labasa-a", "labasa-b", "lautoka-a", "suva-a"}
		d.delayBetweenDomains = time.Millisecond
		d.serviceMix = map[string]float64{"slotboard": 0.35, "tally": 0.15, "gradebook": 0.30, "freshwatch": 0.20}
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
	d.setClientBlocks()
	for i := range loaded.ClientAccounts {
		account := &loaded.ClientAccounts[i]
		account.Keys = []configuration.Key{{ID: "measure", Digest: keyDigest(accountKey(account.Name))}}
	}
	return d, nil
}

// accountKey returns the key that callers of a client account use.
func accountKey(account string) string { return "measure-key-of-" + account }

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// capacity returns the requests per second that the upstreams can serve.
func (d *deployment) capacity() float64 {
	sum := 0.0
	for _, account := range d.configuration.ClientAccounts {
		sum += account.Rate
	}
	return sum * capacityFraction
}

// serviceTime returns the mean time for which a request of a service occupies a
// slot. It is such that the slots of the service just serve its fraction of capacity.
func (d *deployment) serviceTime(service string) time.Duration {
	slots := 0
	for _, u := range d.configuration.Upstreams {
		if u.Service == service {
			slots += u.Slots
		}
	}
	seconds := float64(slots) / (d.serviceMix[service] * d.capacity())
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

// setClientBlocks replaces the configured client blocks by one for each group of
// callers.
func (d *deployment) setClientBlocks() {
	d.configuration.ClientBlocks = nil
	for i, domain := range d.configuration.FailureDomains {
		domains := d.domainsByDistance(domain.Name)
		for group := range callerGroupsPerDomain {
			prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{172, 16 + byte(i), byte(group), 0}), 24)
			d.configuration.ClientBlocks = append(d.configuration.ClientBlocks, configuration.ClientBlock{Prefix: prefix, Domains: domains})
		}
	}
}

// domainsByDistance returns the failure domains, nearest first.
func (d *deployment) domainsByDistance(domain string) []string {
	var names []string
	for _, other := range d.configuration.FailureDomains {
		names = append(names, other.Name)
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(d.delay(domain, a), d.delay(domain, b)) })
	return names
}

// clientAddress returns an address in the client block of a group of callers.
func (d *deployment) clientAddress(group callerGroup) netip.Addr {
	for i, domain := range d.configuration.FailureDomains {
		if domain.Name == group.domain {
			return netip.AddrFrom4([4]byte{172, 16 + byte(i), byte(group.index), 1})
		}
	}
	return netip.IPv4Unspecified()
}
