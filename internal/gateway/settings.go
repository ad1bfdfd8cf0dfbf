package gateway

import (
	"sync/atomic"
	"time"
)

// Settings are the static settings of one host.
type Settings struct {
	Host          string
	FailureDomain string
	Region        string
	Regions       map[string]string // region of each failure domain

	ListenCallers string // IP:port for requests
	ListenReady   string // IP:port for the readiness check
	ListenLookups string // IP:port for look-ups
	ListenPeers   string // IP:port for questions of other hosts, over UDP and TCP
	ListenLoads   string // IP:port for datagrams about load

	MetricsPort uint16 // of /metrics on the address for callers; zero: none

	MemoryLimit int64 // bytes; zero: no limit

	Grace              time.Duration // from SIGTERM until the process must have ended
	PolicyDelay        time.Duration // from the acceptance of a policy until it is in force
	KeyAge             time.Duration // from the withdrawal of a key to its last use, at most
	LookupLifetimeMost time.Duration // of a look-up answer
	LeastLeaseTTL      time.Duration // that the store grants

	RepeatRatio  float64       // requests sent to a second upstream, for each request of a service
	RepeatSlack  float64       // further ones, over all hosts together
	RepeatWindow time.Duration // over which both are counted

	ColdExcess float64 // factor on the rate that a cold upstream bears
	ColdSlack  float64 // requests a second beyond it
	MaxShift   float64 // share of a region's requests that may change their region in 2 s
}

// DefaultSettings returns the values that apply where a deployment is silent.
func DefaultSettings() Settings {
	return Settings{
		Grace:              10 * time.Second,
		PolicyDelay:        2 * time.Second,
		KeyAge:             5 * time.Second,
		LookupLifetimeMost: 5 * time.Second,
		LeastLeaseTTL:      time.Second,
		RepeatRatio:        0.1,
		RepeatSlack:        10,
		RepeatWindow:       10 * time.Second,
		ColdExcess:         1,
		MaxShift:           0.15,
	}
}

const (
	// proofPart is the part of KeyAge after which a new proof is sought that the
	// keys are current. It leaves time for one call that fails and its repetition.
	proofPart = 0.48
	// batchPart is the part of the time to put a policy in force that changes
	// gather before they are read.
	batchPart = 0.2
	// proofMargin is the part of KeyAge kept for the way to the upstream.
	proofMargin = 400 * time.Millisecond
	// hostLeaseTTL is how long a dead host stays registered.
	hostLeaseTTL = 3 * time.Second
	// hostRenewal leaves time for a renewal without an answer and two repetitions
	// before the lease ends.
	hostRenewal = 1100 * time.Millisecond
	// lookupLifetime is short against the time after which a dead host must not be
	// named any more.
	lookupLifetime = 2 * time.Second
	// fairPart is kept of every limit that hosts share, for the time in which
	// they differ in their count of hosts.
	fairPart = 0.85
	// shiftPart is the part of the bound on shifts that hosts use, since each sees
	// only its own requests.
	shiftPart = 0.75
	// lateCredit is the worth of a late answer against that of a punctual one.
	lateCredit = 0.2
	// crossDomain and crossRegion are the worth that each kilobyte must gain that
	// crosses: the links are shared by all traffic.
	crossDomain = 0.03
	crossRegion = 0.03
	// regionRoundTrip is the usual time to another region and back.
	regionRoundTrip = 24 * time.Millisecond
)

// part returns a part of a time.
func part(of time.Duration, share float64) time.Duration { return time.Duration(float64(of) * share) }

// liveSettings holds the settings in force, which a reload replaces.
type liveSettings struct{ current atomic.Pointer[Settings] }

func newLiveSettings(s Settings) *liveSettings {
	live := &liveSettings{}
	live.current.Store(&s)
	return live
}

// get returns the settings in force. They must not be changed.
func (l *liveSettings) get() *Settings { return l.current.Load() }

// replace puts new settings in force. What a running host can't change stays: its
// name, its place and its listeners. It reports whether any of these differed.
func (l *liveSettings) replace(s Settings) (identityDiffers bool) {
	old := l.get()
	identityDiffers = s.Host != old.Host || s.FailureDomain != old.FailureDomain || s.Region != old.Region ||
		s.ListenCallers != old.ListenCallers || s.ListenReady != old.ListenReady || s.ListenLookups != old.ListenLookups || s.ListenPeers != old.ListenPeers || s.ListenLoads != old.ListenLoads
	s.Host, s.FailureDomain, s.Region = old.Host, old.FailureDomain, old.Region
	s.ListenCallers, s.ListenReady, s.ListenLookups = old.ListenCallers, old.ListenReady, old.ListenLookups
	s.ListenPeers, s.ListenLoads = old.ListenPeers, old.ListenLoads
	l.current.Store(&s)
	return identityDiffers
}
