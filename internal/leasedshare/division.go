package leasedshare

import (
	"cmp"
	"slices"

	"peridotrail/internal/boottime"
)

// Division determines which share each part of a limit belongs to, for limits of all
// failure domains together. It depends on the failure domains of the settings and not on
// the hosts that are known, so all hosts agree on it. A Division is immutable and safe for
// concurrent use.
type Division struct {
	groups  []string // regions take turns, so that successive parts go to different regions
	regions map[string]string
}

// NewDivision returns the division among the shares of all failure domains. regions holds
// the region of each.
func NewDivision(regions map[string]string) *Division {
	type place struct {
		group, region string
		rank          int // among the failure domains of its region
	}
	var places []place
	counts := map[string]int{}
	for _, group := range sortedKeys(regions) {
		region := regions[group]
		places = append(places, place{group, region, counts[region]})
		counts[region]++
	}
	slices.SortStableFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.region, b.region))
	})
	d := &Division{regions: regions}
	for _, p := range places {
		d.groups = append(d.groups, p.group)
	}
	return d
}

// MaxParts returns the largest number of parts of a limit.
func (d *Division) MaxParts() int { return SharesPerGroup * len(d.groups) }

// Regions returns the number of regions.
func (d *Division) Regions() int {
	distinct := map[string]bool{}
	for _, region := range d.regions {
		distinct[region] = true
	}
	return len(distinct)
}

// part returns the share that a part of a limit belongs to. key selects where the parts
// of a limit begin, so that those of different limits are spread over the shares. Parts
// below MaxParts belong to different shares.
func (d *Division) part(part int, key uint64) share {
	groups := len(d.groups)
	group := (part + int(key%uint64(groups))) % groups
	index := (part/groups + int(key/uint64(groups)%SharesPerGroup)) % SharesPerGroup
	return share{d.groups[group], index}
}

// RegionFraction returns the fraction of a limit's parts that belong to the shares of a
// region, from 0 to 1.
func (d *Division) RegionFraction(region string, parts int, key uint64) float64 {
	if len(d.groups) == 0 || parts <= 0 {
		return 0
	}
	n := 0
	for i := range parts {
		if d.regions[d.part(i, key).group] == region {
			n++
		}
	}
	return float64(n) / float64(parts)
}

// Held is what a process holds: the shares, each with the instant from which it has held
// them without a gap. It is immutable.
type Held struct {
	// Version changes with each change of the shares.
	Version uint64
	from    map[share]boottime.Instant
}

// Parts returns how many parts of a limit belong to the shares held, and how many of
// these have been held without a gap since the given instant.
func (h *Held) Parts(d *Division, parts int, key uint64, since boottime.Instant) (held, kept int) {
	if len(h.from) == 0 || len(d.groups) == 0 {
		return 0, 0
	}
	for i := range parts {
		from, ok := h.from[d.part(i, key)]
		if !ok {
			continue
		}
		held++
		if from <= since {
			kept++
		}
	}
	return held, kept
}

// Held returns the shares that this host holds for limits that accrue with time, such as
// rates. usable is false while the lease is not certain to exist: nothing may be spent then,
// although the shares count as held as long as the same lease is renewed later.
//
// A rate needs no pause between two holders, unlike a limit that counts over a window: the
// later holder begins with nothing, and what accrues belongs to one holder at any time. In a
// new era of the store, a share is held at once only if this process held it in the era before.
// Otherwise a process of the earlier era may still use it, see Usable.
func (h *Holder) Held(now boottime.Instant) (held *Held, usable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	settled := h.settled(now, 0)
	if h.held == nil || h.heldVersion != h.version || h.heldSettled != settled {
		h.version++
		h.heldVersion, h.heldSettled = h.version, settled
		h.held = &Held{Version: h.version, from: map[share]boottime.Instant{}}
		for s, r := range h.shares {
			if h.holds(r) && (settled || r.carried) {
				h.held.from[s] = r.heldFrom
			}
		}
	}
	return h.held, h.leased(now)
}

// HoldersOf returns the names of the hosts that hold the shares of a limit's parts, as read
// from the store, each once.
func (h *Holder) HoldersOf(d *Division, parts int, key uint64) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	if len(d.groups) == 0 {
		return nil
	}
	for i := range parts {
		if r := h.shares[d.part(i, key)]; r != nil && r.holder != "" && !slices.Contains(names, r.holder) {
			names = append(names, r.holder)
		}
	}
	return names
}

// HeldShares returns how many shares this host holds.
func (h *Holder) HeldShares() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, r := range h.shares {
		if h.holds(r) {
			n++
		}
	}
	return n
}
