package logs

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	maxBufferedBytes = 256 << 10             // when the log reader stalls, further lines are dropped
	flushInterval    = 50 * time.Millisecond // batches lines into one write
)

// AsyncWriter is an io.Writer of log lines that never blocks its callers. Lines
// are buffered and written by a background goroutine. A line that does not fit
// into the buffer is dropped; when there is room again, a warning with the
// number of dropped lines precedes the next line.
type AsyncWriter struct {
	out io.Writer

	mu                 sync.Mutex
	buffer             []byte
	spare              []byte
	droppedSinceReport uint64 // lines dropped since the last warning
	droppedTotal       uint64 // lines dropped since the start
	closed             bool
	wakeup             chan struct{}
	done               chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out and starts its
// goroutine. Close stops it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers or drops a line. It always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferedBytes {
		w.droppedSinceReport++
		w.droppedTotal++
		return len(line), nil
	}
	if w.droppedSinceReport > 0 {
		w.buffer = append(w.buffer, `{"level":"warn","part":"logs","lost":`...)
		w.buffer = strconv.AppendUint(w.buffer, w.droppedSinceReport, 10)
		w.buffer = append(w.buffer, `,"message":"lines left out"}`+"\n"...)
		w.droppedSinceReport = 0
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return len(line), nil
}

// hasRoom reports whether half of the buffer is free.
func (w *AsyncWriter) hasRoom() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buffer) <= maxBufferedBytes/2
}

// Dropped returns the number of lines that were dropped since the start.
func (w *AsyncWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// run writes the buffered lines until the writer is closed and the buffer is
// empty. The two buffers are swapped, so that Write never waits for out.
func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wakeup {
		time.Sleep(flushInterval)
		w.mu.Lock()
		batch, closed := w.buffer, w.closed
		w.buffer = w.spare[:0]
		w.mu.Unlock()
		if len(batch) > 0 {
			_, _ = w.out.Write(batch) // an error of the log output can't be logged
		}
		w.mu.Lock()
		w.spare = batch
		more := len(w.buffer) > 0
		w.mu.Unlock()
		if closed && !more {
			return
		}
	}
}

// Close makes Write drop further lines and waits until the buffered ones are
// written, or until the timeout.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		select {
		case w.wakeup <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
