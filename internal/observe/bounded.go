package observe

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"peridotrail/internal/task"
)

// maxPendingLines is the maximum number of log lines that wait to be written.
const maxPendingLines = 4096

// BoundedWriter is an asynchronous io.Writer in front of a writer that may be slow or
// blocked. Write never blocks: when the queue is full, the oldest lines are dropped
// and counted in the metric duty.ring.log.drops. It is safe for concurrent use.
type BoundedWriter struct {
	ring    *task.Ring[[]byte]
	out     io.Writer
	writing sync.WaitGroup
}

// NewBoundedWriter starts the goroutine that writes to out.
func NewBoundedWriter(out io.Writer, registry metrics.Registry) *BoundedWriter {
	w := &BoundedWriter{out: out, ring: task.NewRing(task.RingOptions[[]byte]{
		Name: "log", Capacity: maxPendingLines, Full: task.DropOldest, Metrics: registry,
	})}
	w.writing.Go(w.writeBatches)
	return w
}

// Write queues one complete line. It implements io.Writer and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.ring.TryPush(append([]byte(nil), line...))
	return len(line), nil
}

// batchDelay is how long a first line waits for further lines to share its write.
const batchDelay = 20 * time.Millisecond

// batchBytes is the size at which a batch is written even if more lines wait.
const batchBytes = 32 << 10

// writeBatches writes queued lines to out until the queue is closed and empty.
func (w *BoundedWriter) writeBatches() {
	var batch []byte
	for {
		line, err := w.ring.Pop(context.Background())
		if err != nil {
			return // closed and empty
		}
		time.Sleep(batchDelay)
		batch = append(batch[:0], line...)
		for len(batch) < batchBytes {
			more, ok := w.ring.TryPop()
			if !ok {
				break
			}
			batch = append(batch, more...)
		}
		_, _ = w.out.Write(batch) // the log itself has failed, so there is nowhere to report it
	}
}

// Close stops the writer after the queued lines are written, or after timeout if out
// is blocked.
func (w *BoundedWriter) Close(timeout time.Duration) {
	w.ring.Close()
	done := make(chan struct{})
	go func() { w.writing.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
