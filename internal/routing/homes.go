package routing

import (
	"slices"
	"strings"
)

// Homes are the regions in which requests may be served and their data may be held. The zero value
// allows all regions. Homes are immutable.
type Homes struct {
	restricted bool
	regions    []string
}

// NewHomes returns the homes that a route or client account names. No regions allow all.
func NewHomes(regions []string) Homes {
	return Homes{restricted: len(regions) > 0, regions: regions}
}

// homesOfRoute returns the homes of a route.
func homesOfRoute(route *Route) Homes {
	if route.HomesUnread {
		return Homes{restricted: true}
	}
	return NewHomes(route.HomeRegions)
}

// HomesOf returns the homes of the requests of account on route. Both bind; account may be nil.
func HomesOf(route *Route, account *Account) Homes {
	homes := homesOfRoute(route)
	if account != nil {
		homes = homes.And(NewHomes(account.HomeRegions))
	}
	return homes
}

// And returns the regions that both allow.
func (h Homes) And(other Homes) Homes {
	switch {
	case !other.restricted:
		return h
	case !h.restricted:
		return other
	}
	common := make([]string, 0, len(h.regions))
	for _, region := range h.regions {
		if slices.Contains(other.regions, region) {
			common = append(common, region)
		}
	}
	return Homes{restricted: true, regions: common}
}

// Restricted reports whether not all regions are allowed.
func (h Homes) Restricted() bool { return h.restricted }

// Empty reports whether no region is allowed.
func (h Homes) Empty() bool { return h.restricted && len(h.regions) == 0 }

// Allows reports whether a region is allowed.
func (h Homes) Allows(region string) bool { return !h.restricted || slices.Contains(h.regions, region) }

// Regions returns the allowed regions, nil if all are. The slice must not be changed.
func (h Homes) Regions() []string { return h.regions }

// String returns the allowed regions separated by spaces, for logs.
func (h Homes) String() string {
	switch {
	case !h.restricted:
		return "all"
	case len(h.regions) == 0:
		return "none"
	}
	return strings.Join(h.regions, " ")
}
