package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"peridotrail/internal/idempotency"
	"peridotrail/internal/problem"
)

// IssuePath is the path at which callers get idempotency keys.
const IssuePath = "/v1/idempotency-keys"

const maxIssued = 100 // keys in one answer

// issuedKeys is the answer to POST IssuePath.
type issuedKeys struct {
	IdempotencyKeys []string `json:"idempotencyKeys"`
	ValidSeconds    int      `json:"validSeconds"`
}

// issue answers POST /v1/idempotency-keys?count=N with new keys for the caller's
// client account.
func (f *FrontDoor) issue(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	x.prefix = IssuePath
	if r.Method != http.MethodPost {
		p := malformed("the method must be POST")
		p.Status = http.StatusMethodNotAllowed
		w.Header().Set("Allow", http.MethodPost)
		x.refuse(w, p)
		return
	}
	count, ok := issueCount(r.URL.Query().Get("count"))
	if !ok {
		x.refuse(w, malformed("count must be from 1 to "+strconv.Itoa(maxIssued)))
		return
	}
	x.policy = f.options.Policy()
	if x.policy == nil {
		x.refuse(w, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").WithRetryAfter(notReadyRetry))
		return
	}
	if !x.readKey(r) {
		x.refuse(w, problem.New(problem.TypeUnauthenticated, problem.ExecutedNo, "no valid key came with the request"))
		return
	}
	f.writeIssued(w, x, count)
}

func issueCount(text string) (int, bool) {
	if text == "" {
		return 1, true
	}
	count, err := strconv.Atoi(text)
	return count, err == nil && count >= 1 && count <= maxIssued
}

func (f *FrontDoor) writeIssued(w http.ResponseWriter, x *exchange, count int) {
	answer := issuedKeys{ValidSeconds: int(idempotency.KeyValidity.Seconds())}
	for range count {
		answer.IdempotencyKeys = append(answer.IdempotencyKeys, f.options.Idempotency.Local.Keeper.Issue(x.account))
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone away
}
