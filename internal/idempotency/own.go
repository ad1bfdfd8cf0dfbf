package idempotency

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
)

const (
	// OwnRetention is the time for which a caller's own key is remembered, and
	// the quarantine after an event that may have lost records.
	OwnRetention = 5 * time.Minute
	// MaxStaleness bounds how long ago the configuration of a keeper of own
	// keys was confirmed as current. It is shorter than OwnRetention, so that a
	// keeper that is cut off stops before a new home leaves its quarantine.
	MaxStaleness = time.Minute

	ownRecords      = 50_000
	ownAnswerBytes  = 8 << 20
	observeInterval = 500 * time.Millisecond
)

// Tenure is the time for which one process leads a failure domain.
type Tenure struct {
	Epoch    uint64 // grows from tenure to tenure
	Previous uint64 // epoch of the tenure before; zero if there was none or it is not known
	First    bool   // the failure domain had no leader before
}

// Leadership tells whether this host leads its failure domain.
type Leadership interface {
	// Held returns the tenure under which this host surely leads at now.
	Held(now time.Time) (tenure Tenure, ok bool)
}

// OwnKeeper keeps the records of keys that callers made up, while its host leads
// its failure domain. A key's home is one of the configured failure domains. It
// is safe for concurrent use.
//
// Records are lost with the leader, and a change of the configured failure
// domains moves keys. After either, a key without a record is unknown for
// OwnRetention. So a request runs at most once within OwnRetention of its first
// attempt.
type OwnKeeper struct {
	self       host.Identity
	now        Clock
	leadership Leadership
	domains    func() Domains

	mu        sync.Mutex // guards the fields below; never held across I/O
	records   *records
	term      ownTerm
	closed    uint64 // epoch that was handed over
	inherited inheritance
}

// ownTerm is what decides whether a key without a record is certainly unused. It
// is a pure state; time is passed in.
type ownTerm struct {
	epoch      uint64
	quarantine time.Time // end of the quarantine of all keys
	revision   configuration.Revision
	names      []string // failure domains in force
	past       []pastDomains
}

type pastDomains struct {
	names []string
	until time.Time // end of the quarantine of keys that were at home elsewhere
}

// NewOwnKeeper returns the keeper of the process self.
func NewOwnKeeper(self host.Identity, now Clock, leadership Leadership, domains func() Domains) *OwnKeeper {
	return &OwnKeeper{
		self:       self,
		now:        now,
		leadership: leadership,
		domains:    domains,
		records:    newRecords(ownRecords, ownAnswerBytes),
	}
}

// Begin decides whether an attempt may run. It is unknown unless this host leads
// the key's home by the failure domains that it knows itself.
func (k *OwnKeeper) Begin(b *Begin) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	domains := k.domains()
	if !k.enter(now, domains) || !domains.Fresh {
		return Decision{Verdict: VerdictUnknown}
	}
	if home(domains.Names, b.Account, b.Key) != k.self.FailureDomain {
		return Decision{Verdict: VerdictUnknown}
	}
	fresh := k.term.fresh(now, k.self.FailureDomain, b.Account, b.Key)
	return k.records.begin(now, b, now.Add(OwnRetention+b.Term), fresh)
}

// enter notes the epoch and the failure domains in force. It reports whether
// this host may decide. The caller holds mu.
func (k *OwnKeeper) enter(now time.Time, domains Domains) bool {
	tenure, held := k.leadership.Held(now)
	if !held || tenure.Epoch == k.closed || domains.Revision == 0 {
		return false
	}
	if tenure.Epoch != k.term.epoch && tenure.Previous != k.term.epoch && k.inherited.follows(tenure) {
		k.inherit()
	}
	k.term.observe(now, tenure, domains)
	return true
}

// Finish records the end of an attempt, also after the leadership ended.
func (k *OwnKeeper) Finish(f *Finish) Finished {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records.finish(k.now(), f)
}

// Observe notes the epoch and the failure domains in force, so that a quarantine
// begins at the event and not at the next request.
func (k *OwnKeeper) Observe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.enter(k.now(), k.domains())
}

// Run observes until ctx ends.
func (k *OwnKeeper) Run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		k.Observe()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// observe takes over a new tenure or a new list of failure domains. Nothing is
// lost under the first leader and the first configuration, nor if the tenure
// before was this process's own or was handed over. A revision that was missed
// may have listed other domains.
func (t *ownTerm) observe(now time.Time, tenure Tenure, domains Domains) {
	first := t.epoch == 0 && tenure.First && domains.Revision == 1
	follows := t.epoch != 0 && (tenure.Epoch == t.epoch || tenure.Previous == t.epoch)
	missed := t.epoch != 0 && domains.Revision > t.revision+1
	if !first && (!follows || missed) {
		t.quarantine = now.Add(OwnRetention)
	}
	t.epoch = tenure.Epoch
	if t.names != nil && !sameNames(t.names, domains.Names) {
		t.past = append(t.past, pastDomains{names: t.names, until: now.Add(OwnRetention)})
	}
	t.names = domains.Names
	t.revision = domains.Revision
	t.past = slices.DeleteFunc(t.past, func(p pastDomains) bool { return !now.Before(p.until) })
}

// fresh reports whether a key without a record has certainly not been used
// within OwnRetention.
func (t *ownTerm) fresh(now time.Time, domain, account, key string) bool {
	if now.Before(t.quarantine) {
		return false
	}
	for _, p := range t.past {
		if home(p.names, account, key) != domain {
			return false
		}
	}
	return true
}
