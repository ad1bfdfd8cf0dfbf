// Package changefeed transfers the changes of the store from one host's replica to
// another over HTTP, encoded in CBOR. Requests are long polls: the response is
// sent when there is a change after the requested revision or the wait has ended.
package changefeed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/http1"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/replica"
)

// Path is the HTTP path at which a host serves its changes.
const Path = "/replica/changes"

// eraHeader is the header of a response that names the era of its revisions, in the encoding
// of kvstore.Era. Hosts of earlier builds neither send it nor the parameter era of a request:
// their revisions are those of a store that names no eras.
const eraHeader = "Peridotrail-Era"

// pathHeader is the header of a response with the names of the hosts through which the changes came from the
// store, separated by commas. Hosts of earlier builds do not send it.
const pathHeader = "Peridotrail-Path"

const (
	// maxWait limits how long a request may wait for a change.
	maxWait = 5 * time.Second
	// maxResponseBytes limits a response. It has room for the history of a large
	// deployment.
	maxResponseBytes = 8 << 20
	// dialTimeout limits the time to connect to a host of the same failure domain.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout closes connections to hosts that this host no longer follows.
	idleTimeout = 10 * time.Second
	// maxConnsPerPeer allows one connection for the current request and one for the
	// request that replaces it.
	maxConnsPerPeer = 2
)

// changesResponse is the encoding of replica.Changes: a CBOR array of the fields in
// this order.
type changesResponse struct {
	_        struct{}      `cbor:",toarray"`
	Entries  []wireEntry   // oldest first
	At       uint64        // revision up to which the changes are complete
	ProofAge time.Duration // encoded as nanoseconds
	Outages  uint64        // as in replica.Changes
}

// wireEntry is the encoding of kvstore.Entry: a CBOR array of the fields in this order.
type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64 // zero: deleted
	Lease    uint64
}

// Provider is a replica whose changes other hosts may request.
type Provider interface {
	Changes(ctx context.Context, after kvstore.Revision, wait time.Duration) (replica.Changes, error)
}

// ParameterError reports a request with a missing or invalid query parameter.
type ParameterError struct {
	Parameter string
	Err       error
}

// Error implements error.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("question for changes: parameter %s: %v", e.Parameter, e.Err)
}

// Unwrap returns the underlying failure.
func (e *ParameterError) Unwrap() error { return e.Err }

// Handler returns a handler for Path that serves the changes of provider. It responds
// with 400 to invalid parameters, with 410 if the changes after the revision are no
// longer available, and with 503 to any other failure.
func Handler(provider Provider, logger log.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		after, wait, err := parseQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		changes, err := provider.Changes(r.Context(), after, wait)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		w.Header().Set(eraHeader, strconv.FormatUint(uint64(changes.At.Era), 10))
		if len(changes.Path) > 0 {
			w.Header().Set(pathHeader, strings.Join(changes.Path, ","))
		}
		if err := cbor.NewEncoder(w).Encode(newChangesResponse(changes)); err != nil {
			_ = level.Debug(logger).Log("event", "changes not sent", "peer", r.RemoteAddr, "err", err)
		}
	})
	return mux
}

func parseQuery(query url.Values) (kvstore.Revision, time.Duration, error) {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return kvstore.Revision{}, 0, &ParameterError{Parameter: "after", Err: err}
	}
	era, err := decodeEra(query.Get("era"))
	if err != nil {
		return kvstore.Revision{}, 0, &ParameterError{Parameter: "era", Err: err}
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return kvstore.Revision{}, 0, &ParameterError{Parameter: "wait", Err: err}
	}
	return kvstore.Revision{Era: era, Number: after}, min(wait, maxWait), nil
}

// decodeEra decodes an era, which hosts of earlier builds leave out.
func decodeEra(text string) (kvstore.Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	return kvstore.Era(era), err
}

func statusOf(err error) int {
	if kvstore.IsKind(err, kvstore.KindCompacted) {
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}

func newChangesResponse(changes replica.Changes) changesResponse {
	response := changesResponse{At: changes.At.Number, ProofAge: changes.ProofAge, Outages: changes.Outages, Entries: make([]wireEntry, len(changes.Entries))}
	for i, e := range changes.Entries {
		response.Entries[i] = wireEntry{Key: e.Key, Value: e.Value, Revision: e.Revision.Number, Lease: e.Lease.Number}
	}
	return response
}

// decode returns the changes, which are all of one era.
func (r changesResponse) decode(era kvstore.Era) replica.Changes {
	changes := replica.Changes{At: kvstore.Revision{Era: era, Number: r.At}, ProofAge: r.ProofAge, Outages: r.Outages, Entries: make([]kvstore.Entry, len(r.Entries))}
	for i, e := range r.Entries {
		changes.Entries[i] = kvstore.Entry{Key: e.Key, Value: e.Value}
		if e.Revision != 0 {
			changes.Entries[i].Revision = kvstore.Revision{Era: era, Number: e.Revision}
		}
		if e.Lease != 0 {
			changes.Entries[i].Lease = kvstore.LeaseID{Era: era, Number: e.Lease}
		}
	}
	return changes
}

// Client requests changes from other hosts. It implements replica.Source and is safe
// for concurrent use.
type Client struct{ http *http.Client }

var _ replica.Source = (*Client)(nil)

// NewClient returns a Client. It connects to a host at the first request.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: http1.NewTransport(&http.Transport{
		MaxConnsPerHost:     maxConnsPerPeer,
		MaxIdleConnsPerHost: maxConnsPerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}, dialer.DialContext)}}
}

// Changes implements replica.Source. Errors are of type *kvstore.Error: KindCompacted
// if the changes after the revision are no longer available, KindInvalid for an
// invalid address or response, KindUnavailable otherwise.
func (c *Client) Changes(ctx context.Context, peer replica.Peer, after kvstore.Revision, wait time.Duration) (replica.Changes, error) {
	fail := func(kind kvstore.ErrorKind, err error) (replica.Changes, error) {
		return replica.Changes{}, &kvstore.Error{Kind: kind, Op: "changes", Key: peer.Name, Err: err}
	}
	query := url.Values{"after": {strconv.FormatUint(after.Number, 10)}, "era": {strconv.FormatUint(uint64(after.Era), 10)}, "wait": {wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return fail(kvstore.KindInvalid, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fail(kvstore.KindUnavailable, err)
	}
	defer response.Body.Close()
	data, err := http1.ReadBody(response, maxResponseBytes)
	switch {
	case err != nil:
		return fail(kvstore.KindUnavailable, err)
	case response.StatusCode == http.StatusGone:
		return fail(kvstore.KindCompacted, errors.New("the host's history starts after the requested revision"))
	case response.StatusCode != http.StatusOK:
		return fail(kvstore.KindUnavailable, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data)))
	}
	era, err := decodeEra(response.Header.Get(eraHeader))
	if err != nil {
		return fail(kvstore.KindInvalid, err)
	}
	var body changesResponse
	if err := cbor.Unmarshal(data, &body); err != nil {
		return fail(kvstore.KindInvalid, err)
	}
	if body.ProofAge < 0 {
		return fail(kvstore.KindInvalid, errors.New("the proof age is negative"))
	}
	changes := body.decode(era)
	if path := response.Header.Get(pathHeader); path != "" {
		changes.Path = strings.Split(path, ",")
	}
	return changes, nil
}
