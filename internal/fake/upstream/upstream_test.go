package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/problem"
)

func call(u *Upstream, ctx context.Context, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, "POST", "/reservations", strings.NewReader("adult"))
	r.Header.Set(HeaderRunID, id)
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // ServeHTTP aborts a truncated or lost response by panicking
		u.ServeHTTP(w, r)
	}()
	return w
}

func TestSlotsQueueAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(Settings{Name: "u1", Slots: 1, Queue: 1, ServiceTime: time.Second})
		started := time.Now()
		durations := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				call(u, t.Context(), "")
				durations <- time.Since(started)
			}()
			synctest.Wait()
		}
		w := call(u, t.Context(), "")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.Equal(t, string(problem.ExecutedNo), w.Header().Get(problem.ExecutedHeader))
		require.Equal(t, time.Second, <-durations)
		require.Equal(t, 2*time.Second, <-durations)
		require.Equal(t, Counts{Served: 2, Shed: 1}, u.Counts())
	})
}

func TestColdStartAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(Settings{Name: "u1", Slots: 1, ServiceTime: time.Second, ColdTime: time.Minute, ColdRequests: 1})
		started := time.Now()
		w := call(u, t.Context(), "a")
		require.Equal(t, "u1 POST /reservations\nadult", w.Body.String())
		require.Equal(t, time.Minute+time.Second, time.Since(started))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		call(u, ctx, "a")
		require.Equal(t, Counts{Served: 2, Cancelled: 1, Duplicates: 1}, u.Counts())
		require.Equal(t, 2, u.Runs("a"))
	})
}

func TestReportsLagAndFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(Settings{Slots: 2, ServiceTime: time.Hour, ReportLag: 10 * time.Second})
		inUse := func() int {
			w := httptest.NewRecorder()
			u.ServeHTTP(w, httptest.NewRequest("GET", LoadPath, nil))
			var l loadResponse
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &l))
			return l.InUse
		}
		require.Zero(t, inUse())
		ctx, cancel := context.WithCancel(t.Context())
		go call(u, ctx, "")
		synctest.Wait()
		time.Sleep(5 * time.Second)
		require.Zero(t, inUse())
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, inUse())
		cancel()
		u.Faults.FreezeReports.Store(true)
		time.Sleep(time.Hour)
		require.Equal(t, 1, inUse())
	})
}

func TestFaults(t *testing.T) {
	u := New(Settings{Name: "u1", Slots: 1})
	server := httptest.NewServer(u)
	defer server.Close()
	post := func() error {
		response, err := http.Post(server.URL+"/x", "text/plain", strings.NewReader("a"))
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		return err
	}
	require.NoError(t, post())
	u.Faults.TruncateResponses.Store(true)
	require.Error(t, post())
	u.Faults.TruncateResponses.Store(false)
	u.Faults.LoseResponses.Store(true)
	require.Error(t, post())
	require.Equal(t, int64(3), u.Counts().Served)
	for _, alwaysHealthy := range []bool{false, true} {
		u.Faults.AlwaysHealthy.Store(alwaysHealthy)
		response, err := http.Get(server.URL + HealthPath)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, alwaysHealthy, response.StatusCode == http.StatusOK)
	}
}
