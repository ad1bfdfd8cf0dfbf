package clientaccount

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
)

// fakeKeys is a fake Keys that maps digests to client accounts.
type fakeKeys map[Digest]string

func (k fakeKeys) KeyOwner(digest [32]byte) (string, string, bool) {
	account, ok := k[digest]
	return account, "k", ok
}

func TestBearerKey(t *testing.T) {
	for value, want := range map[string]string{
		"Bearer abc": "abc", "bearer  abc ": "abc", "Bearer ": "", "Basic abc": "", "": "", "Bearerabc": "",
	} {
		key, ok := BearerKey(http.Header{"Authorization": {value}})
		require.Equal(t, want, key, value)
		require.Equal(t, want != "", ok, value)
	}
}

func TestWithdrawEndsTheRequestsOfTheKeyOnly(t *testing.T) {
	active := NewActiveRequests()
	gone, r1 := active.Begin(t.Context(), DigestOf("a"), "clinic")
	moved, r2 := active.Begin(t.Context(), DigestOf("b"), "clinic")
	kept, r3 := active.Begin(t.Context(), DigestOf("c"), "clinic")
	owners := map[Digest]string{DigestOf("b"): "centre", DigestOf("c"): "clinic"}
	cancelled := active.Withdraw(func(d Digest) (string, bool) {
		account, ok := owners[d]
		return account, ok
	})
	require.Equal(t, 2, cancelled)
	for _, ctx := range []context.Context{gone, moved} {
		var withdrawn *KeyWithdrawnError
		require.ErrorAs(t, context.Cause(ctx), &withdrawn)
		require.Equal(t, "clinic", withdrawn.Account)
	}
	require.NoError(t, kept.Err())
	require.Equal(t, 3, active.Count())
	r1.End()
	r2.End()
	r3.End()
	require.Zero(t, active.Count())
}

func TestEnforcerFollowsTheRevisionInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		active := NewActiveRequests()
		var revision atomic.Uint64
		revision.Store(1)
		inForce := func() (Keys, configuration.Revision) {
			if revision.Load() == 1 {
				return fakeKeys{DigestOf("a"): "clinic"}, 1
			}
			return fakeKeys{}, 2
		}
		var cancelled atomic.Int64
		e := &Enforcer{
			Requests:  active,
			InForce:   inForce,
			Withdrawn: func(n int) { cancelled.Add(int64(n)) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		request, r := active.Begin(ctx, DigestOf("a"), "clinic")
		defer r.End()
		go e.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		require.NoError(t, request.Err())
		revision.Store(2)
		time.Sleep(CheckInterval + time.Millisecond)
		synctest.Wait()
		require.Error(t, request.Err())
		require.Equal(t, int64(1), cancelled.Load())
		cancel()
	})
}
