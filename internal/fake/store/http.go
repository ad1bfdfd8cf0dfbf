package store

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"peridotrail/internal/kvstore"
	"peridotrail/internal/kvstore/httpstore"
)

// ServeHTTP serves the protocol of package httpstore. A lost response closes the
// connection.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	client := s.Client(Caller{
		Host:          r.Header.Get(httpstore.HeaderHost),
		FailureDomain: r.Header.Get(httpstore.HeaderFailureDomain),
	})
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*kvstore.MaxValueSize))
	response, err := client.serve(r.Context(), r.URL.Path, decoder.Decode)
	if kvstore.IsKind(err, kvstore.KindUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode(err))
	_ = json.NewEncoder(w).Encode(response) // fails only if the caller disconnected
}

func (c *Client) serve(ctx context.Context, path string, decode func(any) error) (httpstore.Response, error) {
	switch path {
	case httpstore.PathGet, httpstore.PathList:
		return c.serveKey(ctx, path, decode)
	case httpstore.PathGrant, httpstore.PathRenew, httpstore.PathRevoke:
		return c.serveLease(ctx, path, decode)
	case httpstore.PathCompareAndSwap:
		var request kvstore.Write
		if err := decode(&request); err != nil {
			return httpstore.Response{}, malformed(path, err)
		}
		entry, err := c.CompareAndSwap(ctx, request)
		return httpstore.Response{Entry: entry}, err
	case httpstore.PathWatch:
		var request httpstore.WatchRequest
		if err := decode(&request); err != nil {
			return httpstore.Response{}, malformed(path, err)
		}
		entries, revision, err := c.Watch(ctx, request.Prefix, request.After, request.Wait)
		return httpstore.Response{Entries: entries, Revision: revision}, err
	case httpstore.PathHosts:
		hosts, err := c.Hosts(ctx)
		return httpstore.Response{Hosts: hosts}, err
	default:
		return httpstore.Response{}, malformed(path, nil)
	}
}

func (c *Client) serveKey(ctx context.Context, path string, decode func(any) error) (httpstore.Response, error) {
	var request httpstore.KeyRequest
	if err := decode(&request); err != nil {
		return httpstore.Response{}, malformed(path, err)
	}
	if path == httpstore.PathGet {
		entry, err := c.Get(ctx, request.Key)
		return httpstore.Response{Entry: entry}, err
	}
	entries, err := c.List(ctx, request.Key)
	return httpstore.Response{Entries: entries}, err
}

func (c *Client) serveLease(ctx context.Context, path string, decode func(any) error) (httpstore.Response, error) {
	var request httpstore.LeaseRequest
	if err := decode(&request); err != nil {
		return httpstore.Response{}, malformed(path, err)
	}
	switch path {
	case httpstore.PathGrant:
		id, err := c.Grant(ctx, request.TTL)
		return httpstore.Response{Lease: id}, err
	case httpstore.PathRenew:
		return httpstore.Response{}, c.Renew(ctx, request.ID)
	default:
		return httpstore.Response{}, c.Revoke(ctx, request.ID)
	}
}

func malformed(path string, err error) error {
	return &kvstore.Error{Kind: kvstore.KindInvalid, Op: path, Err: err}
}

func statusCode(err error) int {
	var failure *kvstore.Error
	if !errors.As(err, &failure) {
		return http.StatusOK
	}
	switch failure.Kind {
	case kvstore.KindConflict:
		return http.StatusConflict
	case kvstore.KindLeaseExpired:
		return http.StatusGone
	case kvstore.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
