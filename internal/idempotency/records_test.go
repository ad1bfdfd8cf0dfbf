package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func beginOf(key string, sequence uint64) *Begin {
	return &Begin{Account: "clinic", Key: key, Attempt: Attempt{Host: "h1", Sequence: sequence}, Timeout: time.Minute}
}

func finishOf(b *Begin, result Result, response *Response) *Finish {
	return &Finish{Account: b.Account, Key: b.Key, Attempt: b.Attempt, Result: result, Response: response}
}

func TestRecordLifecycles(t *testing.T) {
	response := &Response{Status: 201, Body: []byte("booked")}
	for _, c := range []struct {
		name  string
		steps func(r *recordTable, first *Begin)
		after time.Duration
		want  Verdict
	}{
		{"running", func(*recordTable, *Begin) {}, 0, VerdictInProgress},
		{"timeout over", func(*recordTable, *Begin) {}, 2 * time.Minute, VerdictUnknown},
		{"answered", func(r *recordTable, b *Begin) { r.finish(start, finishOf(b, ResultAnswered, response)) }, 0, VerdictReplay},
		{"answered, not kept", func(r *recordTable, b *Begin) { r.finish(start, finishOf(b, ResultAnswered, nil)) }, 0, VerdictUnknown},
		{"unknown", func(r *recordTable, b *Begin) { r.finish(start, finishOf(b, ResultUnknown, nil)) }, 0, VerdictUnknown},
		{"not run", func(r *recordTable, b *Begin) { r.finish(start, finishOf(b, ResultNotRun, nil)) }, 0, VerdictRun},
		{"not run, reported late", func(r *recordTable, b *Begin) {
			r.finish(start, finishOf(b, ResultUnknown, nil))
			r.finish(start, finishOf(b, ResultNotRun, nil))
		}, 0, VerdictRun},
		{"not run, reported twice with another attempt in between", func(r *recordTable, b *Begin) {
			r.finish(start, finishOf(b, ResultNotRun, nil))
			r.begin(start, beginOf("k", 9), start.Add(time.Hour), true)
			r.finish(start, finishOf(b, ResultNotRun, nil))
		}, 0, VerdictInProgress},
		{"answered, then a late not run", func(r *recordTable, b *Begin) {
			r.finish(start, finishOf(b, ResultAnswered, response))
			r.finish(start, finishOf(b, ResultNotRun, nil))
		}, 0, VerdictReplay},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecordTable(10, 1000)
			first := beginOf("k", 1)
			require.Equal(t, VerdictRun, r.begin(start, first, start.Add(time.Hour), true).Verdict)
			c.steps(r, first)
			got := r.begin(start.Add(c.after), beginOf("k", 2), start.Add(time.Hour), true)
			require.Equal(t, c.want, got.Verdict)
			if c.want == VerdictReplay {
				require.Equal(t, response, got.Response)
			}
		})
	}
}

func TestReusedKeyIsFound(t *testing.T) {
	r := newRecordTable(10, 1000)
	r.begin(start, beginOf("k", 1), start.Add(time.Hour), true)
	other := beginOf("k", 2)
	other.Fingerprint = Fingerprint{1}
	require.Equal(t, VerdictReused, r.begin(start, other, start.Add(time.Hour), true).Verdict)
}

func TestRecordsAreBounded(t *testing.T) {
	r := newRecordTable(2, 10)
	for i, key := range []string{"a", "b"} {
		b := beginOf(key, uint64(i))
		require.Equal(t, VerdictRun, r.begin(start, b, start.Add(time.Minute), true).Verdict)
		r.finish(start, finishOf(b, ResultAnswered, &Response{Body: []byte("sixsix")}))
	}
	require.Equal(t, VerdictFull, r.begin(start, beginOf("c", 3), start.Add(time.Hour), true).Verdict)
	require.Equal(t, VerdictUnknown, r.begin(start, beginOf("a", 4), start.Add(time.Hour), true).Verdict, "the oldest response is dropped, its record is not")
	require.Equal(t, VerdictReplay, r.begin(start, beginOf("b", 5), start.Add(time.Hour), true).Verdict)
	require.LessOrEqual(t, r.responseBytes, 10)
	require.Equal(t, VerdictRun, r.begin(start.Add(2*time.Minute), beginOf("c", 6), start.Add(time.Hour), true).Verdict, "expired records make room")
	require.Zero(t, r.responseBytes)
}

func TestExpiredKeyNeverRuns(t *testing.T) {
	now := start
	k := NewKeeper(self, func() time.Time { return now })
	key := k.Issue("clinic")
	now = now.Add(KeyValidity)
	require.Equal(t, VerdictUnknown, k.Begin(&Begin{Account: "clinic", Key: key, Timeout: time.Second}).Verdict)
}
