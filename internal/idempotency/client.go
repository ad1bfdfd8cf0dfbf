package idempotency

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
	"peridotrail/internal/invariant"
)

const (
	callTimeout       = time.Second // for one message to a keeper
	beginTries        = 2
	finishTries       = 3
	reportMargin      = 5 * time.Second // added to an attempt's timeout so that its end can be reported
	defaultRetryDelay = 20 * time.Millisecond
	finishTimeout     = 3 * time.Second
)

// KeeperError reports that the keeper of a key could not be reached or did not
// reply. An earlier attempt of the request may have run.
type KeeperError struct {
	Keeper string // host ID, or the failure domain that keeps a caller key
	Err    error  // nil if this host does not know the keeper's address
}

// Error implements error.
func (e *KeeperError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("idempotency keeper %q has no known address", e.Keeper)
	}
	return fmt.Sprintf("idempotency keeper %q: %v", e.Keeper, e.Err)
}

// Unwrap returns the error of the call to the keeper.
func (e *KeeperError) Unwrap() error { return e.Err }

// Client asks keepers on behalf of the requests of this host. Its exported fields
// are set before use; its methods are then safe for concurrent use.
type Client struct {
	Self  host.Identity
	Local *Service
	Calls fleet.Caller
	// FindHost returns the live process of a host, and false if none is known.
	FindHost func(id host.ID) (host.Identity, bool)
	// Leader returns the last known leader of a failure domain. If nil, Begin
	// returns a *KeeperError for caller keys.
	Leader func(domain string) (host.Identity, bool)
	// Domains returns the configured failure domains. If nil, Begin returns a
	// *KeeperError for caller keys.
	Domains func() Domains

	retryDelay time.Duration // between tries; zero means defaultRetryDelay
	sequence   atomic.Uint64
}

// Ticket is the permission to run one attempt. Finish must be called once, when
// the attempt has ended.
type Ticket struct {
	client   *Client
	keeper   host.Identity
	begin    Begin
	finished atomic.Bool
}

// Begin asks the keeper of key whether a request may run. remaining is the maximum
// time until the attempt ends. The ticket is nil unless the verdict is VerdictRun.
// Begin returns a *KeeperError if the keeper can't be reached; the request must not
// run then.
func (c *Client) Begin(ctx context.Context, account, key string, fingerprint Fingerprint, remaining time.Duration) (*Ticket, Decision, error) {
	keeper, err := c.keeperOf(account, key)
	if err != nil {
		return nil, Decision{}, err
	}
	b := Begin{
		Account:     account,
		Key:         key,
		Fingerprint: fingerprint,
		Attempt:     c.nextAttempt(),
		Timeout:     remaining + reportMargin,
	}
	decision, err := c.sendBegin(ctx, keeper, &b)
	if err != nil || decision.Verdict != VerdictRun {
		return nil, decision, err
	}
	return &Ticket{client: c, keeper: keeper, begin: b}, decision, nil
}

func (c *Client) nextAttempt() Attempt {
	return Attempt{Host: c.Self.ID, Incarnation: c.Self.Incarnation, Sequence: c.sequence.Add(1)}
}

// keeperOf returns the host that keeps the record of a key. It returns a
// *KeeperError if that host is not known.
func (c *Client) keeperOf(account, key string) (host.Identity, error) {
	if !IsIssued(key) {
		return c.callerKeyKeeperOf(account, key)
	}
	parsed, ok := parseIssuedKey(key)
	if !ok {
		return c.Self, nil // the local keeper returns VerdictInvalid
	}
	if holder, ok := c.Local.Keeper.holderOf(parsed.issuer()); ok {
		return holder, nil
	}
	if parsed.keeper == c.Self.ID {
		return c.Self, nil
	}
	keeper, ok := c.FindHost(parsed.keeper)
	if !ok {
		return host.Identity{}, &KeeperError{Keeper: string(parsed.keeper)}
	}
	return keeper, nil
}

