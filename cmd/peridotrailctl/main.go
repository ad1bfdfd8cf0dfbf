// Command peridotrailctl is the operators' tool: it checks and applies
// configurations and shows the state of the fleet.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peridotrail/internal/ctl"
	"peridotrail/internal/kvstore"
	"peridotrail/internal/kvstore/httpstore"
)

// pollInterval is the time between two polls of commands that wait for a change.
const pollInterval = 200 * time.Millisecond

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &ctl.App{
		Stdout:       os.Stdout,
		Stderr:       os.Stderr,
		OpenStore:    func(endpoints []string) kvstore.Store { return httpstore.New(endpoints) },
		HTTP:         &http.Client{},
		Now:          time.Now,
		PollInterval: pollInterval,
	}
	os.Exit(app.Run(ctx, os.Args))
}
