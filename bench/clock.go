// Package bench is a discrete-event simulation that measures the admission and
// scheduling decisions of entry processes. Packages queue and limit run unchanged
// on a virtual clock; engines are replaced by models with slots and continuous
// batching. Runs with the same seed produce the same results.
//
// The package also measures how memory and processor time grow with the number
// of accounts, in real time.
package bench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// events is a priority queue of scheduled events.
type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders by time, then by scheduling order.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
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

// clock is the event queue of a simulation and its virtual time.
type clock struct {
	now   time.Duration
	seq   uint64
	queue events
}

// epoch is the time that packages queue and limit see at virtual time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// time returns the virtual time for the Now functions of packages queue and
// limit.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after schedules fn a duration from now; a negative duration counts as 0.
func (c *clock) after(d time.Duration, fn func()) { c.at(c.now+max(d, 0), fn) }

// at schedules fn at a virtual time, or now when that time has passed.
func (c *clock) at(t time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.queue, event{max(t, c.now), c.seq, fn})
}

// run runs all events up to and including the end, then sets the time to the
// end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.fn()
	}
	c.now = end
}
