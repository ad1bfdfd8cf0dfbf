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

// DefaultMaxAge is how long callers may cache a response.
const DefaultMaxAge = 10 * time.Second

// refreshInterval is the time between two updates of the view.
const refreshInterval = 200 * time.Millisecond

// Options configures a Service.
type Options struct {
	Self          host.Identity
	Configuration func() *configuration.Snapshot // the configuration in force; nil before the first
	Hosts         func() []Host                  // all known entry hosts, this one included
	Documents     func(prefix string) []distribution.Document
	MaxAge        time.Duration    // DefaultMaxAge if zero
	Now           func() time.Time // time.Now if nil
	Metrics       metrics.Registry // a private one if nil
}

// Service handles look-ups over HTTP. ServeHTTP is safe for concurrent use.
type Service struct {
	options  Options
	view     atomic.Pointer[View]
	answered metrics.Counter
	refused  metrics.Counter

	// The fields below belong to Refresh, which one goroutine calls at a time.
	snapshot *configuration.Snapshot
	table    *Table
}

// New creates a Service. It refuses look-ups as not ready until Run or Refresh has
// built a view.
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
		options:  options,
		answered: metrics.GetOrRegisterCounter("lookup.answers", options.Metrics),
		refused:  metrics.GetOrRegisterCounter("lookup.refused", options.Metrics),
	}
}

// Run refreshes the view periodically until ctx ends.
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

// Refresh rebuilds the view. It must not be called concurrently. It rebuilds the
// table of client blocks unless the snapshot shares its blocks with the previous one.
func (s *Service) Refresh() {
	snapshot := s.options.Configuration()
	if snapshot == nil {
		return
	}
	if s.snapshot == nil || !s.snapshot.SharesBlocks(snapshot.Configuration) {
		s.table = NewTableFromSeq(snapshot.Blocks())
	}
	s.snapshot = snapshot
	shifts := ReadShifts(s.options.Documents(ShiftPrefix))
	s.view.Store(NewView(snapshot, s.table, s.options.Self, s.options.Hosts(), shifts))
}

// ServeHTTP implements GET /v1/entry-hosts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, refusal := s.lookUp(r)
	if refusal != nil {
		s.refused.Inc(1)
		refusal.Write(w)
		return
	}
	s.answered.Inc(1)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "max-age="+strconv.Itoa(int(s.options.MaxAge.Seconds())))
	if r.Method == http.MethodHead {
		return
	}
	_ = json.NewEncoder(w).Encode(response) // an error means that the caller has disconnected
}

func (s *Service) lookUp(r *http.Request) (*api.LookupResponse, *problem.Problem) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "look-ups use GET")
	}
	view := s.view.Load()
	if view == nil {
		return nil, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").WithRetryAfter(time.Second)
	}
	query := r.URL.Query()
	service := query.Get(api.ServiceParameter)
	if service == "" {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "the query parameter service is required")
	}
	if !view.HasService(service) {
		return nil, problem.New(problem.TypeNotFound, problem.ExecutedNo, "the service does not exist")
	}
	client, ok := clientAddress(query.Get(api.ClientParameter), r.RemoteAddr)
	if !ok {
		return nil, problem.New(problem.TypeMalformed, problem.ExecutedNo, "the query parameter client is not an IP address")
	}
	hosts := view.Lookup(client, service, s.options.Now())
	if len(hosts) == 0 {
		return nil, problem.New(problem.TypeNoUpstream, problem.ExecutedNo, "no entry host is in service").WithRetryAfter(s.options.MaxAge)
	}
	return newResponse(service, view.Revision, hosts), nil
}

// clientAddress parses the client query parameter or, if it is empty, returns the
// address of the peer.
func clientAddress(parameter, remoteAddr string) (netip.Addr, bool) {
	if parameter != "" {
		address, err := netip.ParseAddr(parameter)
		return address, err == nil
	}
	peer, err := netip.ParseAddrPort(remoteAddr)
	return peer.Addr(), err == nil
}

func newResponse(service string, revision configuration.Revision, hosts []host.Identity) *api.LookupResponse {
	response := &api.LookupResponse{Service: service, Revision: revision, Hosts: make([]api.EntryHost, len(hosts))}
	for i, h := range hosts {
		response.Hosts[i] = api.EntryHost{ID: h.ID, Address: h.Entry, FailureDomain: h.FailureDomain, Region: h.Region}
	}
	return response
}
