package daemon

import (
	"time"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/membership"
)

// Ready reports whether the host has a configuration in force and shares of the
// limits.
func (h *Host) Ready() bool {
	return h.inForce.Current() != nil && h.state.admitter.Ready(time.Now())
}

// Status returns the state of the fleet as this host sees it.
func (h *Host) Status(now time.Time) api.StatusAnswer {
	view := h.state.members.View()
	answer := api.StatusAnswer{
		Host:    h.self.ID,
		Time:    now,
		Members: h.memberStatus(view),
		Leaders: leaderStatus(view),
	}
	if snapshot := h.inForce.Current(); snapshot != nil {
		answer.Revision = snapshot.Revision
		answer.Digest = snapshot.Digest
		answer.Upstreams = h.upstreamStatus(snapshot)
	}
	return answer
}

func (h *Host) memberStatus(view *membership.View) []api.Member {
	revisions := map[host.ID]configuration.Revision{}
	for _, digest := range view.Digests {
		revisions[digest.Identity.ID] = configuration.Revision(digest.Digest.ConfigurationRevision)
	}
	members := []api.Member{{
		ID: h.self.ID, FailureDomain: h.self.FailureDomain, Region: h.self.Region,
		State: h.state.ownState().String(), Revision: h.inForce.Revision(),
	}}
	for _, m := range view.Members {
		members = append(members, api.Member{
			ID: m.Identity.ID, FailureDomain: m.Identity.FailureDomain, Region: m.Identity.Region,
			State: m.State.String(), Revision: revisions[m.Identity.ID],
		})
	}
	return members
}

func leaderStatus(view *membership.View) []api.Leader {
	var leaders []api.Leader
	for _, domain := range view.Domains {
		if domain.Leader != "" {
			leaders = append(leaders, api.Leader{FailureDomain: domain.Domain, Host: domain.Leader})
		}
	}
	return leaders
}

func (h *Host) upstreamStatus(snapshot *configuration.Snapshot) []api.UpstreamUse {
	services := map[string]string{}
	for _, u := range snapshot.Configuration.Upstreams {
		services[u.Name] = u.Service
	}
	now := time.Now()
	var uses []api.UpstreamUse
	for _, load := range h.front.dispatcher.Loads() {
		uses = append(uses, api.UpstreamUse{
			Upstream: load.Upstream, Service: services[load.Upstream],
			Slots: h.state.capacity.Slots(load.Upstream, now), InUse: load.InUse,
		})
	}
	return uses
}
