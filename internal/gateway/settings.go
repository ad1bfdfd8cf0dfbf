package gateway

import (
	"maps"
	"sync/atomic"
	"time"
)

// Settings are the settings of one host, from the platform's settings file.
type Settings struct {
	Host          string
	FailureDomain string
	Region        string
	Regions       map[string]string // region by failure domain

	ListenCallers     string // IP:port for requests of callers
	ListenReady       string // IP:port for the readiness check
	ListenLookups     string // IP:port for look-ups
	ListenPeers       string // IP:port for other hosts, over UDP and TCP
	ListenLoadReports string // IP:port for load reports of other hosts, over UDP; empty: none
	ListenRelays      string // IP:port for requests that other hosts relay, over QUIC; empty: none

	MetricsPort uint16 // port of /metrics on the IP of ListenCallers; zero: none

	MemoryLimit    int64 // bytes; zero: hostbudget.DefaultMemory
	MaxDescriptors int   // zero: hostbudget.DefaultDescriptors

	Grace        time.Duration // from SIGTERM until the process must have ended
	PolicyDelay  time.Duration // from the acceptance of a policy until all hosts must apply it
	KeyAge       time.Duration // longest time from the withdrawal of a key to its last use
	MaxLookupTTL time.Duration // of look-up responses
	MinLeaseTTL  time.Duration // shortest lease that the store grants

	RetryRatio  float64       // retries per request of a service
	RetrySlack  float64       // retries beyond RetryRatio in each window, of all hosts together
	RetryWindow time.Duration // over which requests and retries are counted

	ColdExcess float64 // factor on the rate that the policy allows for a cold upstream
	ColdSlack  float64 // requests per second beyond that rate
	MaxShift   float64 // share of a region's requests that may move to another region within 2 s
}

// bodyMemory returns the number of bytes that request bodies may take beyond their first
// buffers.
func (s Settings) bodyMemory() int64 {
	if s.MemoryLimit <= 0 {
		return defaultBodyMemory
	}
	return int64(float64(s.MemoryLimit) * bodyMemoryFraction)
}

// DefaultSettings returns the values of settings that a deployment does not set.
func DefaultSettings() Settings {
	return Settings{
		Grace:        10 * time.Second,
		PolicyDelay:  2 * time.Second,
		KeyAge:       5 * time.Second,
		MaxLookupTTL: 5 * time.Second,
		MinLeaseTTL:  time.Second,
		RetryRatio:   0.1,
		RetrySlack:   10,
		RetryWindow:  10 * time.Second,
		ColdExcess:   1,
		MaxShift:     0.15,
	}
}

const (
	// proofIntervalFraction is the age of the last proof that the keys are current at
	// which the host obtains a new one, as a fraction of KeyAge. It leaves time for
	// one failed call and its retry.
	proofIntervalFraction = 0.48
	// batchDelayFraction is the pause between two reads of changes, in which changes
	// are batched, as a fraction of PolicyDelay.
	batchDelayFraction = 0.2
	// keyAgeMargin is subtracted from KeyAge to leave time for a request to reach
	// the upstream.
	keyAgeMargin = 400 * time.Millisecond
	// hostLeaseTTL is how long a host that crashed stays registered.
	hostLeaseTTL = 3 * time.Second
	// hostLeaseRenewInterval leaves time for a renewal that times out and two retries
	// before the lease expires.
	hostLeaseRenewInterval = 1100 * time.Millisecond
	// lookupTTL is short compared with the time within which look-ups must stop
	// returning a host that crashed.
	lookupTTL = 2 * time.Second
	// sharedLimitFraction is the fraction of each shared limit that the hosts use
	// together. The rest is a margin for the time in which hosts see different
	// numbers of hosts.
	sharedLimitFraction = 0.85
	// coldLimitWindow is the time over which the requests to a cold upstream are
	// limited.
	coldLimitWindow = 1 * time.Second
	// shareInterval is the time between two checks for shares to claim.
	shareInterval = 200 * time.Millisecond
	// shareCallTimeout limits one claim of shares.
	shareCallTimeout = 1 * time.Second
	// maxShiftFraction is the fraction of MaxShift that a host uses. The rest is a
	// margin, since each host sees only its own requests.
	maxShiftFraction = 0.75
	// lateScore is the value of a late response relative to a response on time.
	lateScore = 0.2
	// crossDomainCost and crossRegionCost are the costs of each kilobyte sent to
	// another failure domain or region, relative to the value of a response on time.
	// The links between them are shared by all traffic.
	crossDomainCost = 0.03
	crossRegionCost = 0.03
	// bodyMemoryFraction is the fraction of the memory limit that request bodies may take.
	bodyMemoryFraction = 0.125
	// defaultBodyMemory applies without a memory limit, in bytes.
	defaultBodyMemory = 32 << 20
	// regionRoundTrip is the usual round-trip time between regions.
	regionRoundTrip = 24 * time.Millisecond
)

// scale returns d multiplied by factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// liveSettings holds the current settings, which a reload replaces. get is safe for
// concurrent use; replace must not be called concurrently with itself.
type liveSettings struct{ current atomic.Pointer[Settings] }

func newLiveSettings(s Settings) *liveSettings {
	live := &liveSettings{}
	live.current.Store(&s)
	return live
}

// get returns the current settings. The caller must not modify them.
func (l *liveSettings) get() *Settings { return l.current.Load() }

// replace replaces the settings except those that a running host can't change: its
// name, failure domain, region and listen addresses. It reports whether any of
// these differed.
func (l *liveSettings) replace(s Settings) (identityDiffers bool) {
	old := l.get()
	identityDiffers = s.Host != old.Host || s.FailureDomain != old.FailureDomain || s.Region != old.Region ||
		s.ListenCallers != old.ListenCallers || s.ListenReady != old.ListenReady || s.ListenLookups != old.ListenLookups || s.ListenPeers != old.ListenPeers || s.ListenLoadReports != old.ListenLoadReports ||
		s.ListenRelays != old.ListenRelays
	s.Host, s.FailureDomain, s.Region = old.Host, old.FailureDomain, old.Region
	s.ListenCallers, s.ListenReady, s.ListenLookups = old.ListenCallers, old.ListenReady, old.ListenLookups
	s.ListenPeers, s.ListenLoadReports, s.ListenRelays = old.ListenPeers, old.ListenLoadReports, old.ListenRelays
	l.current.Store(&s)
	return identityDiffers
}

// allRegions returns the region of each failure domain, that of this host included.
func (s Settings) allRegions() map[string]string {
	regions := maps.Clone(s.Regions)
	if regions == nil {
		regions = map[string]string{}
	}
	regions[s.FailureDomain] = s.Region
	return regions
}

// leaseTTL returns how long the lease of this host's registration lasts after a renewal.
func (s Settings) leaseTTL() time.Duration { return max(hostLeaseTTL, s.MinLeaseTTL) }
