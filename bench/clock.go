// Package bench measures the admission and scheduling decisions of entry
// processes on a virtual clock. The queues and limits are the real ones; the
// engines are small models with slots and continuous batching. Every run with
// the same seed gives the same figures.
package bench

import (
	"container/heap"
	"time"
)

// event is one call at a virtual time.
type event struct {
	at     time.Duration
	number uint64
	call   func()
}

type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders by time, then by the order of creation.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// clock runs events in order of their virtual time.
type clock struct {
	now    time.Duration
	number uint64
	queue  events
}

// epoch is the wall time of virtual time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// time returns the virtual time as the decision code reads it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, call func()) { c.at(c.now+max(d, 0), call) }

func (c *clock) at(t time.Duration, call func()) {
	c.number++
	heap.Push(&c.queue, event{max(t, c.now), c.number, call})
}

// run runs all events up to and including the end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.call()
	}
	c.now = end
}
