package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// respond writes a line with the upstream's name, the method and the path, and then
// the request's body. It panics with http.ErrAbortHandler to lose or truncate the
// response.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request) {
	if u.Faults.LoseResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	if delay := time.Duration(u.Faults.ResponseDelay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	if u.Faults.Failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s %s\n", u.settings.Name, r.Method, r.URL.Path)
	if u.Faults.TruncateResponses.Load() {
		w.Header().Set("Content-Length", strconv.Itoa(2*len(text)))
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
	_, _ = io.Copy(w, r.Body) // fails if the caller disconnected
}

// loadResponse is the body of the response at LoadPath.
type loadResponse struct {
	Slots  int `json:"slots"`
	InUse  int `json:"inUse"`
	Queued int `json:"queued"`
}

// currentReport returns the present load and health, without lag.
func (u *Upstream) currentReport() report {
	return report{
		load:    loadResponse{Slots: u.settings.Slots, InUse: len(u.slots), Queued: int(u.waiting.Load())},
		healthy: !u.Faults.Failing.Load() && !u.Faults.LoseResponses.Load(),
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	reported := u.reports.add(time.Now(), u.currentReport(), u.Faults.FreezeReports.Load())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reported.load)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	reported := u.reports.add(time.Now(), u.currentReport(), u.Faults.FreezeReports.Load())
	if !reported.healthy && !u.Faults.AlwaysHealthy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}
