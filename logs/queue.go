package logs

import (
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	queueBytes = 256 << 10             // lines that wait; a reader that stops costs lines, not requests
	flushEvery = 50 * time.Millisecond // several lines go out in one write
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded buffer, and those
// that find it full are counted and left out. It writes a line with the count
// when there is room again.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	lost    uint64 // since the last line that told it
	total   uint64 // lost lines in all
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a Queue that writes to out on a goroutine of its own.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a line. It always succeeds.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.waiting)+len(line) > queueBytes {
		q.lost++
		q.total++
		return len(line), nil
	}
	if q.lost > 0 {
		q.waiting = append(q.waiting, `{"level":"warn","part":"logs","lost":`...)
		q.waiting = strconv.AppendUint(q.waiting, q.lost, 10)
		q.waiting = append(q.waiting, `,"message":"lines left out"}`+"\n"...)
		q.lost = 0
	}
	q.waiting = append(q.waiting, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (q *AsyncWriter) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}

func (q *AsyncWriter) run() {
	defer close(q.done)
	for range q.wake {
		time.Sleep(flushEvery)
		q.mu.Lock()
		b, closed := q.waiting, q.closed
		q.waiting = q.spare[:0]
		q.mu.Unlock()
		if len(b) > 0 {
			_, _ = q.out.Write(b) // there is nowhere left to tell the error
		}
		q.mu.Lock()
		q.spare = b
		more := len(q.waiting) > 0
		q.mu.Unlock()
		if closed && !more {
			return
		}
	}
}

// Close writes what waits, for at most a time, and ends the Queue.
func (q *AsyncWriter) Close(within time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(within):
	}
}
