package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"peridotrail/internal/kvstore"
)

const maxAnswerBytes = 64 << 20

// call is one call to the store.
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

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// read performs a call without effect and retries it within the retry budget.
func (c *Client) read(ctx context.Context, k call) (Response, error) {
	c.budget.earn()
	for attempt := 1; ; attempt++ {
		answer, err := c.once(ctx, k)
		if err == nil || !retryable(err) {
			return answer, err
		}
		if attempt >= c.attempts || ctx.Err() != nil || !c.budget.spend() {
			return answer, asRead(err)
		}
		if !sleep(ctx, backoff(attempt)) {
			return answer, asRead(err)
		}
	}
}

// write performs a call that may take effect. It is never repeated.
func (c *Client) write(ctx context.Context, k call) (Response, error) {
	c.budget.earn()
	return c.once(ctx, k)
}

// once performs one attempt at the current endpoint and moves to the next
// endpoint when it fails.
func (c *Client) once(ctx context.Context, k call) (Response, error) {
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
	answer, err := c.roundTrip(request, k, &connected)
	if retryable(err) {
		c.current.CompareAndSwap(index, index+1)
	}
	return answer, err
}

// roundTrip sends the request and maps the answer. The request cannot have been
// received if no connection was obtained.
func (c *Client) roundTrip(request *http.Request, k call, connected *bool) (Response, error) {
	response, err := c.http.Do(request)
	if err != nil {
		if !*connected {
			return Response{}, k.failure(kvstore.KindUnavailable, err)
		}
		return Response{}, k.failure(kvstore.KindUnknownOutcome, err)
	}
	defer response.Body.Close()
	var answer Response
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
	return answer, k.outcome(response.StatusCode, err)
}

func (c call) outcome(status int, decodeErr error) error {
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

// asRead maps an unknown outcome to unavailable: a read has no effect.
func asRead(err error) error {
	failure, ok := err.(*kvstore.Error)
	if !ok || failure.Kind != kvstore.KindUnknownOutcome {
		return err
	}
	return &kvstore.Error{Kind: kvstore.KindUnavailable, Op: failure.Op, Key: failure.Key, Err: failure.Err}
}

// sleep waits for d and reports false if ctx ended first.
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
