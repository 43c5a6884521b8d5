package queue

import (
	"container/heap"
	"sort"
	"time"
)

// flow is the queue of one account in one class, in order of arrival.
type flow struct {
	account string
	waiting []*Entry
	index   int // position in the heap, -1 when idle
}

// lane orders the flows of one class by the start tag of their first entry.
type lane struct {
	heap  []*flow
	flows map[string]*flow
	count int
}

func newLane() *lane { return &lane{flows: map[string]*flow{}} }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *lane) Len() int { return len(l.heap) }

// Less orders by tag, then by account, so that runs are reproducible.
func (l *lane) Less(i, j int) bool {
	a, b := l.heap[i], l.heap[j]
	if a.waiting[0].tag != b.waiting[0].tag {
		return a.waiting[0].tag < b.waiting[0].tag
	}
	return a.account < b.account
}

// Swap exchanges two flows.
func (l *lane) Swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].index, l.heap[j].index = i, j
}

// Push adds a flow.
func (l *lane) Push(x any) {
	f := x.(*flow)
	f.index = len(l.heap)
	l.heap = append(l.heap, f)
}

// Pop removes the last flow.
func (l *lane) Pop() any {
	f := l.heap[len(l.heap)-1]
	l.heap[len(l.heap)-1] = nil
	l.heap = l.heap[:len(l.heap)-1]
	f.index = -1
	return f
}

func (l *lane) add(e *Entry) {
	f := l.flows[e.work.Account]
	if f == nil {
		f = &flow{account: e.work.Account, index: -1}
		l.flows[e.work.Account] = f
	}
	// A correction may have lowered the account's tag; the order of arrival
	// within an account stays, as ahead searches by tag.
	if n := len(f.waiting); n > 0 {
		e.tag = max(e.tag, f.waiting[n-1].tag)
	}
	f.waiting = append(f.waiting, e)
	l.count++
	if f.index < 0 {
		heap.Push(l, f)
	}
}

// first returns the entry with the lowest tag, or nil.
func (l *lane) first() *Entry {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].waiting[0]
}

// remove takes an entry out.
func (l *lane) remove(e *Entry) {
	f := l.flows[e.work.Account]
	for i, o := range f.waiting {
		if o != e {
			continue
		}
		copy(f.waiting[i:], f.waiting[i+1:])
		f.waiting[len(f.waiting)-1] = nil
		f.waiting = f.waiting[:len(f.waiting)-1]
		l.count--
		break
	}
	switch {
	case len(f.waiting) == 0:
		heap.Remove(l, f.index)
		delete(l.flows, f.account)
	default:
		heap.Fix(l, f.index)
	}
}

// ahead counts the entries with a lower tag.
func (l *lane) ahead(tag float64) int {
	n := 0
	for _, f := range l.heap {
		n += sort.Search(len(f.waiting), func(i int) bool { return f.waiting[i].tag >= tag })
	}
	return n
}

// oldest returns the entry that has waited longest, or nil.
func (l *lane) oldest() *Entry {
	var old *Entry
	for _, f := range l.heap {
		if e := f.waiting[0]; old == nil || e.entered.Before(old.entered) {
			old = e
		}
	}
	return old
}

// ordered returns all entries by tag.
func (l *lane) ordered() []*Entry {
	out := make([]*Entry, 0, l.count)
	for _, f := range l.heap {
		out = append(out, f.waiting...)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].tag != out[j].tag {
			return out[i].tag < out[j].tag
		}
		return out[i].number < out[j].number
	})
	return out
}

// clock is the virtual time of weighted fair queueing (start-time fair
// queueing): an account's next tag lies its cost over its weight later.
type clock struct {
	now    float64
	finish map[string]float64
	used   map[string]time.Time
	trimAt int
}

func newClock() *clock {
	return &clock{finish: map[string]float64{}, used: map[string]time.Time{}, trimAt: maxFinish}
}

// take returns the start tag of a request and charges its cost.
func (c *clock) take(now time.Time, account string, cost, weight float64) float64 {
	tag := max(c.now, c.finish[account])
	c.finish[account] = tag + cost/weight
	c.used[account] = now
	if len(c.finish) > c.trimAt {
		c.trim(now)
		c.trimAt = max(maxFinish, 2*len(c.finish))
	}
	return tag
}

// correct charges the difference between the true and the predicted cost.
func (c *clock) correct(account string, cost, weight float64) {
	if f, ok := c.finish[account]; ok {
		c.finish[account] = f + cost/weight
	}
}

const (
	// maxFinish is the number of accounts at which idle ones are forgotten.
	maxFinish = 4096
	// idleAccount is how long an idle account's tag is kept.
	idleAccount = time.Minute
)

// trim forgets accounts whose tag no longer matters.
func (c *clock) trim(now time.Time) {
	for a, f := range c.finish {
		if f <= c.now || now.Sub(c.used[a]) > idleAccount {
			delete(c.finish, a)
			delete(c.used, a)
		}
	}
}
