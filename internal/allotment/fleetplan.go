package allotment

import (
	"cmp"
	"math"
	"slices"

	"peridotrail/internal/invariant"
)

// Hysteresis of a domain's share and of its published demand.
const (
	demandFraction = 0.25 // of the published demand
	demandMinimum  = 0.02 // of the account's rate
	minDomainBurst = 4.0  // smallest burst worth a share of a domain, in requests
	domainIdle     = 0.25 // part of the rate that is divided among domains without regard to demand
	rebalanceStep  = 0.3  // largest part of a share given up at once because of demand
	excessFraction = 0.02 // of a share, given up beyond the excess
)

// Account is a client account of the configuration.
type Account struct {
	Name  string
	Whole Share // rate and burst over the whole fleet
}

// FleetInput is what a domain leader knows when it plans a document.
type FleetInput struct {
	Domain        string
	Epoch         uint64    // of its leadership
	Generation    uint64    // of its domain's record
	Revision      uint64    // of its configuration
	Accounts      []Account // of the configuration, in this document
	Domains       []string  // failure domains of the configuration that are not dead
	Dead          []string  // failure domains marked dead
	Generations   map[string]uint64
	FloorFraction float64 // part of a domain's share that is its floor, from 0 to 1
	ExtraValid    bool    // the domain's record is renewed
	Rebalance     bool    // shares may shrink because of demand
	// Demand returns the requests per second wanted in the domain.
	Demand func(account string) float64
	// InEffect reports whether the hosts of the domain surely use no more than limit.
	InEffect func(account string, limit Share) bool
}

// FleetPlan is the next version of a document.
type FleetPlan struct {
	Document FleetDocument
	Changed  bool
	Stale    bool // a newer leader of the domain wrote the document
	// Caps limit what the domain may use of an account from now on, so that a
	// reduction can be written once it is in effect.
	Caps map[string]Share
}

// Plan decides what the leader of a domain writes next. It changes only the
// domain's own shares, and shares that have surely ended.
func (d *FleetDocument) Plan(in FleetInput) FleetPlan {
	plan := FleetPlan{Document: d.clone(), Caps: map[string]Share{}}
	if d.Epoch(in.Domain) > in.Epoch {
		plan.Stale = true
		return plan
	}
	p := planner{in: in, plan: &plan}
	if d.Epoch(in.Domain) < in.Epoch {
		plan.Document.setEpoch(in.Domain, in.Epoch)
		plan.Changed = true
	}
	p.configure()
	for i := range plan.Document.Accounts {
		p.account(&plan.Document.Accounts[i])
	}
	p.deleteEmpty()
	return plan
}

type planner struct {
	in   FleetInput
	plan *FleetPlan
}

// configure takes new and changed accounts from the configuration.
func (p *planner) configure() {
	document := &p.plan.Document
	for _, account := range p.in.Accounts {
		if a := document.Account(account.Name); a != nil {
			p.retarget(a, account.Whole)
			continue
		}
		document.Accounts = append(document.Accounts, p.create(account))
		p.plan.Changed = true
	}
	for i := range document.Accounts {
		a := &document.Accounts[i]
		known := slices.ContainsFunc(p.in.Accounts, func(o Account) bool { return o.Name == a.Account })
		if !known {
			p.retarget(a, Share{})
		}
	}
}

// create divides a new account equally; each domain owns its part. A burst that is
// too small for that belongs to fewer domains.
func (p *planner) create(account Account) FleetAccount {
	a := FleetAccount{Account: account.Name, Revision: p.in.Revision, Target: account.Whole, InForce: account.Whole}
	parts := divideRate(account.Whole, make([]claim, len(p.in.Domains)), domainIdle, minDomainBurst)
	for i, domain := range p.in.Domains {
		a.Domains = append(a.Domains, DomainShare{Domain: domain, Floor: parts[i]})
	}
	return a
}

// retarget takes a changed rate from a newer configuration. A higher rate is in
// force at once, before any share grows.
func (p *planner) retarget(a *FleetAccount, whole Share) {
	if p.in.Revision <= a.Revision || a.Target == whole {
		return
	}
	a.Revision = p.in.Revision
	a.Target = whole
	a.InForce = a.InForce.Max(whole)
	p.plan.Changed = true
}

