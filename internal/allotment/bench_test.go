package allotment

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peridotrail/internal/host"
)

const (
	benchHosts    = 60
	benchAccounts = 500
)

// benchDomain returns a leader with benchAccounts accounts, and its hosts.
func benchDomain(now time.Time) (*DomainAllotment, []*HostShares, []host.Identity) {
	d := NewDomainAllotment(now, 1, LeaseTimes{Lease: 20 * time.Second, Margin: time.Second})
	d.SetPreviousHolders(nil)
	for i := range benchAccounts {
		r := AccountResource(fmt.Sprintf("account-%03d", i))
		limit := Share{Rate: 100, Burst: 200}
		d.SetLimit(r, limit, limit, limit)
		d.Fence(r)
	}
	var shares []*HostShares
	var ids []host.Identity
	for i := range benchHosts {
		h := NewHostShares()
		h.ObserveEpoch(1)
		shares = append(shares, h)
		ids = append(ids, host.Identity{ID: host.ID(fmt.Sprintf("host-%02d", i)), Incarnation: 1})
	}
	return d, shares, ids
}

func constantUsage(Resource) Usage { return Usage{Demand: 1} }

func benchRenew(now time.Time, d *DomainAllotment, h *HostShares, id host.Identity, wanted []Resource) (RenewRequest, RenewReply) {
	h.Expire(now)
	request := h.Request(now, wanted, constantUsage)
	reply := d.Renew(now, id, request)
	h.Apply(now, reply)
	return request, reply
}

// BenchmarkRenewal measures one renewal in the steady state, including the work of
// the host and the leader, and the size of request and reply.
func BenchmarkRenewal(b *testing.B) {
	now := modelEpoch
	d, shares, ids := benchDomain(now)
	wanted := d.Resources()
	for range 6 {
		for i := range shares {
			benchRenew(now, d, shares[i], ids[i], wanted)
		}
		d.Divide(now)
	}
	bytes := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := i % benchHosts
		request, reply := benchRenew(now, d, shares[k], ids[k], wanted)
		if i == 0 {
			requestBytes, _ := cbor.Marshal(request)
			replyBytes, _ := cbor.Marshal(reply)
			bytes = len(requestBytes) + len(replyBytes)
		}
	}
	b.ReportMetric(float64(bytes), "bytes/renewal")
}

// BenchmarkDivide measures one division of all accounts among the hosts of a domain.
func BenchmarkDivide(b *testing.B) {
	now := modelEpoch
	d, shares, ids := benchDomain(now)
	wanted := d.Resources()
	for range 6 {
		for i := range shares {
			benchRenew(now, d, shares[i], ids[i], wanted)
		}
		d.Divide(now)
	}
	b.ReportAllocs()
	for b.Loop() {
		d.lastSweep = time.Time{}
		d.Divide(now)
	}
}

// BenchmarkTake measures spending one token.
func BenchmarkTake(b *testing.B) {
	now := modelEpoch
	bucket := NewBucket(time.Second)
	bucket.Resize(now, Share{Rate: 1e9, Burst: 1e9})
	bucket.Extend(now, now.Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		bucket.Take(now)
	}
}
