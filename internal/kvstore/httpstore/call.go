package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"time"

	"peridotrail/internal/http1"
	"peridotrail/internal/kvstore"
)

const maxResponseBytes = 64 << 20

// call describes one call to the store.
type call struct {
	op      string
	key     string
	path    string
	body    any
	timeout time.Duration
}

func (c call) failure(kind kvstore.ErrorKind, err error) error {
	return &kvstore.Error{Kind: kind, Op: c.op, Key: c.key, Err: err}
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// read performs a call that changes nothing. It retries failures that may be
// temporary, within the retry budget.
func (c *Client) read(ctx context.Context, k call) (Response, error) {
	c.budget.deposit()
	for attempt := 1; ; attempt++ {
		response, err := c.attempt(ctx, k)
		if err == nil || !retryable(err) {
			return response, err
		}
		if attempt >= c.attempts || ctx.Err() != nil || !c.budget.withdraw() {
			return response, asUnavailable(err)
		}
		if !sleep(ctx, backoff(attempt)) {
			return response, asUnavailable(err)
		}
	}
}

// write performs a call that may change the store. It is never retried, because a
// failed attempt may have taken effect.
func (c *Client) write(ctx context.Context, k call) (Response, error) {
	c.budget.deposit()
	return c.attempt(ctx, k)
}

// attempt performs one attempt at the current endpoint. After a retryable failure it
// makes the next endpoint current.
func (c *Client) attempt(ctx context.Context, k call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	body, err := json.Marshal(k.body)
	if err != nil {
		return Response{}, k.failure(kvstore.KindInvalid, err)
	}
	index := c.current.Load()
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := c.endpoints[int(index)%len(c.endpoints)] + k.path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Response{}, k.failure(kvstore.KindInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderHost, c.host)
	request.Header.Set(HeaderFailureDomain, c.domain)
	response, err := c.roundTrip(request, k, &connected)
	if retryable(err) {
		c.current.CompareAndSwap(index, index+1)
	}
	return response, err
}

// roundTrip sends the request and decodes the response. If no connection was
// established, the store can't have received the request and the error is of
// KindUnavailable.
func (c *Client) roundTrip(request *http.Request, k call, connected *bool) (Response, error) {
	httpResponse, err := c.http.Do(request)
	if err != nil {
		if !*connected {
			return Response{}, k.failure(kvstore.KindUnavailable, err)
		}
		return Response{}, k.failure(kvstore.KindUnknownOutcome, err)
	}
	defer httpResponse.Body.Close()
	var response Response
	data, err := http1.ReadBody(httpResponse, maxResponseBytes)
	if err == nil {
		err = json.Unmarshal(data, &response)
	}
	return response, k.errorForStatus(httpResponse.StatusCode, err)
}

// errorForStatus returns the error for a response with the given status, nil for a
// success. decodeErr is the error from decoding the body.
func (c call) errorForStatus(status int, decodeErr error) error {
	switch status {
	case http.StatusOK, http.StatusConflict:
		if decodeErr != nil {
			return c.failure(kvstore.KindUnknownOutcome, decodeErr)
		}
		if status == http.StatusConflict {
			return c.failure(kvstore.KindConflict, nil)
		}
		return nil
	case http.StatusGone:
		return c.failure(kvstore.KindLeaseExpired, nil)
	case http.StatusBadRequest:
		return c.failure(kvstore.KindInvalid, nil)
	case http.StatusServiceUnavailable:
		return c.failure(kvstore.KindUnavailable, &StatusError{status})
	default:
		return c.failure(kvstore.KindUnknownOutcome, &StatusError{status})
	}
}

func retryable(err error) bool {
	return kvstore.IsKind(err, kvstore.KindUnavailable) || kvstore.IsKind(err, kvstore.KindUnknownOutcome)
}

// asUnavailable converts KindUnknownOutcome to KindUnavailable, for reads, which have
// no effect whatever their outcome.
func asUnavailable(err error) error {
	failure, ok := err.(*kvstore.Error)
	if !ok || failure.Kind != kvstore.KindUnknownOutcome {
		return err
	}
	return &kvstore.Error{Kind: kvstore.KindUnavailable, Op: failure.Op, Key: failure.Key, Err: failure.Err}
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
