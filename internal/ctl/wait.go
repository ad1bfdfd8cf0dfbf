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

// confirmationWaiter waits until the live hosts have confirmed a revision.
type confirmationWaiter struct {
	store        kvstore.Store
	pollInterval time.Duration
	now          func() time.Time
}

// wait returns nil when every failure domain that has live hosts has confirmed
// revision or a later one. It polls the store and tries again after an error. When
// ctx ends first, it returns an *UnconfirmedError with the domains and hosts of the
// last successful poll that have not confirmed.
func (w confirmationWaiter) wait(ctx context.Context, revision configuration.Revision, c *configuration.Configuration) error {
	start := w.now()
	pending := []PendingDomain{}
	for {
		current, err := w.readPending(ctx, revision, c)
		if err == nil {
			pending = current
			if len(pending) == 0 {
				return nil
			}
		}
		timer := time.NewTimer(w.pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &UnconfirmedError{Revision: revision, Waited: w.now().Sub(start), Domains: pending}
		}
	}
}

// readPending reads the confirmations and the platform's list of hosts once and
// returns the failure domains that have not confirmed revision.
func (w confirmationWaiter) readPending(ctx context.Context, revision configuration.Revision, c *configuration.Configuration) ([]PendingDomain, error) {
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

// readConfirmations returns the confirmations by failure domain.
func readConfirmations(entries []kvstore.Entry) map[string]distribution.Confirmation {
	confirmations := make(map[string]distribution.Confirmation, len(entries))
	for _, entry := range entries {
		var confirmation distribution.Confirmation
		if json.Unmarshal(entry.Value, &confirmation) != nil {
			continue // treat an undecodable value as no confirmation
		}
		domain := strings.TrimPrefix(entry.Key, distribution.ConfirmationPrefix)
		confirmations[domain] = confirmation
	}
	return confirmations
}

// pendingDomains returns the failure domains that have not confirmed revision. It
// skips domains that are declared dead and those without hosts in the platform's
// list; hosts that are leaving are ignored.
func pendingDomains(revision configuration.Revision, c *configuration.Configuration, confirmations map[string]distribution.Confirmation, hosts []kvstore.HostRecord) []PendingDomain {
	hostsByDomain := map[string][]host.ID{}
	for _, record := range hosts {
		if !record.Leaving {
			hostsByDomain[record.FailureDomain] = append(hostsByDomain[record.FailureDomain], host.ID(record.Name))
		}
	}
	var pending []PendingDomain
	for _, domain := range c.FailureDomains {
		confirmed := confirmations[domain.Name]
		if domain.Dead || len(hostsByDomain[domain.Name]) == 0 || confirmed.Revision >= revision {
			continue
		}
		unconfirmedHosts := confirmed.Lagging
		if confirmed.Revision == 0 {
			unconfirmedHosts = hostsByDomain[domain.Name]
		}
		unconfirmedHosts = slices.Clone(unconfirmedHosts)
		slices.Sort(unconfirmedHosts)
		pending = append(pending, PendingDomain{FailureDomain: domain.Name, Confirmed: confirmed.Revision, Hosts: unconfirmedHosts})
	}
	return pending
}
