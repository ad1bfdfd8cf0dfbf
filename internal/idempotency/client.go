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
	callTimeout  = time.Second // of one message to a keeper
	beginTries   = 2
	finishTries  = 3
	termMargin   = 5 * time.Second // added to an attempt's time for its report
	retryPause   = 20 * time.Millisecond
	finishBudget = 3 * time.Second
)

// KeeperError reports that the keeper of a key did not answer. The request of
// the key may have run before.
type KeeperError struct {
	Keeper string // host, or failure domain of an own key
	Err    error  // nil: this host does not know the keeper's address
}

// Error implements error.
func (e *KeeperError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("idempotency keeper %q is not known", e.Keeper)
	}
	return fmt.Sprintf("idempotency keeper %q: %v", e.Keeper, e.Err)
}

// Unwrap returns the failure of the message.
func (e *KeeperError) Unwrap() error { return e.Err }

// Client asks keepers on behalf of the requests of this host. Its fields are set
// before use.
type Client struct {
	Self  host.Identity
	Local *Service
	Calls fleet.Caller
	// Find returns the live process of a host, as far as it is known here.
	Find func(id host.ID) (host.Identity, bool)
	// Leader returns the host that leads a failure domain, as last heard. Nil:
	// own keys are unknown.
	Leader func(domain string) (host.Identity, bool)
	// Domains returns the configured failure domains. Nil: own keys are unknown.
	Domains func() Domains

	pause    time.Duration // between tries; retryPause if zero
	sequence atomic.Uint64
}

// Ticket is the right to run one attempt. Finish must be called.
type Ticket struct {
	client   *Client
	keeper   host.Identity
	begin    Begin
	finished atomic.Bool
}

// Begin asks the keeper of key whether a request may run. left is the time until
// the attempt ends. The ticket is not nil only for VerdictRun. It returns a
// *KeeperError if the keeper can't be asked; then the request must not run.
func (c *Client) Begin(ctx context.Context, account, key string, fingerprint Fingerprint, left time.Duration) (*Ticket, Decision, error) {
	keeper, err := c.keeperOf(account, key)
	if err != nil {
		return nil, Decision{}, err
	}
	b := Begin{
		Account:     account,
		Key:         key,
		Fingerprint: fingerprint,
		Attempt:     c.nextAttempt(),
		Term:        left + termMargin,
	}
	decision, err := c.ask(ctx, keeper, &b)
	if err != nil || decision.Verdict != VerdictRun {
		return nil, decision, err
	}
	return &Ticket{client: c, keeper: keeper, begin: b}, decision, nil
}

func (c *Client) nextAttempt() Attempt {
	return Attempt{Host: c.Self.ID, Incarnation: c.Self.Incarnation, Sequence: c.sequence.Add(1)}
}

func (c *Client) keeperOf(account, key string) (host.Identity, error) {
	if !IsIssued(key) {
		return c.leaderOf(account, key)
	}
	parsed, ok := parseIssued(key)
	if !ok {
		return c.Self, nil // found invalid by the local keeper
	}
	if to, ok := c.Local.Keeper.whereabouts(parsed.book()); ok {
		return to, nil
	}
	if parsed.keeper == c.Self.ID {
		return c.Self, nil
	}
	keeper, ok := c.Find(parsed.keeper)
	if !ok {
		return host.Identity{}, &KeeperError{Keeper: string(parsed.keeper)}
	}
	return keeper, nil
}

func (c *Client) leaderOf(account, key string) (host.Identity, error) {
	if c.Leader == nil || c.Domains == nil {
		return host.Identity{}, &KeeperError{}
	}
	domain := home(c.Domains().Names, account, key)
	leader, ok := c.Leader(domain)
	if !ok {
		return host.Identity{}, &KeeperError{Keeper: domain}
	}
	return leader, nil
}

// ask sends the same Begin until it is answered. A repetition is safe: the
// keeper recognises the attempt, and only this call runs it.
func (c *Client) ask(ctx context.Context, keeper host.Identity, b *Begin) (Decision, error) {
	if keeper.ID == c.Self.ID {
		return c.Local.Begin(b), nil
	}
	var decision Decision
	err := c.try(ctx, beginTries, keeper, KindBegin, b, &decision)
	if err != nil {
		return Decision{}, &KeeperError{Keeper: string(keeper.ID), Err: err}
	}
	return decision, nil
}

func (c *Client) try(ctx context.Context, tries int, keeper host.Identity, kind fleet.Kind, message, reply any) error {
	var err error
	for attempt := range tries {
		if attempt > 0 && !c.wait(ctx) {
			return err
		}
		if err = c.call(ctx, keeper, kind, message, reply); err == nil {
			return nil
		}
	}
	return err
}

// wait pauses between two tries. It reports false if ctx has ended.
func (c *Client) wait(ctx context.Context) bool {
	d := c.pause
	if d == 0 {
		d = retryPause
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Client) call(ctx context.Context, keeper host.Identity, kind fleet.Kind, message, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Calls.Call(ctx, keeper.Fleet, kind, message, reply)
}

// IsLocal reports whether this host is the keeper.
func (t *Ticket) IsLocal() bool { return t.keeper.ID == t.client.Self.ID }

// Finish tells the keeper how the attempt ended. It returns a *KeeperError if
// the keeper did not confirm; the key then stays unknown. It goes on after ctx
// has ended, for at most a few seconds.
func (t *Ticket) Finish(ctx context.Context, result Result, answer *Answer) error {
	first := t.finished.CompareAndSwap(false, true)
	invariant.Check(first, invariant.AtMostOnce, "attempt %d finished twice", t.begin.Attempt.Sequence)
	f := Finish{Account: t.begin.Account, Key: t.begin.Key, Attempt: t.begin.Attempt, Result: result, Answer: answer}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishBudget)
	defer cancel()
	if confirmed, err := t.report(ctx, t.keeper, &f); err == nil && confirmed.Known {
		return nil
	}
	keeper, err := t.client.keeperOf(f.Account, f.Key) // the book may have moved
	if err != nil {
		return err
	}
	_, err = t.report(ctx, keeper, &f)
	return err
}

// report sends the end of the attempt to a keeper.
func (t *Ticket) report(ctx context.Context, keeper host.Identity, f *Finish) (Finished, error) {
	if keeper.ID == t.client.Self.ID {
		return t.client.Local.Finish(f), nil
	}
	var confirmed Finished
	if err := t.client.try(ctx, finishTries, keeper, KindFinish, f, &confirmed); err != nil {
		return Finished{}, &KeeperError{Keeper: string(keeper.ID), Err: err}
	}
	return confirmed, nil
}
