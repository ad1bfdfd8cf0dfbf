package ctl

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// waiter waits for the confirmations of a revision.
type waiter struct {
	store kvstore.Store
	pause time.Duration
	now   func() time.Time
}

// wait returns nil when every failure domain that has live hosts has confirmed
// revision or a later one. When ctx ends first it returns a *UnconfirmedError
// with the domains and hosts that have not.
func (w waiter) wait(ctx context.Context, revision configuration.Revision, c *configuration.Configuration) error {
	start := w.now()
	pending := []PendingDomain{}
	for {
		latest, err := w.look(ctx, revision, c)
		if err == nil {
			pending = latest
			if len(pending) == 0 {
				return nil
			}
		}
		timer := time.NewTimer(w.pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &UnconfirmedError{Revision: revision, Waited: w.now().Sub(start), Domains: pending}
		}
	}
}

// look reads the confirmations and the platform's list of hosts once.
func (w waiter) look(ctx context.Context, revision configuration.Revision, c *configuration.Configuration) ([]PendingDomain, error) {
	entries, err := w.store.List(ctx, distribution.ConfirmationPrefix)
	if err != nil {
		return nil, err
	}
	hosts, err := w.store.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	return pendingDomains(revision, c, readConfirmations(entries), hosts), nil
}

func readConfirmations(entries []kvstore.Entry) map[string]distribution.Confirmation {
	confirmations := make(map[string]distribution.Confirmation, len(entries))
	for _, entry := range entries {
		var confirmation distribution.Confirmation
		if json.Unmarshal(entry.Value, &confirmation) != nil {
			continue // counts as not confirmed
		}
		domain := strings.TrimPrefix(entry.Key, distribution.ConfirmationPrefix)
		confirmations[domain] = confirmation
	}
	return confirmations
}

// pendingDomains lists the failure domains that have hosts in the platform's
// list, are not declared dead and have not confirmed revision.
func pendingDomains(revision configuration.Revision, c *configuration.Configuration, confirmations map[string]distribution.Confirmation, hosts []kvstore.HostRecord) []PendingDomain {
	listed := map[string][]host.ID{}
	for _, record := range hosts {
		if !record.Leaving {
			listed[record.FailureDomain] = append(listed[record.FailureDomain], host.ID(record.Name))
		}
	}
	var pending []PendingDomain
	for _, domain := range c.FailureDomains {
		confirmed := confirmations[domain.Name]
		if domain.Dead || len(listed[domain.Name]) == 0 || confirmed.Revision >= revision {
			continue
		}
		waiting := confirmed.Lagging
		if confirmed.Revision == 0 {
			waiting = listed[domain.Name]
		}
		waiting = slices.Clone(waiting)
		slices.Sort(waiting)
		pending = append(pending, PendingDomain{FailureDomain: domain.Name, Confirmed: confirmed.Revision, Hosts: waiting})
	}
	return pending
}
