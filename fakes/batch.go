package fakes

import (
	"context"
	"errors"
	"time"
)

// slots are the requests that an engine runs at once. A request that finds no
// free slot waits; higher priorities go first, then earlier arrivals. The
// engine's lock guards it.
type slots struct {
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{} // closed when the slot is given
}

var (
	errFull = errors.New("queue is full")
	errLost = errors.New("engine was restarted")
)

// give hands a free slot to the next waiter, or keeps it.
func (s *slots) give() {
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

// remove drops a waiter and tells whether it was still waiting.
func (s *slots) remove(w *waiter) bool {
	for i, o := range s.waiting {
		if o == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// acquire waits for a slot.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.slots.free > 0 {
		e.slots.free--
		e.mu.Unlock()
		return nil
	}
	if len(e.slots.waiting) >= e.cfg.Queue {
		e.mu.Unlock()
		return errFull
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
		return errLost
	}
	if ctx.Err() != nil {
		if !e.slots.remove(w) {
			e.slots.give()
		}
		return ctx.Err()
	}
	return nil
}

// batch is the clock of continuous batching: work that arrives during an
// iteration joins the next one. The engine's lock guards it.
type batch struct {
	end  time.Time // end of the iteration that runs
	next time.Time // end of the one after it, zero when no work has joined it
}

// join adds work of the given further duration and returns its end.
func (b *batch) join(now time.Time, pace, extra time.Duration) time.Time {
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

// compute spends the time of n positions on this stage.
func (e *Engine) compute(ctx context.Context, n int) error {
	e.mu.Lock()
	slow := time.Duration(max(e.faults.Slow, 1))
	extra := time.Duration(n-1) * e.cfg.Prefill * slow
	end := e.batch.join(time.Now(), e.cfg.Pace*slow, extra)
	e.used += n
	e.mu.Unlock()
	return sleep(ctx, time.Until(end))
}

// sleep waits for a duration or the end of the context.
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
