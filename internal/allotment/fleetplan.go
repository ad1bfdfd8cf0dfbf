package allotment

import (
	"cmp"
	"math"
	"slices"

	"peridotrail/internal/invariant"
)

// Parameters of the division of an account among failure domains.
const (
	demandChangeFraction = 0.25 // of the published demand; smaller changes are not published
	demandChangeMinimum  = 0.02 // of the account's rate; smaller changes are not published
	minDomainBurst       = 4.0  // smallest useful burst of a domain's share, in requests
	domainEqualFraction  = 0.25 // of the rate, divided equally; the rest is divided by demand
	maxRebalanceFraction = 0.3  // of a share, given up at most in one step because of demand
	excessMarginFraction = 0.02 // of a share, given up in addition to the excess over the limit
)

// Account is a configured client account.
type Account struct {
	Name  string
	Limit Share // rate and burst over all hosts
}

// FleetPlanInput is the input of a domain leader's plan for one document.
type FleetPlanInput struct {
	Domain           string
	Epoch            uint64    // epoch of the leadership
	Generation       uint64    // generation of the domain's record
	Revision         uint64    // revision of the leader's configuration
	Accounts         []Account // configured accounts that belong to this document
	Domains          []string  // configured failure domains that are not marked dead
	Dead             []string  // configured failure domains that are marked dead
	Generations      map[string]uint64
	FloorFraction    float64 // fraction of a domain's share that is its floor, from 0 to 1
	ExtraShareUsable bool    // the lease of the domain's record outlasts a host's lease
	Rebalance        bool    // shares may shrink to follow the demand
	// Demand returns the requests per second that callers in the domain want.
	Demand func(account string) float64
	// InEffect reports whether it is certain that the hosts of the domain use no more
	// than limit.
	InEffect func(account string, limit Share) bool
}

// FleetPlan is the plan for the next version of a document.
type FleetPlan struct {
	Document   FleetDocument
	Changed    bool
	Superseded bool // a newer leader of the domain wrote the document
	// Caps limit the domain's use of each account from now on. A reduction is written
	// to the document once the hosts are within the cap.
	Caps map[string]Share
}

// Plan decides what the leader of a domain writes next. It changes only the
// domain's own shares, and removes shares that have certainly ended.
func (d *FleetDocument) Plan(in FleetPlanInput) FleetPlan {
	plan := FleetPlan{Document: d.clone(), Caps: map[string]Share{}}
	if d.Epoch(in.Domain) > in.Epoch {
		plan.Superseded = true
		return plan
	}
	p := planner{in: in, plan: &plan}
	if d.Epoch(in.Domain) < in.Epoch {
		plan.Document.setEpoch(in.Domain, in.Epoch)
		plan.Changed = true
	}
	p.applyConfiguration()
	for i := range plan.Document.Accounts {
		p.planAccount(&plan.Document.Accounts[i])
	}
	p.deleteEmptyAccounts()
	return plan
}

type planner struct {
	in   FleetPlanInput
	plan *FleetPlan
}

// applyConfiguration adds new accounts and updates the targets of changed or removed
// ones.
func (p *planner) applyConfiguration() {
	document := &p.plan.Document
	for _, account := range p.in.Accounts {
		if a := document.Account(account.Name); a != nil {
			p.setTarget(a, account.Limit)
			continue
		}
		document.Accounts = append(document.Accounts, p.newAccount(account))
		p.plan.Changed = true
	}
	for i := range document.Accounts {
		a := &document.Accounts[i]
		configured := slices.ContainsFunc(p.in.Accounts, func(o Account) bool { return o.Name == a.Account })
		if !configured {
			p.setTarget(a, Share{})
		}
	}
}

// newAccount divides a new account equally among the domains, as floors. If the burst
// is too small for that, fewer domains get a share.
func (p *planner) newAccount(account Account) FleetAccount {
	a := FleetAccount{Account: account.Name, Revision: p.in.Revision, Target: account.Limit, InForce: account.Limit}
	shares := divideRate(account.Limit, make([]claim, len(p.in.Domains)), domainEqualFraction, minDomainBurst)
	for i, domain := range p.in.Domains {
		a.Domains = append(a.Domains, DomainShare{Domain: domain, Floor: shares[i]})
	}
	return a
}

// setTarget applies a changed limit from a newer configuration. A higher limit is in
// force at once, before any share grows; a lower one once all shares have shrunk.
func (p *planner) setTarget(a *FleetAccount, target Share) {
	if p.in.Revision <= a.Revision || a.Target == target {
		return
	}
	a.Revision = p.in.Revision
	a.Target = target
	a.InForce = a.InForce.Max(target)
	p.plan.Changed = true
}

// planAccount plans the next version of one account.
func (p *planner) planAccount(a *FleetAccount) {
	p.dropExpiredShares(a)
	own := a.Domain(p.in.Domain)
	p.publishDemand(a, &own)
	wanted := p.wantedShare(a, own)
	p.shrink(a, &own, wanted)
	p.grow(a, &own, wanted)
	if own != a.Domain(p.in.Domain) {
		a.setDomain(own)
		a.Revision = max(a.Revision, p.in.Revision)
		p.plan.Changed = true
	}
	p.lowerInForce(a)
	live := a.Live()
	invariant.Check(live.Within(a.InForce), invariant.RateWithinLimit,
		"account %s: shares of failure domains %+v exceed %+v", a.Account, live, a.InForce)
}

