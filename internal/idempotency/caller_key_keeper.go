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
	// CallerKeyRetention is the minimum time for which the record of a caller key
	// is kept, and the length of the quarantine after an event that may have lost
	// records.
	CallerKeyRetention = 5 * time.Minute
	// MaxStaleness is the maximum time since a keeper of caller keys confirmed its
	// configuration as current. It is shorter than CallerKeyRetention, so that a
	// keeper that is partitioned from the other hosts stops deciding before a new
	// home domain of its keys leaves its quarantine.
	MaxStaleness = time.Minute

	maxCallerKeyRecords       = 50_000
	maxCallerKeyResponseBytes = 8 << 20
	observeInterval           = 500 * time.Millisecond
)

// LeadershipTerm is one period during which a process leads a failure domain.
type LeadershipTerm struct {
	Epoch    uint64 // increases from term to term
	Previous uint64 // epoch of the previous term; zero if there was none or it is not known
	First    bool   // whether the failure domain had no leader before
}

// Leadership reports whether this host leads its failure domain.
type Leadership interface {
	// Held returns the term in which this host leads at the time now. ok is false
	// if it is not certain that the host leads.
	Held(now time.Time) (term LeadershipTerm, ok bool)
}

// CallerKeyKeeper keeps the records of caller keys while its host leads its failure
// domain. Each key belongs to one of the configured failure domains, its home
// domain. CallerKeyKeeper is safe for concurrent use.
//
// Records are lost when the leader crashes, and a change of the configured failure
// domains gives keys another home domain. After either event there is a quarantine
// of CallerKeyRetention, in which a key without a record gets VerdictUnknown. So a
// request runs at most once within CallerKeyRetention of its first attempt.
type CallerKeyKeeper struct {
	self       host.Identity
	now        Clock
	leadership Leadership
	domains    func() Domains

	mu              sync.Mutex // guards the fields below; never held across I/O
	records         *recordTable
	quarantine      quarantineState
	handedOverEpoch uint64 // epoch of the term whose records were handed over
	received        receivedHandover
}

// quarantineState determines whether a key without a record is certainly unused.
// Callers pass in the time. It is not safe for concurrent use.
type quarantineState struct {
	epoch           uint64
	allKeysUntil    time.Time // end of the quarantine of all keys
	revision        configuration.Revision
	names           []string // failure domains in force
	previousDomains []supersededDomains
}

// supersededDomains is a list of failure domains that was in force before.
type supersededDomains struct {
	names []string
	until time.Time // end of the quarantine of keys whose home domain was another one under names
}

// NewCallerKeyKeeper returns the keeper of caller keys of the process self.
func NewCallerKeyKeeper(self host.Identity, now Clock, leadership Leadership, domains func() Domains) *CallerKeyKeeper {
	return &CallerKeyKeeper{
		self:       self,
		now:        now,
		leadership: leadership,
		domains:    domains,
		records:    newRecordTable(maxCallerKeyRecords, maxCallerKeyResponseBytes),
	}
}

// Begin decides whether an attempt may run. It returns VerdictUnknown unless this
// host leads the key's home domain according to its own view of the failure
// domains, and that view is fresh.
func (k *CallerKeyKeeper) Begin(b *Begin) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	domains := k.domains()
	if !k.updateQuarantine(now, domains) || !domains.Fresh {
		return Decision{Verdict: VerdictUnknown}
	}
	if homeDomain(domains.Names, b.Account, b.Key) != k.self.FailureDomain {
		return Decision{Verdict: VerdictUnknown}
	}
	unused := k.quarantine.certainlyUnused(now, k.self.FailureDomain, b.Account, b.Key)
	return k.records.begin(now, b, now.Add(CallerKeyRetention+b.Timeout), unused)
}

// updateQuarantine applies the current term and the failure domains in force to the
// quarantine, after a received handover if it belongs to the previous term. It
// reports whether this host leads and has a configuration. The caller holds mu.
func (k *CallerKeyKeeper) updateQuarantine(now time.Time, domains Domains) bool {
	term, held := k.leadership.Held(now)
	if !held || term.Epoch == k.handedOverEpoch || domains.Revision == 0 {
		return false
	}
	if term.Epoch != k.quarantine.epoch && term.Previous != k.quarantine.epoch && k.received.isCompleteFor(term) {
		k.applyHandover()
	}
	k.quarantine.update(now, term, domains)
	return true
}

// Finish records how an attempt ended, even if this host no longer leads.
func (k *CallerKeyKeeper) Finish(f *Finish) Finished {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records.finish(k.now(), f)
}

// Observe checks the current term and the failure domains in force, so that a
// quarantine starts when they change and not only at the next request.
func (k *CallerKeyKeeper) Observe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.updateQuarantine(k.now(), k.domains())
}

// Run calls Observe at regular intervals until ctx ends.
func (k *CallerKeyKeeper) Run(ctx context.Context) {
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

// update applies a leadership term and a list of failure domains. It starts a
// quarantine of all keys if records may have been lost. None are lost in the first
// term with the first configuration, nor if this process holds the records of the
// previous term, its own or handed over. A configuration revision that this host
// missed may have listed other domains, so it also starts a quarantine.
func (q *quarantineState) update(now time.Time, term LeadershipTerm, domains Domains) {
	firstTerm := q.epoch == 0 && term.First && domains.Revision == 1
	continuous := q.epoch != 0 && (term.Epoch == q.epoch || term.Previous == q.epoch)
	missedRevision := q.epoch != 0 && domains.Revision > q.revision+1
	if !firstTerm && (!continuous || missedRevision) {
		q.allKeysUntil = now.Add(CallerKeyRetention)
	}
	q.epoch = term.Epoch
	if q.names != nil && !sameNames(q.names, domains.Names) {
		q.previousDomains = append(q.previousDomains, supersededDomains{names: q.names, until: now.Add(CallerKeyRetention)})
	}
	q.names = domains.Names
	q.revision = domains.Revision
	q.previousDomains = slices.DeleteFunc(q.previousDomains, func(p supersededDomains) bool { return !now.Before(p.until) })
}

// certainlyUnused reports whether it is certain that a key without a record was not
// used within CallerKeyRetention. domain is the key's home domain.
func (q *quarantineState) certainlyUnused(now time.Time, domain, account, key string) bool {
	if now.Before(q.allKeysUntil) {
		return false
	}
	for _, p := range q.previousDomains {
		if homeDomain(p.names, account, key) != domain {
			return false
		}
	}
	return true
}
