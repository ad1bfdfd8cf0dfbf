package changefeed

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/httpstatus"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/replica"
)

// fakeProvider returns the given changes or error and records the parameters.
type fakeProvider struct {
	changes  replica.Changes
	err      error
	gotAfter kvstore.Revision
	gotWait  time.Duration
}

func (p *fakeProvider) Changes(_ context.Context, after kvstore.Revision, wait time.Duration) (replica.Changes, error) {
	p.gotAfter, p.gotWait = after, wait
	return p.changes, p.err
}

func serve(t *testing.T, handler http.Handler) replica.Peer {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return replica.Peer{Name: "a", Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestClientReceivesAllFieldsOfChanges(t *testing.T) {
	want := replica.Changes{
		Entries: []kvstore.Entry{
			{Key: "put", Value: []byte{0, 255, 'x'}, Revision: kvstore.Revision{Number: 8}, Lease: kvstore.LeaseID{Number: 3}},
			{Key: "gone"},
		},
		At: kvstore.Revision{Number: 9}, ProofAge: 1234 * time.Microsecond, Outages: 2, Path: []string{"a-1", "a-2"},
	}
	provider := &fakeProvider{changes: want}
	got, err := NewClient().Changes(t.Context(), serve(t, Handler(provider, log.NewNopLogger())), kvstore.Revision{Number: 7}, 250*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, kvstore.Revision{Number: 7}, provider.gotAfter)
	require.Equal(t, 250*time.Millisecond, provider.gotWait)
	require.Equal(t, want, got)
}

func TestClientReportsErrorKinds(t *testing.T) {
	raw := func(status int, body any) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = cbor.NewEncoder(w).Encode(body)
		})
	}
	failing := func(kind kvstore.ErrorKind) http.Handler {
		return Handler(&fakeProvider{err: &kvstore.Error{Kind: kind}}, log.NewNopLogger())
	}
	tests := []struct {
		name    string
		handler http.Handler
		want    kvstore.ErrorKind
	}{
		{"changes no longer available", failing(kvstore.KindCompacted), kvstore.KindCompacted},
		{"no data loaded", failing(kvstore.KindUnavailable), kvstore.KindUnavailable},
		{"another server at the address", http.NotFoundHandler(), kvstore.KindUnavailable},
		{"response of another type", raw(http.StatusOK, "hello"), kvstore.KindInvalid},
		{"negative proof age", raw(http.StatusOK, changesResponse{At: 9, ProofAge: -time.Hour}), kvstore.KindInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewClient().Changes(t.Context(), serve(t, test.handler), kvstore.Revision{Number: 7}, 0)
			require.True(t, kvstore.IsKind(err, test.want), "%v", err)
		})
	}
}

func TestClientRejectsTruncatedResponse(t *testing.T) {
	peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(newChangesResponse(replica.Changes{Entries: make([]kvstore.Entry, 50), At: kvstore.Revision{Number: 9}}))
		require.NoError(t, err)
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(data) // the connection ends before Content-Length bytes
	}))
	_, err := NewClient().Changes(t.Context(), peer, kvstore.Revision{Number: 7}, 0)
	require.True(t, kvstore.IsKind(err, kvstore.KindUnavailable), "%v", err)
}

func TestHandlerRejectsInvalidParameters(t *testing.T) {
	peer := serve(t, Handler(&fakeProvider{}, log.NewNopLogger()))
	for _, query := range []string{"", "after=x&wait=1s", "after=1", "after=1&wait=1", "after=-1&wait=1s"} {
		response, err := http.Get("http://" + peer.Address + Path + "?" + query)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode, query)
	}
}

func TestHandlerLimitsWait(t *testing.T) {
	provider := &fakeProvider{}
	_, err := NewClient().Changes(t.Context(), serve(t, Handler(provider, log.NewNopLogger())), kvstore.Revision{}, time.Hour)
	require.NoError(t, err)
	require.Equal(t, maxWait, provider.gotWait)
}

func TestErasOfChanges(t *testing.T) {
	era, _ := kvstore.NewEra(4)
	want := replica.Changes{
		Entries: []kvstore.Entry{{Key: "put", Value: []byte("x"), Revision: kvstore.Revision{Era: era, Number: 8}, Lease: kvstore.LeaseID{Era: era, Number: 3}}, {Key: "gone"}},
		At:      kvstore.Revision{Era: era, Number: 9},
	}
	provider := &fakeProvider{changes: want}
	after := kvstore.Revision{Era: era, Number: 7}
	got, err := NewClient().Changes(t.Context(), serve(t, Handler(provider, log.NewNopLogger())), after, 0)
	require.NoError(t, err)
	require.Equal(t, after, provider.gotAfter)
	require.Equal(t, want, got)
}

// earlierResponse is the body of a response of commit e7db9ce: an entry "k" with the value
// "v", revision 8 and lease 3, up to revision 9, a proof of 1 ms and no outage.
const earlierResponse = "\x84\x81\x84\x61k\x41v\x08\x03\x09\x1a\x00\x0f\x42\x40\x00"

// Hosts of e7db9ce and before name no era: neither in what they ask nor in what they send.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.NotEmpty(t, r.URL.Query().Get("after"), "they read this parameter only")
		_, _ = w.Write([]byte(earlierResponse))
	}))
	era, _ := kvstore.NewEra(4)
	got, err := NewClient().Changes(t.Context(), peer, kvstore.Revision{Era: era, Number: 7}, 0)
	require.NoError(t, err)
	want := replica.Changes{
		Entries: []kvstore.Entry{{Key: "k", Value: []byte("v"), Revision: kvstore.Revision{Number: 8}, Lease: kvstore.LeaseID{Number: 3}}},
		At:      kvstore.Revision{Number: 9}, ProofAge: time.Millisecond,
	}
	require.Equal(t, want, got, "the changes are of no named era")

	provider := &fakeProvider{changes: want}
	served := serve(t, Handler(provider, log.NewNopLogger()))
	response, err := http.Get("http://" + served.Address + Path + "?after=7&wait=250ms")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, kvstore.Revision{Number: 7}, provider.gotAfter)
	require.Equal(t, earlierResponse, string(body), "they decode an array of exactly these fields")
}

// A response with an invalid status is none: the host is asked again.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "-00", "+20"} {
		peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 0\r\n\r\n")
				_ = conn.Close()
			}
		}))
		_, err := NewClient().Changes(t.Context(), peer, kvstore.Revision{}, time.Second)
		require.True(t, kvstore.IsKind(err, kvstore.KindUnavailable), "%s: %v", status, err)
		var invalid *httpstatus.InvalidError
		require.ErrorAs(t, err, &invalid, status)
	}
}
