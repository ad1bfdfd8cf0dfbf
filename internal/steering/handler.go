package steering

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
	"peridotrail/internal/problem"

	"github.com/rcrowley/go-metrics"
)

// DefaultMaxAge is how long callers may cache an answer.
const DefaultMaxAge = 10 * time.Second

// refreshInterval is the time between two pictures.
const refreshInterval = 200 * time.Millisecond

// Options configures a Service.
type Options struct {
	Self          host.Identity
	Configuration func() *configuration.Snapshot // in force, nil before the first
	Hosts         func() []Host                  // all known entry hosts, this one included
	Documents     func(prefix string) []distribution.Document
	MaxAge        time.Duration    // DefaultMaxAge if zero
	Now           func() time.Time // time.Now if nil
	Metrics       metrics.Registry // a private one if nil
}

// Service answers look-ups. It is safe for concurrent use.
type Service struct {
	options Options
	picture atomic.Pointer[Picture]
	answers metrics.Counter
	refused metrics.Counter

	// Owned by Refresh, which is called by one goroutine at a time.
	source *configuration.Snapshot
	table  *Table
}

// New creates a Service. Run, or Refresh, must be called for it to answer.
func New(options Options) *Service {
	if options.MaxAge == 0 {
		options.MaxAge = DefaultMaxAge
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewRegistry()
	}
	return &Service{
		options: options,
		answers: metrics.GetOrRegisterCounter("lookup.answers", options.Metrics),
		refused: metrics.GetOrRegisterCounter("lookup.refused", options.Metrics),
	}
}

// Run keeps the picture up to date until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Refresh takes a new picture. It must not be called concurrently. The table of
// client blocks is built anew only for a new configuration.
func (s *Service) Refresh() {
	snapshot := s.options.Configuration()
	if snapshot == nil {
		return
	}
	if s.source == nil || !s.source.SharesBlocks(snapshot.Configuration) {
		s.table = NewTableOf(snapshot.Blocks())
	}
	s.source = snapshot
	shifts := ReadShifts(s.options.Documents(ShiftPrefix))
	s.picture.Store(NewPicture(snapshot, s.table, s.options.Self, s.options.Hosts(), shifts))
}

// ServeHTTP implements GET /v1/entry-hosts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer, refusal := s.answer(r)
	if refusal != nil {
		s.refused.Inc(1)
		refusal.Write(w)
		return
	}
	s.answers.Inc(1)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "max-age="+strconv.Itoa(int(s.options.MaxAge.Seconds())))
	if r.Method == http.MethodHead {
		return
	}
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone away
}

func (s *Service) answer(r *http.Request) (*api.LookupResponse, *problem.Problem) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "look-ups use GET")
	}
	picture := s.picture.Load()
	if picture == nil {
		return nil, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").After(time.Second)
	}
	query := r.URL.Query()
	service := query.Get(api.ServiceParameter)
	if service == "" {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "the query parameter service is required")
	}
	if !picture.HasService(service) {
		return nil, problem.New(problem.TypeNotFound, problem.ExecutedNo, "the service does not exist")
	}
	client, ok := clientAddress(query.Get(api.ClientParameter), r.RemoteAddr)
	if !ok {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "the query parameter client is not an IP address")
	}
	hosts := picture.Lookup(client, service, s.options.Now())
	if len(hosts) == 0 {
		return nil, problem.New(problem.TypeNoUpstream, problem.ExecutedNo, "no entry host is in service").After(s.options.MaxAge)
	}
	return newAnswer(service, picture.Revision, hosts), nil
}

// clientAddress returns the address in text or, if it is empty, that of the peer.
func clientAddress(text, remote string) (netip.Addr, bool) {
	if text != "" {
		address, err := netip.ParseAddr(text)
		return address, err == nil
	}
	peer, err := netip.ParseAddrPort(remote)
	return peer.Addr(), err == nil
}

func newAnswer(service string, revision configuration.Revision, hosts []host.Identity) *api.LookupResponse {
	answer := &api.LookupResponse{Service: service, Revision: revision, Hosts: make([]api.EntryHost, len(hosts))}
	for i, h := range hosts {
		answer.Hosts[i] = api.EntryHost{ID: h.ID, Address: h.Entry, FailureDomain: h.FailureDomain, Region: h.Region}
	}
	return answer
}