// callerKeyKeeperOf returns the leader of the failure domain that keeps a caller
// key. It returns a *KeeperError if the leader is not known.
func (c *Client) callerKeyKeeperOf(account, key string) (host.Identity, error) {
	if c.Leader == nil || c.Domains == nil {
		return host.Identity{}, &KeeperError{}
	}
	domain := homeDomain(c.Domains().Names, account, key)
	leader, ok := c.Leader(domain)
	if !ok {
		return host.Identity{}, &KeeperError{Keeper: domain}
	}
	return leader, nil
}

// sendBegin sends Begin up to beginTries times until the keeper replies. Repeating it
// is safe: the keeper recognises the attempt, and only this call runs it.
func (c *Client) sendBegin(ctx context.Context, keeper host.Identity, b *Begin) (Decision, error) {
	if keeper.ID == c.Self.ID {
		return c.Local.Begin(b), nil
	}
	var decision Decision
	err := c.callWithRetries(ctx, beginTries, keeper, KindBegin, b, &decision)
	if err != nil {
		return Decision{}, &KeeperError{Keeper: string(keeper.ID), Err: err}
	}
	return decision, nil
}

// callWithRetries sends the message up to tries times until the keeper replies, and
// returns the last error. It stops early when ctx ends.
func (c *Client) callWithRetries(ctx context.Context, tries int, keeper host.Identity, kind fleet.Kind, message, reply any) error {
	var err error
	for attempt := range tries {
		if attempt > 0 && !c.pauseBeforeRetry(ctx) {
			return err
		}
		if err = c.call(ctx, keeper, kind, message, reply); err == nil {
			return nil
		}
	}
	return err
}

// pauseBeforeRetry waits for the delay between two tries. It returns false if ctx
// ends first.
func (c *Client) pauseBeforeRetry(ctx context.Context) bool {
	delay := c.retryDelay
	if delay == 0 {
		delay = defaultRetryDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// call sends the message once, with callTimeout.
func (c *Client) call(ctx context.Context, keeper host.Identity, kind fleet.Kind, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Calls.Call(ctx, keeper.Fleet, kind, message, reply)
}

// IsLocal reports whether this host is the keeper of the key.
func (t *Ticket) IsLocal() bool { return t.keeper.ID == t.client.Self.ID }

// Finish reports to the keeper how the attempt ended. It returns a *KeeperError if
// the keeper can't be reached; the keeper then returns VerdictUnknown for the key
// once the attempt's timeout has passed. Finish ignores the end of ctx and takes at
// most finishTimeout.
func (t *Ticket) Finish(ctx context.Context, result Result, response *Response) error {
	first := t.finished.CompareAndSwap(false, true)
	invariant.Check(first, invariant.AtMostOnce, "attempt %d finished twice", t.begin.Attempt.Sequence)
	f := Finish{Account: t.begin.Account, Key: t.begin.Key, Attempt: t.begin.Attempt, Result: result, Response: response}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if confirmed, err := t.sendFinish(ctx, t.keeper, &f); err == nil && confirmed.Matched {
		return nil
	}
	keeper, err := t.client.keeperOf(f.Account, f.Key) // the records may have moved to another host
	if err != nil {
		return err
	}
	_, err = t.sendFinish(ctx, keeper, &f)
	return err
}

// sendFinish sends the end of the attempt to a keeper, and retries up to
// finishTries times. It returns a *KeeperError.
func (t *Ticket) sendFinish(ctx context.Context, keeper host.Identity, f *Finish) (Finished, error) {
	if keeper.ID == t.client.Self.ID {
		return t.client.Local.Finish(f), nil
	}
	var confirmed Finished
	if err := t.client.callWithRetries(ctx, finishTries, keeper, KindFinish, f, &confirmed); err != nil {
		return Finished{}, &KeeperError{Keeper: string(keeper.ID), Err: err}
	}
	return confirmed, nil
}
