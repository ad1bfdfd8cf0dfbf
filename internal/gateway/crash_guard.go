package gateway

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"peridotrail/internal/boottime"
	"peridotrail/internal/catalog"
	"peridotrail/internal/crashguard"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/problem"
)

const (
	// crashRecordInterval is the time between two checks for crashes to record.
	crashRecordInterval = 100 * time.Millisecond
	// crashCallTimeout limits one write of a crash record.
	crashCallTimeout = 1 * time.Second
	// claimTimeout limits the claim of a trial, for which a request waits.
	claimTimeout = 400 * time.Millisecond
)

// crashPhase says where a request stands with respect to crashes of upstreams.
type crashPhase struct {
	suspected bool                   // an upstream had crashed under the request before it arrived
	trial     bool                   // the request is sent as a trial
	progress  *requestProgress       // set when a connection of the request has ended
	crashes   []crashguard.Crash     // for the log of a refusal
	identity  crashguard.Fingerprint // see exchange.fingerprint
	known     bool                   // identity is set
}

// fingerprint returns the fingerprint of the request. It must not be called after the
// payload was released.
func (x *exchange) fingerprint() crashguard.Fingerprint {
	if !x.crash.known {
		body, whole := x.payload.Prefix()
		x.crash.identity = crashguard.NewFingerprint(crashguard.Identity{
			Account: x.accountName(), Method: x.request.Method, Host: x.request.Host, Target: x.request.RequestURI, Body: body, Partial: !whole,
		})
		x.crash.known = true
	}
	return x.crash.identity
}

// crashSubject returns the fingerprint of the crash record that decides about the request.
func (x *exchange) crashSubject() crashguard.Fingerprint {
	return x.gateway.state.crashes.Subject(x.fingerprint(), x.accountName())
}

// accountName returns the name of the client account, empty if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// checkCrashes refuses a request under which several upstreams have crashed, unless a trial
// is due.
func (x *exchange) checkCrashes() *problem.Problem {
	table := x.gateway.state.crashes
	x.crash.trial = false
	if table.Empty() {
		return nil
	}
	decision := table.Admit(x.crashSubject(), boottime.Now())
	x.crash.suspected = x.crash.suspected || len(decision.Crashes) > 0 && x.crash.progress == nil
	switch decision.Verdict {
	case crashguard.Refused:
		return x.refuseFatal(decision)
	case crashguard.Trial:
		x.crash.trial = true
	}
	return nil
}

// refuseFatal returns the problem for a request under which upstreams have crashed.
func (x *exchange) refuseFatal(decision crashguard.Decision) *problem.Problem {
	x.gateway.metrics.countFatalRequest("refused")
	x.crash.crashes = decision.Crashes
	detail := fmt.Sprintf("%d upstreams crashed while they ran this request", len(decision.Crashes))
	if x.mayHaveRun {
		return x.outcomeUnknown(detail)
	}
	return notRunProblem(problem.TypeOverloaded, detail).WithRetryAfter(decision.RetryAfter)
}

// claimTrial claims the trial that is due for a request, so that no other host sends it
// at the same time. It returns the problem to respond with if that fails.
func (x *exchange) claimTrial(ctx context.Context) *problem.Problem {
	table := x.gateway.state.crashes
	if write, ok := table.Claim(x.crashSubject(), boottime.Now()); ok {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		err := x.gateway.writeCrashRecord(call, write)
		cancel()
		if err == nil {
			x.gateway.metrics.countFatalRequest("trial")
			return nil
		}
	}
	decision := table.Admit(x.crashSubject(), boottime.Now())
	if decision.RetryAfter == 0 {
		decision.RetryAfter = otherHostRetryAfter
	}
	return x.refuseFatal(decision)
}

// mayRetryAfterCrash reports whether a request that got no response may be sent to another
// upstream: not if it has crashed one before, or if this was a trial.
func (x *exchange) mayRetryAfterCrash(attempt attemptOutcome) bool {
	return !x.crash.trial && !(x.crash.suspected && attempt.result == resultUnknown)
}

