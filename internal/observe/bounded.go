package observe

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/task"
)

// lineBacklog is the number of log lines that may wait for a slow reader.
const lineBacklog = 4096

// BoundedWriter hands lines to a writer that may be slow or stuck. Write never
// blocks: the oldest waiting lines are dropped and counted in the metric
// duty.ring.log.drops.
type BoundedWriter struct {
	ring *task.Ring[[]byte]
	out  io.Writer
	done sync.WaitGroup
}

// NewBoundedWriter starts the goroutine that writes to out.
func NewBoundedWriter(out io.Writer, registry metrics.Registry) *BoundedWriter {
	w := &BoundedWriter{out: out, ring: task.NewRing(task.RingOptions[[]byte]{
		Name: "log", Capacity: lineBacklog, Full: task.DropOldest, Metrics: registry,
	})}
	w.done.Go(w.drain)
	return w
}

// Write implements io.Writer. It takes one whole line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.ring.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// batchWait is the time in which lines gather for one write.
const batchWait = 20 * time.Millisecond

// batchBytes is the size from which waiting lines are written out together.
const batchBytes = 32 << 10

func (w *BoundedWriter) drain() {
	var batch []byte
	for {
		line, err := w.ring.Pop(context.Background())
		if err != nil {
			return // closed and empty
		}
		time.Sleep(batchWait)
		batch = append(batch[:0], line...)
		for len(batch) < batchBytes {
			more, ok := w.ring.TryPop()
			if !ok {
				break
			}
			batch = append(batch, more...)
		}
		_, _ = w.out.Write(batch) // there is no other place to report to
	}
}

// Close writes the waiting lines out and stops. It gives a reader that is stuck up
// to wait to take them.
func (w *BoundedWriter) Close(wait time.Duration) {
	w.ring.Close()
	done := make(chan struct{})
	go func() { w.done.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(wait):
	}
}
