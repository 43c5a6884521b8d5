package fakes

import (
	"context"
	"errors"
	"time"
)

// slotPool limits the requests that an engine runs concurrently. A request that
// finds no free slot is queued; slots go to the highest priority first, and among
// equal priorities to the earliest arrival. Guarded by Engine.mu.
type slotPool struct {
	free    int
	waiting []*waiter
}

// waiter is a queued request for a slot.
type waiter struct {
	priority int
	ready    chan struct{} // closed when the slot is granted
}

var (
	errQueueFull = errors.New("queue is full")
	errRestarted = errors.New("engine was restarted")
)

// release passes a slot on to the next waiter, or frees it if none waits.
func (s *slotPool) release() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	best := 0
	for i, w := range s.waiting {
		if w.priority > s.waiting[best].priority {
			best = i
		}
	}
	w := s.waiting[best]
	s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
	close(w.ready)
}

// remove removes a waiter and reports whether it was still queued.
func (s *slotPool) remove(w *waiter) bool {
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// acquire waits for a slot. It fails if the queue is full, the engine restarts or
// ctx ends.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.slots.free > 0 {
		e.slots.free--
		e.mu.Unlock()
		return nil
	}
	if len(e.slots.waiting) >= e.cfg.Queue {
		e.mu.Unlock()
		return errQueueFull
	}
	boot := e.boot
	w := &waiter{priority: priority, ready: make(chan struct{})}
	e.slots.waiting = append(e.slots.waiting, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return errRestarted
	}
	if ctx.Err() != nil {
		if !e.slots.remove(w) {
			e.slots.release()
		}
		return ctx.Err()
	}
	return nil
}

// batchClock models the timing of continuous batching: work that arrives during
// an iteration joins the next one. Guarded by Engine.mu.
type batchClock struct {
	end  time.Time // end of the current iteration
	next time.Time // end of the following iteration, zero if no work has joined it
}

// join adds work to the next iteration and returns its end. The work prolongs the
// iteration by extra.
func (b *batchClock) join(now time.Time, pace, extra time.Duration) time.Time {
	if !b.next.IsZero() && !now.Before(b.end) {
		b.end, b.next = b.next, time.Time{}
	}
	if !now.Before(b.end) {
		b.end, b.next = now.Add(pace+extra), time.Time{}
		return b.end
	}
	if b.next.IsZero() {
		b.next = b.end.Add(pace)
	}
	b.next = b.next.Add(extra)
	return b.next
}

// compute waits for the time that this stage needs for n positions.
func (e *Engine) compute(ctx context.Context, n int) error {
	e.mu.Lock()
	slow := time.Duration(max(e.faults.Slow, 1))
	extra := time.Duration(n-1) * e.cfg.Prefill * slow
	end := e.batch.join(time.Now(), e.cfg.Pace*slow, extra)
	e.computed += n
	e.mu.Unlock()
	return sleep(ctx, time.Until(end))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
