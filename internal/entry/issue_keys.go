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

const maxIssuedKeys = 100 // keys in one response

// issuedKeys is the body of the response to POST IssuePath.
type issuedKeys struct {
	IdempotencyKeys []string `json:"idempotencyKeys"`
	ValidSeconds    int      `json:"validSeconds"`
}

// issueKeys handles POST /v1/idempotency-keys?count=N. It responds with new
// idempotency keys for the caller's client account.
func (h *Handler) issueKeys(w http.ResponseWriter, r *http.Request) {
	x := exchangeOf(r)
	x.prefix = IssuePath
	if r.Method != http.MethodPost {
		p := malformed("the method must be POST")
		p.Status = http.StatusMethodNotAllowed
		w.Header().Set("Allow", http.MethodPost)
		x.refuse(w, p)
		return
	}
	count, ok := parseKeyCount(r.URL.Query().Get("count"))
	if !ok {
		x.refuse(w, malformed("count must be from 1 to "+strconv.Itoa(maxIssuedKeys)))
		return
	}
	x.policy = h.options.Policy()
	if x.policy == nil {
		x.refuse(w, problem.New(problem.TypeNotReady, problem.ExecutedNo, "").WithRetryAfter(notReadyRetryAfter))
		return
	}
	if !x.readKey(r) {
		x.refuse(w, problem.New(problem.TypeUnauthenticated, problem.ExecutedNo, "no valid key came with the request"))
		return
	}
	h.writeIssuedKeys(w, x, count)
}

// parseKeyCount parses the number of requested keys. An empty text means one key.
func parseKeyCount(text string) (int, bool) {
	if text == "" {
		return 1, true
	}
	count, err := strconv.Atoi(text)
	return count, err == nil && count >= 1 && count <= maxIssuedKeys
}

func (h *Handler) writeIssuedKeys(w http.ResponseWriter, x *exchange, count int) {
	response := issuedKeys{ValidSeconds: int(idempotency.KeyValidity.Seconds())}
	for range count {
		response.IdempotencyKeys = append(response.IdempotencyKeys, h.options.Idempotency.Local.Keeper.Issue(x.account))
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(response) // the caller may have disconnected
}