// connectionEnded finds out whether an upstream crashed whose connection ended before the
// response was complete. Upstreams that leave end connections too.
func (x *exchange) connectionEnded(upstream catalog.Upstream) {
	if x.gateway.state.pool.Leaving(upstream.ID) {
		return
	}
	if x.crash.progress == nil {
		x.crash.progress = &requestProgress{}
	}
	x.gateway.crashes.broken(upstream, brokenRequest{fingerprint: x.fingerprint(), account: x.accountName(), id: x.call.ID, trial: x.crash.trial, progress: x.crash.progress})
}

// completed records that an upstream sent a complete response.
func (x *exchange) completed() {
	if x.crash.progress != nil {
		x.crash.progress.answered.Store(true)
	}
	if table := x.gateway.state.crashes; !table.Empty() {
		table.Answered(x.fingerprint(), x.accountName())
	}
}

// settled records that the request is sent to no further upstream.
func (x *exchange) settled() {
	if x.crash.progress != nil {
		x.crash.progress.settled.Store(true)
		x.gateway.state.crashes.Settled(x.fingerprint(), x.accountName(), boottime.Now())
	}
}

// reportCrash records, counts and logs the result of a probe, for each request whose
// connection ended.
func (g *Gateway) reportCrash(upstream catalog.Upstream, verdict crashVerdict, requests []brokenRequest) {
	for _, request := range requests {
		g.metrics.countCrashVerdict(verdict)
		if verdict == verdictCrashed && !request.progress.answered.Load() {
			crash := crashguard.Crash{Process: crashguard.Process{Upstream: upstream.ID, Incarnation: upstream.Incarnation}, Request: request.id, Trial: request.trial}
			if !g.state.crashes.Crashed(request.fingerprint, request.account, crash, !request.progress.settled.Load(), boottime.Now()) {
				g.metrics.countFatalRequest("shared")
			}
		}
		if g.logLimiter.allow(false) {
			_ = level.Info(g.logger).Log("event", "connection ended", "request", request.id, "fingerprint", request.fingerprint, "account", request.account,
				"upstream", upstream.ID, "service", upstream.Service, "domain", upstream.FailureDomain, "verdict", string(verdict))
		}
	}
}

// recordCrashes writes crash records to the store until ctx ends.
func (g *Gateway) recordCrashes(ctx context.Context) {
	every(ctx, crashRecordInterval, func() {
		if g.state.crashes.Empty() {
			return
		}
		for _, write := range g.state.crashes.Writes(boottime.Now()) {
			call, cancel := context.WithTimeout(ctx, crashCallTimeout)
			err := g.writeCrashRecord(call, write)
			cancel()
			if err != nil && !kvstore.IsKind(err, kvstore.KindConflict) {
				return // the store is out of reach; the others are due again
			}
		}
	})
}

// writeCrashRecord makes one write of a crash record.
func (g *Gateway) writeCrashRecord(ctx context.Context, write crashguard.Write) error {
	revision, err := g.store.Commit(ctx, []kvstore.Write{write.Write})
	g.state.crashes.Finish(write, revision, err, boottime.Now())
	if !g.logLimiter.allow(false) {
		return err
	}
	if err != nil {
		_ = level.Info(g.logger).Log("event", "crash record not written", "key", write.Key, "deleted", write.Delete, "err", err)
		return err
	}
	_ = level.Info(g.logger).Log("event", "crash record written", "key", write.Key, "deleted", write.Delete, "entry", string(write.Value), "revision", revision)
	return nil
}

// resetCrashes replaces the crash records.
func (s *state) resetCrashes(entries []kvstore.Entry, era kvstore.Era, now boottime.Instant) {
	var records []kvstore.Entry
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, crashguard.Prefix) {
			records = append(records, entry)
		}
	}
	for _, err := range s.crashes.Reset(records, era, now) {
		_ = level.Warn(s.logger).Log("event", "crash record rejected", "key", "", "revision", kvstore.Revision{}, "err", err)
	}
}

// applyCrash applies a change of a crash record.
func (s *state) applyCrash(entry kvstore.Entry, now boottime.Instant) {
	if err := s.crashes.Apply(entry, now); err != nil {
		_ = level.Warn(s.logger).Log("event", "crash record rejected", "key", entry.Key, "revision", entry.Revision, "err", err)
	}
}
