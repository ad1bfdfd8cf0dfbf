package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// answer echoes the request's body below a line with the upstream's name.
func (u *Upstream) answer(w http.ResponseWriter, r *http.Request) {
	if u.Faults.LoseAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	if delay := time.Duration(u.Faults.AnswerDelay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	if u.Faults.Failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s %s\n", u.settings.Name, r.Method, r.URL.Path)
	if u.Faults.CutAnswers.Load() {
		w.Header().Set("Content-Length", strconv.Itoa(2*len(text)))
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
	_, _ = io.Copy(w, r.Body) // a lost caller is seen by the request's context
}

// load is the answer at LoadPath.
type load struct {
	Slots  int `json:"slots"`
	InUse  int `json:"inUse"`
	Queued int `json:"queued"`
}

func (u *Upstream) report() report {
	return report{
		load:    load{Slots: u.settings.Slots, InUse: len(u.slots), Queued: int(u.waiting.Load())},
		healthy: !u.Faults.Failing.Load() && !u.Faults.LoseAnswers.Load(),
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	reported := u.reports.at(time.Now(), u.report(), u.Faults.FrozenReport.Load())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reported.load)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	reported := u.reports.at(time.Now(), u.report(), u.Faults.FrozenReport.Load())
	if !reported.healthy && !u.Faults.SayHealthy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}
