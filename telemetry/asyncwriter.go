package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxBufferedBytes is the maximum size of the log lines that wait to be written.
	maxBufferedBytes = 1 << 20
	// flushInterval is the longest time for which a line is buffered before it is
	// written, so that many lines share a write.
	flushInterval = 50 * time.Millisecond
)

// AsyncWriter passes log lines to an underlying writer in the background. Write
// never blocks: lines for which the buffer has no room are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	dropped prometheus.Counter

	mu     sync.Mutex
	buf    []byte
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out until Close is called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "basiltally_log_lines_dropped_total", Help: "Log lines that found no room in the buffer.",
		}),
	}
	go w.run()
	return w
}

// Write adds one log line to the buffer, or drops it if the buffer has no room or
// after Close. It returns no error.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buf)+len(p) > maxBufferedBytes {
		w.dropped.Inc()
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	var out []byte
	for range w.wake {
		time.Sleep(flushInterval)
		out = w.flush(out)
	}
	w.flush(out)
}

// flush writes the buffered lines and returns their buffer for reuse; spare is the
// buffer to use next.
func (w *AsyncWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	out := w.buf
	w.buf = spare[:0]
	w.mu.Unlock()
	if len(out) > 0 {
		if _, err := w.out.Write(out); err != nil {
			w.dropped.Inc()
		}
	}
	return out
}

// Close writes the buffered lines and stops the background goroutine.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	<-w.done
}

// Describe implements prometheus.Collector.
func (w *AsyncWriter) Describe(c chan<- *prometheus.Desc) { w.dropped.Describe(c) }

// Collect implements prometheus.Collector.
func (w *AsyncWriter) Collect(c chan<- prometheus.Metric) { w.dropped.Collect(c) }