// account plans one account.
func (p *planner) account(a *FleetAccount) {
	p.dropEnded(a)
	own := a.Domain(p.in.Domain)
	p.publishDemand(a, &own)
	wanted := p.wanted(a, own)
	p.shrink(a, &own, wanted)
	p.grow(a, &own, wanted)
	if own != a.Domain(p.in.Domain) {
		a.set(own)
		a.Revision = max(a.Revision, p.in.Revision)
		p.plan.Changed = true
	}
	p.lower(a)
	live := a.Live()
	invariant.Check(live.Within(a.InForce), invariant.RateWithinWhole,
		"account %s: shares of failure domains %+v exceed %+v", a.Account, live, a.InForce)
}

// dropEnded removes extra shares of fenced generations and all shares of dead
// domains. A leader with an older configuration than the account's last writer
// removes no dead domain.
func (p *planner) dropEnded(a *FleetAccount) {
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

// publishDemand writes the domain's demand when it has changed by much.
func (p *planner) publishDemand(a *FleetAccount, own *DomainShare) {
	demand := p.in.Demand(a.Account)
	threshold := math.Max(demandFraction*own.Demand, demandMinimum*a.Target.Rate)
	if math.Abs(demand-own.Demand) > threshold {
		own.Demand = demand
	}
}

// wanted returns the share that the domain's demand calls for.
func (p *planner) wanted(a *FleetAccount, own DomainShare) Share {
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
	return divideRate(a.Target, claims, domainIdle, minDomainBurst)[position]
}

// shrink lowers the own share to what is wanted, in two steps: the plan's cap
// first, the document once the cap is in effect.
func (p *planner) shrink(a *FleetAccount, own *DomainShare, wanted Share) {
	held := own.Total()
	limit := held.Min(p.allowed(a, held, wanted))
	p.plan.Caps[a.Account] = limit
	if limit == held || !p.in.InEffect(a.Account, limit) {
		return
	}
	if p.in.ExtraValid {
		own.split(limit, p.in.FloorFraction, p.in.Generation)
		return
	}
	own.keepFloor(limit)
}

// allowed returns the share that the domain should not exceed.
func (p *planner) allowed(a *FleetAccount, held, wanted Share) Share {
	live := a.Live()
	if !live.Within(a.Target) {
		return wanted.Min(p.proportional(a, held, live))
	}
	small := held.near(wanted, held, resizeFraction) || held.near(wanted, a.Target, resizeMinimum)
	if small || !p.in.Rebalance && !wanted.IsZero() {
		return held
	}
	if wanted.IsZero() {
		return wanted
	}
	return wanted.Max(held.Scale(1 - rebalanceStep)).Min(held)
}

// proportional returns the held share less somewhat more than the domain's part of
// the excess, so that the excess ends in a few steps although some domain is silent.
func (p *planner) proportional(a *FleetAccount, held, live Share) Share {
	factor := func(target, sum float64) float64 {
		if sum <= target {
			return 1
		}
		return math.Max(target/sum-excessFraction, 0)
	}
	return Share{
		Rate:  held.Rate * factor(a.Target.Rate, live.Rate),
		Burst: held.Burst * factor(a.Target.Burst, live.Burst),
	}
}

// grow takes what is free, up to what is wanted.
func (p *planner) grow(a *FleetAccount, own *DomainShare, wanted Share) {
	if !p.in.ExtraValid {
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

// split sets the total, of which the given fraction is the floor.
func (s *DomainShare) split(total Share, floorFraction float64, generation uint64) {
	s.Floor = total.Scale(floorFraction)
	s.Extra = total.Minus(s.Floor)
	s.Generation = generation
}

// keepFloor sets a smaller total, the extra share first: hosts whose term outlasts
// the domain's use the floor.
func (s *DomainShare) keepFloor(total Share) {
	s.Floor = s.Floor.Min(total)
	s.Extra = total.Minus(s.Floor)
}

// lower takes a lower rate as in force once all shares are within it.
func (p *planner) lower(a *FleetAccount) {
	if a.InForce != a.Target && a.Live().Within(a.Target) {
		a.InForce = a.Target
		p.plan.Changed = true
	}
}

// deleteEmpty removes accounts that left the configuration and have no share.
func (p *planner) deleteEmpty() {
	document := &p.plan.Document
	before := len(document.Accounts)
	document.Accounts = slices.DeleteFunc(document.Accounts, func(a FleetAccount) bool {
		return a.Target.IsZero() && a.InForce.IsZero() && a.Live().IsZero()
	})
	p.plan.Changed = p.plan.Changed || len(document.Accounts) != before
	slices.SortFunc(document.Accounts, func(x, y FleetAccount) int { return cmp.Compare(x.Account, y.Account) })
}
