package changefeed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/kvstore"
	"peridotrail/internal/replica"
)

// teller answers as a test says and keeps the last question.
type teller struct {
	changes replica.Changes
	err     error
	after   kvstore.Revision
	wait    time.Duration
}

func (t *teller) Changes(_ context.Context, after kvstore.Revision, wait time.Duration) (replica.Changes, error) {
	t.after, t.wait = after, wait
	return t.changes, t.err
}

func serve(t *testing.T, handler http.Handler) replica.Peer {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return replica.Peer{Name: "a", Address: strings.TrimPrefix(server.URL, "http://")}
}

func TestChangesArriveAsTheyWereTold(t *testing.T) {
	told := replica.Changes{
		Entries: []kvstore.Entry{
			{Key: "put", Value: []byte{0, 255, 'x'}, Revision: 8, Lease: 3},
			{Key: "gone"},
		},
		At: 9, ProofAge: 1234 * time.Microsecond, Outages: 2,
	}
	source := &teller{changes: told}
	got, err := NewClient().Changes(t.Context(), serve(t, Handler(source, log.NewNopLogger())), 7, 250*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, kvstore.Revision(7), source.after)
	require.Equal(t, 250*time.Millisecond, source.wait)
	require.Equal(t, told, got)
}

func TestFailures(t *testing.T) {
	raw := func(status int, body any) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = cbor.NewEncoder(w).Encode(body)
		})
	}
	failing := func(kind kvstore.ErrorKind) http.Handler {
		return Handler(&teller{err: &kvstore.Error{Kind: kind}}, log.NewNopLogger())
	}
	tests := []struct {
		name    string
		handler http.Handler
		want    kvstore.ErrorKind
	}{
		{"the history begins later", failing(kvstore.KindCompacted), kvstore.KindCompacted},
		{"nothing is loaded", failing(kvstore.KindUnavailable), kvstore.KindUnavailable},
		{"another program at the address", http.NotFoundHandler(), kvstore.KindUnavailable},
		{"no changes in the answer", raw(http.StatusOK, "hello"), kvstore.KindInvalid},
		{"a proof from the future", raw(http.StatusOK, answer{At: 9, ProofAge: -time.Hour}), kvstore.KindInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewClient().Changes(t.Context(), serve(t, test.handler), 7, 0)
			require.True(t, kvstore.IsKind(err, test.want), "%v", err)
		})
	}
}

func TestAnAnswerThatIsCutIsNoAnswer(t *testing.T) {
	peer := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(encode(replica.Changes{Entries: make([]kvstore.Entry, 50), At: 9}))
		require.NoError(t, err)
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(data) // the client sees the end
	}))
	_, err := NewClient().Changes(t.Context(), peer, 7, 0)
	require.True(t, kvstore.IsKind(err, kvstore.KindUnavailable), "%v", err)
}

func TestQuestionsThatCantBeRead(t *testing.T) {
	peer := serve(t, Handler(&teller{}, log.NewNopLogger()))
	for _, query := range []string{"", "after=x&wait=1s", "after=1", "after=1&wait=1", "after=-1&wait=1s"} {
		response, err := http.Get("http://" + peer.Address + Path + "?" + query)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusBadRequest, response.StatusCode, query)
	}
}

func TestWaitIsBounded(t *testing.T) {
	source := &teller{}
	_, err := NewClient().Changes(t.Context(), serve(t, Handler(source, log.NewNopLogger())), 0, time.Hour)
	require.NoError(t, err)
	require.Equal(t, waitMost, source.wait)
}