// dropExpiredShares removes extra shares of fenced generations and all shares of dead
// domains. A leader whose configuration is older than that of the account's last
// writer does not remove shares of dead domains.
func (p *planner) dropExpiredShares(a *FleetAccount) {
	for i := range a.Domains {
		share := &a.Domains[i]
		if !share.Extra.IsZero() && share.Generation < p.in.Generations[share.Domain] {
			share.Extra = Share{}
			p.plan.Changed = true
		}
		dead := p.in.Revision >= a.Revision && slices.Contains(p.in.Dead, share.Domain)
		if dead && !share.Total().IsZero() {
			*share = DomainShare{Domain: share.Domain}
			p.plan.Changed = true
		}
	}
}

// publishDemand updates the domain's published demand if it has changed considerably.
func (p *planner) publishDemand(a *FleetAccount, own *DomainShare) {
	demand := p.in.Demand(a.Account)
	threshold := math.Max(demandChangeFraction*own.Demand, demandChangeMinimum*a.Target.Rate)
	if math.Abs(demand-own.Demand) > threshold {
		own.Demand = demand
	}
}

// wantedShare returns the share that the domain should have by the demand of all
// domains. It is empty if the domain is dead or not configured.
func (p *planner) wantedShare(a *FleetAccount, own DomainShare) Share {
	if !slices.Contains(p.in.Domains, p.in.Domain) {
		return Share{}
	}
	claims := make([]claim, 0, len(p.in.Domains))
	position := 0
	for i, domain := range p.in.Domains {
		demand := a.Domain(domain).Demand
		if domain == p.in.Domain {
			demand = own.Demand
			position = i
		}
		claims = append(claims, claim{demand: demand, current: a.Domain(domain).Total()})
	}
	return divideRate(a.Target, claims, domainEqualFraction, minDomainBurst)[position]
}

// shrink reduces the domain's share in two steps: first the cap, which applies to the
// hosts, and once the hosts are within the cap, the share in the document.
func (p *planner) shrink(a *FleetAccount, own *DomainShare, wanted Share) {
	current := own.Total()
	limit := current.Min(p.shareCap(a, current, wanted))
	p.plan.Caps[a.Account] = limit
	if limit == current || !p.in.InEffect(a.Account, limit) {
		return
	}
	if p.in.ExtraShareUsable {
		own.split(limit, p.in.FloorFraction, p.in.Generation)
		return
	}
	own.shrinkExtraFirst(limit)
}

// shareCap returns the cap for the domain's share.
func (p *planner) shareCap(a *FleetAccount, current, wanted Share) Share {
	live := a.Live()
	if !live.Within(a.Target) {
		return wanted.Min(p.withoutExcess(a, current, live))
	}
	negligible := current.near(wanted, current, resizeFraction) || current.near(wanted, a.Target, resizeMinimum)
	if negligible || !p.in.Rebalance && !wanted.IsZero() {
		return current
	}
	if wanted.IsZero() {
		return wanted
	}
	return wanted.Max(current.Scale(1 - maxRebalanceFraction)).Min(current)
}

// withoutExcess returns the current share minus slightly more than the domain's
// portion of the excess, so that a few steps remove the excess even if some domain
// is silent.
func (p *planner) withoutExcess(a *FleetAccount, current, live Share) Share {
	factor := func(target, sum float64) float64 {
		if sum <= target {
			return 1
		}
		return math.Max(target/sum-excessMarginFraction, 0)
	}
	return Share{
		Rate:  current.Rate * factor(a.Target.Rate, live.Rate),
		Burst: current.Burst * factor(a.Target.Burst, live.Burst),
	}
}

// grow raises the domain's share toward the wanted one, as far as the limit allows.
func (p *planner) grow(a *FleetAccount, own *DomainShare, wanted Share) {
	if !p.in.ExtraShareUsable {
		return
	}
	free := a.Target.Min(a.InForce).Minus(a.Live())
	held := own.Total()
	missing := wanted.Minus(held).Min(free)
	if missing.IsZero() || !held.IsZero() && missing.near(Share{}, a.Target, resizeMinimum) {
		return
	}
	own.split(held.Plus(missing), p.in.FloorFraction, p.in.Generation)
	p.plan.Caps[a.Account] = own.Total()
}

// split sets a total share, of which the given fraction is the floor.
func (s *DomainShare) split(total Share, floorFraction float64, generation uint64) {
	s.Floor = total.Scale(floorFraction)
	s.Extra = total.Minus(s.Floor)
	s.Generation = generation
}

// shrinkExtraFirst sets a smaller total and reduces the floor only if it exceeds the
// total, because hosts whose lease outlasts the extra share use the floor.
func (s *DomainShare) shrinkExtraFirst(total Share) {
	s.Floor = s.Floor.Min(total)
	s.Extra = total.Minus(s.Floor)
}

// lowerInForce puts a lower limit in force once the sum of all shares is within it.
func (p *planner) lowerInForce(a *FleetAccount) {
	if a.InForce != a.Target && a.Live().Within(a.Target) {
		a.InForce = a.Target
		p.plan.Changed = true
	}
}

// deleteEmptyAccounts removes accounts that are no longer configured and have no
// shares, and sorts the others by name.
func (p *planner) deleteEmptyAccounts() {
	document := &p.plan.Document
	before := len(document.Accounts)
	document.Accounts = slices.DeleteFunc(document.Accounts, func(a FleetAccount) bool {
		return a.Target.IsZero() && a.InForce.IsZero() && a.Live().IsZero()
	})
	p.plan.Changed = p.plan.Changed || len(document.Accounts) != before
	slices.SortFunc(document.Accounts, func(x, y FleetAccount) int { return cmp.Compare(x.Account, y.Account) })
}
