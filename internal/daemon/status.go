package daemon

import (
	"time"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/membership"
	"peridotrail/internal/steering"
	"peridotrail/internal/upstream"
)

// Ready reports whether the host has a configuration in force and shares of the
// limits.
func (h *Host) Ready() bool {
	return h.inForce.Current() != nil && h.controlPlane.admitter.Ready(time.Now())
}

// Status returns the state of the fleet as this host sees it.
func (h *Host) Status(now time.Time) api.StatusResponse {
	view := h.controlPlane.members.View()
	status := api.StatusResponse{
		Host:      h.self.ID,
		Time:      now,
		Members:   h.memberStatus(view),
		Leaders:   h.leaderStatus(view),
		Accounts:  h.accountStatus(now),
		Shifts:    h.shiftStatus(),
		BurnRates: h.controlPlane.burnTracker.LocalBurn(now),
	}
	if snapshot := h.inForce.Current(); snapshot != nil {
		loads := h.dataPlane.dispatcher.Loads()
		status.Revision = snapshot.Revision
		status.Digest = snapshot.Digest
		status.Upstreams = h.upstreamStatus(snapshot, loads)
		status.Drains = drainStatus(snapshot, loads, now)
	}
	return status
}

func (h *Host) memberStatus(view *membership.View) []api.Member {
	revisions := map[host.ID]configuration.Revision{}
	for _, digest := range view.Digests {
		revisions[digest.Identity.ID] = configuration.Revision(digest.Digest.ConfigurationRevision)
	}
	members := []api.Member{{
		ID: h.self.ID, FailureDomain: h.self.FailureDomain, Region: h.self.Region,
		State: h.controlPlane.selfState().String(), Revision: h.inForce.Revision(),
	}}
	for _, m := range view.Members {
		members = append(members, api.Member{
			ID: m.Identity.ID, FailureDomain: m.Identity.FailureDomain, Region: m.Identity.Region,
			State: m.State.String(), Revision: revisions[m.Identity.ID],
		})
	}
	return members
}

// leaderStatus returns the known domain leaders. The epoch is zero for a failure
// domain with which this host exchanges no digests.
func (h *Host) leaderStatus(view *membership.View) []api.Leader {
	epochs := map[string]uint64{}
	for _, digest := range view.Remote {
		epochs[digest.Domain] = digest.LeaderEpoch
	}
	if _, epoch, ok := h.controlPlane.leadership.Current(); ok {
		epochs[h.self.FailureDomain] = epoch
	}
	var leaders []api.Leader
	for _, domain := range view.Domains {
		if domain.Leader != "" {
			leaders = append(leaders, api.Leader{FailureDomain: domain.Domain, Host: domain.Leader, Epoch: epochs[domain.Domain]})
		}
	}
	return leaders
}

func (h *Host) accountStatus(now time.Time) []api.AccountShare {
	var shares []api.AccountShare
	for _, state := range h.controlPlane.admitter.States(now) {
		shares = append(shares, api.AccountShare{
			Account: state.Account, Rate: state.Share.Rate, Burst: state.Share.Burst, Tokens: state.Tokens,
			Admitted: state.Admitted, Refused: state.Refused,
		})
	}
	return shares
}

func (h *Host) shiftStatus() []api.ShiftProgress {
	var shifts []api.ShiftProgress
	for _, p := range steering.ReadShifts(h.controlPlane.distributor.State().List(steering.ShiftPrefix)) {
		if !p.Ended() {
			shifts = append(shifts, api.ShiftProgress{Name: p.Name, From: p.From, To: p.To, Moved: p.Moved, Goal: p.Goal})
		}
	}
	return shifts
}

func (h *Host) upstreamStatus(snapshot *configuration.Snapshot, loads []upstream.Load) []api.UpstreamUsage {
	services := map[string]string{}
	for _, u := range snapshot.Upstreams {
		services[u.Name] = u.Service
	}
	now := time.Now()
	var uses []api.UpstreamUsage
	for _, load := range loads {
		uses = append(uses, api.UpstreamUsage{
			Upstream: load.Upstream, Service: services[load.Upstream], Healthy: load.Serving,
			Slots: h.controlPlane.allotmentHolder.Slots(load.Upstream, now), InUse: load.InUse, Queued: load.Queued,
		})
	}
	return uses
}

// drainStatus returns the number of requests that this host still has at the upstreams
// of each drain that has started.
func drainStatus(snapshot *configuration.Snapshot, loads []upstream.Load, now time.Time) []api.DrainProgress {
	inUse := map[string]int{}
	for _, load := range loads {
		inUse[load.Upstream] = load.InUse
	}
	var drains []api.DrainProgress
	for _, drain := range snapshot.Drains {
		progress := api.DrainProgress{Name: drain.Name, Kind: drain.Kind, Target: drain.Target}
		for _, u := range snapshot.Upstreams {
			if !drain.Start.After(now) && drainCovers(snapshot, drain, u) {
				progress.RemainingRequests += inUse[u.Name]
			}
		}
		drains = append(drains, progress)
	}
	return drains
}

// drainCovers reports whether a drain includes an upstream.
func drainCovers(snapshot *configuration.Snapshot, drain configuration.Drain, u configuration.Upstream) bool {
	switch drain.Kind {
	case configuration.DrainUpstream:
		return drain.Target == u.Name
	case configuration.DrainFailureDomain:
		return drain.Target == u.FailureDomain
	case configuration.DrainRegion:
		domain := snapshot.Domain(u.FailureDomain)
		return domain != nil && drain.Target == domain.Region
	default:
		return false
	}
}
