package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"peridotrail/internal/api"
	"peridotrail/internal/observe"
	"peridotrail/internal/task"
)

const adminReadTimeout = 10 * time.Second

// adminServer serves the API for operators: status, metrics and health.
type adminServer struct {
	host *Host
	http *http.Server
}

func newAdminServer(h *Host) *adminServer {
	a := &adminServer{host: h}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", observe.MetricsHandler(h.options.Metrics))
	mux.HandleFunc("GET /healthz", a.health)
	mux.HandleFunc("GET "+api.StatusPath, a.status)
	mux.Handle("GET "+api.LookupPath, h.dataPlane.lookups)
	a.http = &http.Server{Handler: mux, ReadTimeout: adminReadTimeout}
	return a
}

func (a *adminServer) run(group *task.Group) {
	group.GoUnwatched("admin", func(ctx context.Context) error {
		err := a.http.Serve(a.host.listeners.admin)
		if err != http.ErrServerClosed {
			return err
		}
		<-ctx.Done() // Host.stop closes the server before it stops the group
		return nil
	})
}

// health responds with 200 once a configuration is in force, and with 503 before.
func (a *adminServer) health(w http.ResponseWriter, _ *http.Request) {
	if a.host.inForce.Current() == nil {
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n")) // the client may have disconnected
}

func (a *adminServer) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.host.Status(time.Now())) // the client may have disconnected
}
