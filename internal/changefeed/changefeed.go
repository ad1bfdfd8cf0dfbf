// Package changefeed carries the changes of the store from one replica to another.
package changefeed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"peridotrail/internal/kvstore"
	"peridotrail/internal/replica"
)

// Path is where a host tells changes.
const Path = "/replica/changes"

const (
	// waitMost bounds how long a question may wait for a change.
	waitMost = 5 * time.Second
	// answerBytes bounds an answer: the history of a large deployment.
	answerBytes = 8 << 20
	// dialTimeout bounds a connection to a host of the same failure domain.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout closes connections to hosts that are followed no more.
	idleTimeout = 10 * time.Second
	// connections to one host: one for the question, one that replaces it.
	connections = 2
)

// answer is replica.Changes on the wire.
type answer struct {
	_        struct{}      `cbor:",toarray"`
	Entries  []entry       // in their order
	At       uint64        // revision
	ProofAge time.Duration // in nanoseconds
	Outages  uint64
}

type entry struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64 // zero: deleted
	Lease    uint64
}

// Teller is a replica that others may follow.
type Teller interface {
	Changes(ctx context.Context, after kvstore.Revision, wait time.Duration) (replica.Changes, error)
}

// QuestionError reports a question with an unusable parameter.
type QuestionError struct {
	Parameter string
	Err       error
}

// Error implements error.
func (e *QuestionError) Error() string {
	return fmt.Sprintf("question for changes: parameter %s: %v", e.Parameter, e.Err)
}

// Unwrap returns the underlying failure.
func (e *QuestionError) Unwrap() error { return e.Err }

// Handler answers the questions of other hosts.
func Handler(teller Teller, logger log.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		after, wait, err := readQuestion(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		changes, err := teller.Changes(r.Context(), after, wait)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		if err := cbor.NewEncoder(w).Encode(encode(changes)); err != nil {
			_ = level.Debug(logger).Log("event", "changes not sent", "peer", r.RemoteAddr, "err", err)
		}
	})
	return mux
}

func readQuestion(query url.Values) (kvstore.Revision, time.Duration, error) {
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, &QuestionError{Parameter: "after", Err: err}
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return 0, 0, &QuestionError{Parameter: "wait", Err: err}
	}
	return kvstore.Revision(after), min(wait, waitMost), nil
}

func statusOf(err error) int {
	if kvstore.IsKind(err, kvstore.KindCompacted) {
		return http.StatusGone
	}
	return http.StatusServiceUnavailable
}

func encode(c replica.Changes) answer {
	a := answer{At: uint64(c.At), ProofAge: c.ProofAge, Outages: c.Outages, Entries: make([]entry, len(c.Entries))}
	for i, e := range c.Entries {
		a.Entries[i] = entry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Lease: uint64(e.Lease)}
	}
	return a
}

func (a answer) decode() replica.Changes {
	c := replica.Changes{At: kvstore.Revision(a.At), ProofAge: a.ProofAge, Outages: a.Outages, Entries: make([]kvstore.Entry, len(a.Entries))}
	for i, e := range a.Entries {
		c.Entries[i] = kvstore.Entry{Key: e.Key, Value: e.Value, Revision: kvstore.Revision(e.Revision), Lease: kvstore.LeaseID(e.Lease)}
	}
	return c
}

// Client asks other hosts. It implements replica.Source.
type Client struct{ http *http.Client }

var _ replica.Source = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Changes implements replica.Source.
func (c *Client) Changes(ctx context.Context, peer replica.Peer, after kvstore.Revision, wait time.Duration) (replica.Changes, error) {
	fail := func(kind kvstore.ErrorKind, err error) (replica.Changes, error) {
		return replica.Changes{}, &kvstore.Error{Kind: kind, Op: "changes", Key: peer.Name, Err: err}
	}
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.Address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return fail(kvstore.KindInvalid, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fail(kvstore.KindUnavailable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	switch {
	case err != nil:
		return fail(kvstore.KindUnavailable, err)
	case response.StatusCode == http.StatusGone:
		return fail(kvstore.KindCompacted, errors.New("the host's history begins later"))
	case response.StatusCode != http.StatusOK:
		return fail(kvstore.KindUnavailable, fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data)))
	}
	var a answer
	if err := cbor.Unmarshal(data, &a); err != nil {
		return fail(kvstore.KindInvalid, err)
	}
	if a.ProofAge < 0 {
		return fail(kvstore.KindInvalid, errors.New("the proof lies in the future"))
	}
	return a.decode(), nil
}
