package rig

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotrail/review/platform"
)

// Worker is a worker whose process can crash and start again at the same address.
type Worker struct {
	ID      string
	handler http.Handler
	address string

	mu     sync.Mutex // guards the fields below
	server *http.Server
	born   int64
}

// NewWorker starts a worker on a free port.
func (r *Rig) NewWorker(id string, handler func(w *Worker) http.Handler) *Worker {
	w := &Worker{ID: id, address: "127.0.0.1:0"}
	w.handler = handler(w)
	if err := w.start(); err != nil {
		r.Abort("worker: %v", err)
	}
	r.OnEnd(w.Crash)
	return w
}

func (w *Worker) start() error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.handler}
	w.mu.Lock()
	w.address, w.server, w.born = listener.Addr().String(), server, time.Now().UnixMilli()
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Crash
	return nil
}

// Crash ends the worker: it listens no more and all its connections end.
func (w *Worker) Crash() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Restart starts a worker that has crashed at the address that it had.
func (w *Worker) Restart(ctx context.Context) error {
	for {
		err := w.start()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Entry returns the worker's entry in the store.
func (w *Worker) Entry(service, zone string, slots int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.Entry(service, w.address, zone, slots, w.born)
}

// Succeed answers a request as a sound worker does.
func (w *Worker) Succeed(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(platform.HeaderID, request.Header.Get(platform.HeaderID))
	writer.Header().Set(platform.HeaderSignature, "signed."+w.ID)
	_, _ = strings.NewReader("answer of " + w.ID).WriteTo(writer) // the host may have left
}
