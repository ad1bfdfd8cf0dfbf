package servicelevel

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
	"peridotrail/internal/fake/store"
	"peridotrail/internal/fleet/fleettest"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

func TestSeriesCountsEachMinuteOnce(t *testing.T) {
	s := NewSeries(28*24*time.Hour, 100)
	buckets := []Bucket{
		{Start: 100, Counts: Counts{1, 1}}, // already included
		{Start: 101, Counts: Counts{3, 4}},
		{Start: 102, Counts: Counts{5, 5}},
		{Start: 103, Counts: Counts{9, 9}}, // not closed yet
	}
	s.Add(buckets, 102)
	s.Add(buckets, 102)
	require.Equal(t, Counts{8, 9}, s.Sum(5))
	require.Equal(t, Counts{5, 5}, s.Sum(1))
	s.Add(buckets, 103)
	require.Equal(t, Counts{17, 18}, s.Sum(5))
	require.Equal(t, Counts{17, 18}, s.Sum(s.Window))

	var decoded Series
	data, err := cbor.Marshal(s)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &decoded))
	require.Equal(t, *s, decoded)
}

func TestSeriesDropsBucketsOlderThanWindow(t *testing.T) {
	s := NewSeries(2*time.Hour, 0)
	for minute := Minute(1); minute <= 1000; minute++ {
		s.Add([]Bucket{{Start: minute, Counts: Counts{1, 1}}}, minute)
	}
	require.LessOrEqual(t, len(s.Fine), fineMinutes)
	require.LessOrEqual(t, len(s.Coarse), 4)
	require.Equal(t, int64(hour), s.Sum(hour).Total)
	month := NewSeries(672*time.Hour, 0)
	for h := Minute(0); h < 2000; h++ {
		month.Add([]Bucket{{Start: h*60 + 1, Counts: Counts{1, 1}}}, h*60+59)
	}
	require.InDelta(t, 672, month.Sum(month.Window).Total, 1)
	require.InDelta(t, 72, month.Sum(threeDays).Total, 1)
}

func TestOutcomesCountForMatchingObjectives(t *testing.T) {
	r := newRecorder()
	objectives := []configuration.Objective{
		{Name: "service", Service: "desk", Latency: configuration.Duration(100 * time.Millisecond)},
		{Name: "account", Account: "clinic"},
		{Name: "both", Service: "desk", Account: "clinic"},
	}
	r.update(objectives)
	now := time.Unix(1_800_000_000, 0)
	r.record(Outcome{Service: "desk", Account: "clinic", Good: true, Latency: time.Second}, now)
	r.record(Outcome{Service: "desk", Good: true}, now)
	r.record(Outcome{Service: "other", Account: "clinic"}, now)
	r.update(objectives)
	got := map[string]Counts{}
	for name, c := range r.table.Load().byName {
		for _, bucket := range c.bucketsBetween(0, maxMinute) {
			got[name] = bucket.Counts
		}
	}
	require.Equal(t, map[string]Counts{"service": {1, 2}, "account": {1, 2}, "both": {1, 1}}, got)
}

func TestAlertsNeedBothWindows(t *testing.T) {
	tests := []struct {
		name string
		bad  func(minutesAgo Minute) bool // of 100 requests a minute, one in ten is bad
		want Alert
	}{
		{"none", func(Minute) bool { return false }, AlertNone},
		{"ongoing outage", func(ago Minute) bool { return ago < 60 }, AlertPage},
		{"past outage", func(ago Minute) bool { return ago > 400 && ago < 460 }, AlertNone},
		{"slow burn", func(ago Minute) bool { return ago%60 == 0 }, AlertTicket},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const last = Minute(30_000)
			s := NewSeries(672*time.Hour, last-2*threeDays)
			for minute := last - 2*threeDays + 1; minute <= last; minute++ {
				counts := Counts{Good: 100, Total: 100}
				if test.bad(last - minute) {
					counts.Good = 90
				}
				s.Add([]Bucket{{Start: minute, Counts: counts}}, minute)
			}
			objective := configuration.Objective{Name: "o", Target: 0.999, Window: configuration.Duration(672 * time.Hour)}
			require.Equal(t, test.want, reportObjective(objective, []domainSeries{{"a", s}}).Alert)
		})
	}
}

// testHost is a host with a tracker, and its view of the fleet.
type testHost struct {
	self       host.Identity
	identities []host.Identity
	leading    atomic.Bool
	tracker    *Tracker
}

func (h *testHost) Self() host.Identity     { return h.self }
func (h *testHost) Leading() (uint64, bool) { return 1, h.leading.Load() }

func (h *testHost) Members() []host.Member {
	var others []host.Member
	for _, identity := range h.identities {
		if identity.ID != h.self.ID {
			others = append(others, host.Member{Identity: identity})
		}
	}
	return others
}

func TestLeaderChangeCountsEachMinuteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		network := fleettest.New(1)
		c := &configuration.Configuration{Objectives: []configuration.Objective{
			{Name: "desk", Service: "desk", Target: 0.99, Window: configuration.Duration(672 * time.Hour)},
		}}
		var hosts []*testHost
		var identities []host.Identity
		for i := range 3 {
			identities = append(identities, host.Identity{
				ID: host.ID(fmt.Sprint(i)), Incarnation: 1, FailureDomain: "east",
				Fleet: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i, self := range identities {
			h := &testHost{self: self, identities: identities}
			h.leading.Store(i == 0)
			node := network.Join(self)
			inForce := configuration.NewInForce()
			inForce.Offer(configuration.NewSnapshot(1, c))
			h.tracker = New(Config{Self: self, Store: s, Caller: node, Registry: node, View: h, Leadership: h, InForce: inForce})
			go func() { _ = h.tracker.Run(ctx) }()
			hosts = append(hosts, h)
		}
		synctest.Wait()
		recordTenMinutes := func() {
			for range 10 {
				for _, h := range hosts {
					h.tracker.Record(Outcome{Service: "desk", Good: true})
				}
				hosts[1].tracker.Record(Outcome{Service: "desk"})
				time.Sleep(time.Minute)
			}
		}
		recordTenMinutes()
		// The response to a write is lost; then another host becomes the leader.
		s.LoseNextResponses(1)
		recordTenMinutes()
		hosts[0].leading.Store(false)
		hosts[1].leading.Store(true)
		recordTenMinutes()
		time.Sleep(20 * time.Minute)

		report, err := ReadReport(t.Context(), s, c, time.Now())
		require.NoError(t, err)
		windows := report.Objectives[0].Windows
		require.Equal(t, Counts{Good: 90, Total: 120}, windows[len(windows)-1].Counts, "no minute is lost or counted twice")
		require.InDelta(t, 25, windows[len(windows)-1].Burn, 1e-9)
		require.Len(t, hosts[0].tracker.LocalBurn(time.Now()), 1)
		cancel()
		synctest.Wait()
	})
}

func TestReportIgnoresInvalidSeries(t *testing.T) {
	s := store.New()
	for _, key := range []string{Prefix + "east/o", Prefix + "nothing"} {
		_, err := s.CompareAndSwap(t.Context(), kvstore.Write{Key: key, Value: []byte("x")})
		require.NoError(t, err)
	}
	c := &configuration.Configuration{Objectives: []configuration.Objective{{Name: "o", Service: "s", Target: 0.9, Window: configuration.Duration(24 * time.Hour)}}}
	report, err := ReadReport(t.Context(), s, c, time.Now())
	require.NoError(t, err)
	require.Equal(t, 1.0, report.Objectives[0].BudgetLeft)
	require.Empty(t, report.Objectives[0].Domains)
}

// exampleReport returns a report with three objectives, one of which raises AlertPage.
func exampleReport() *Report {
	const last = Minute(29_700_000)
	report := &Report{Time: last.Time()}
	for i, name := range []string{"listings", "reservations", "<script>"} {
		s := NewSeries(672*time.Hour, last-672*60)
		for minute := last - 672*60 + 1; minute <= last; minute += 10 {
			counts := Counts{Good: 1000 - int64(i)*int64(minute%7)/4, Total: 1000}
			if i == 1 && last-minute < 90 {
				counts.Good = 960
			}
			s.Add([]Bucket{{Start: minute, Counts: counts}}, minute)
		}
		objective := configuration.Objective{
			Name: name, Service: "desk", Target: 0.999,
			Latency: configuration.Duration(300 * time.Millisecond), Window: configuration.Duration(672 * time.Hour),
		}
		report.Objectives = append(report.Objectives, reportObjective(objective, []domainSeries{{"toronto", s}}))
	}
	return report
}

func TestPageIsSelfContained(t *testing.T) {
	var page bytes.Buffer
	require.NoError(t, exampleReport().WriteHTML(&page))
	text := page.String()
	require.NotContains(t, text, "<script")
	require.NotContains(t, text, "http")
	require.NotContains(t, text, "NaN")
	require.Equal(t, 3, strings.Count(text, "<svg "))
	require.Contains(t, text, "act now")
	if path := os.Getenv("BURN_PAGE"); path != "" {
		require.NoError(t, os.WriteFile(path, page.Bytes(), 0o600))
	}
	_, err := json.Marshal(exampleReport())
	require.NoError(t, err)
	require.NoError(t, (&Report{}).WriteHTML(&page))
}

func TestReportOmitsWindowsLongerThanObjective(t *testing.T) {
	require.Equal(t, []Minute{5, 30, 60, 360, 1440}, reportWindows(1440))
	require.Equal(t, []Minute{5, 30, 60}, reportWindows(60))
	r := reportObjective(configuration.Objective{Target: 0.9, Window: configuration.Duration(24 * time.Hour)}, nil)
	require.Equal(t, cell{Text: "–"}, summaryCells(r)[3])
}
