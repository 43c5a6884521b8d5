package queue

import (
	"container/heap"
	"sort"
	"time"
)

// flow is the queue of the waiting requests of one account in one class.
type flow struct {
	account  *account
	waiting  []*Entry // ordered by sortKey, then by arrival
	start    float64  // virtual start time of the first request
	index    int      // position in the heap, -1 if no request waits
	startGap startGap // between starts of this flow while it had a backlog
}

// classQueue is a heap of the flows of one class, ordered by virtual start time.
type classQueue struct {
	heap     []*flow
	flows    map[string]*flow
	count    int
	startGap startGap
}

func newClassQueue() *classQueue { return &classQueue{flows: map[string]*flow{}} }

// Len implements heap.Interface.
func (c *classQueue) Len() int { return len(c.heap) }

// Less orders flows by virtual start time and then by account name, so that runs
// are reproducible.
func (c *classQueue) Less(i, j int) bool {
	a, b := c.heap[i], c.heap[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.account.name < b.account.name
}

// Swap implements heap.Interface.
func (c *classQueue) Swap(i, j int) {
	c.heap[i], c.heap[j] = c.heap[j], c.heap[i]
	c.heap[i].index, c.heap[j].index = i, j
}

// Push implements heap.Interface.
func (c *classQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(c.heap)
	c.heap = append(c.heap, f)
}

// Pop implements heap.Interface; it removes the last flow of the slice.
func (c *classQueue) Pop() any {
	f := c.heap[len(c.heap)-1]
	c.heap[len(c.heap)-1] = nil
	c.heap = c.heap[:len(c.heap)-1]
	f.index = -1
	return f
}

// flow returns the flow of an account and creates it if necessary. The start time
// of an idle flow is brought up to date.
func (c *classQueue) flow(a *account, clock *virtualClock) *flow {
	f := c.flows[a.name]
	if f == nil {
		f = &flow{account: a, index: -1}
		c.flows[a.name] = f
	}
	if f.index < 0 {
		f.account, f.start = a, max(clock.now, a.finish)
	}
	return f
}

// add inserts a request into the flow of its account.
func (c *classQueue) add(e *Entry, now time.Time, clock *virtualClock) {
	f := c.flow(clock.account(e.request.Account, now), clock)
	i := f.insertIndex(e)
	f.waiting = append(f.waiting, nil)
	copy(f.waiting[i+1:], f.waiting[i:])
	f.waiting[i] = e
	c.count++
	if c.count == 1 {
		c.startGap.beginBacklog(now)
	}
	if f.index < 0 {
		f.startGap.beginBacklog(now)
		heap.Push(c, f)
	}
}

// insertIndex returns the position of a new request in the flow.
func (f *flow) insertIndex(e *Entry) int {
	return sort.Search(len(f.waiting), func(i int) bool { return f.waiting[i].sortKey > e.sortKey })
}

// first returns the request to start first, or nil if none waits.
func (c *classQueue) first() *Entry {
	if len(c.heap) == 0 {
		return nil
	}
	return c.heap[0].waiting[0]
}

// remove deletes a waiting request from its flow and returns the flow.
func (c *classQueue) remove(e *Entry) *flow {
	f := c.flows[e.request.Account]
	for i, o := range f.waiting {
		if o != e {
			continue
		}
		copy(f.waiting[i:], f.waiting[i+1:])
		f.waiting[len(f.waiting)-1] = nil
		f.waiting = f.waiting[:len(f.waiting)-1]
		c.count--
		break
	}
	if len(f.waiting) == 0 {
		heap.Remove(c, f.index)
	}
	return f
}

// updateStart restores the heap order after the virtual time of an account has
// changed.
func (c *classQueue) updateStart(a *account) {
	if f := c.flows[a.name]; f != nil && f.index >= 0 {
		f.start = a.finish
		heap.Fix(c, f.index)
	}
}

// removeIdle deletes the flow of an account if no request waits in it.
func (c *classQueue) removeIdle(name string) {
	if f := c.flows[name]; f != nil && f.index < 0 {
		delete(c.flows, name)
	}
}

// countAhead counts the requests that would start before a new one: all of them,
// and those in its own flow. In other flows these are the requests with an earlier
// virtual start time.
func (c *classQueue) countAhead(e *Entry, f *flow) (all, own int) {
	own = f.insertIndex(e)
	start := f.start
	for _, o := range f.waiting[:own] {
		start += o.cost / o.request.Weight
	}
	all = own
	for _, g := range c.heap {
		if g == f {
			continue
		}
		s := g.start
		for _, o := range g.waiting {
			if s >= start {
				break
			}
			s += o.cost / o.request.Weight
			all++
		}
	}
	return all, own
}

// oldest returns the longest waiting of the requests at the head of a flow, or nil
// if none waits.
func (c *classQueue) oldest() *Entry {
	var old *Entry
	for _, f := range c.heap {
		if e := f.waiting[0]; old == nil || e.enqueuedAt.Before(old.enqueuedAt) {
			old = e
		}
	}
	return old
}

// scheduledEntry is a waiting request with its virtual start time and its position
// in its flow.
type scheduledEntry struct {
	entry        *Entry
	start        float64
	flowPosition int
	flow         *flow
}

// schedule returns all waiting requests in the order in which they would start.
func (c *classQueue) schedule() []scheduledEntry {
	out := make([]scheduledEntry, 0, c.count)
	for _, f := range c.heap {
		s := f.start
		for i, e := range f.waiting {
			out = append(out, scheduledEntry{e, s, i, f})
			s += e.cost / e.request.Weight
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].start != out[j].start {
			return out[i].start < out[j].start
		}
		return out[i].entry.number < out[j].entry.number
	})
	return out
}

// account holds the virtual finish time of one client account across both classes.
type account struct {
	name     string
	finish   float64
	lastUsed time.Time
}

// virtualClock implements start-time fair queueing, a form of weighted fair
// queueing: each start of a request moves the next virtual start of its account by
// cost divided by weight.
type virtualClock struct {
	now      float64
	accounts map[string]*account
	evictAt  int
}

func newVirtualClock() *virtualClock {
	return &virtualClock{accounts: map[string]*account{}, evictAt: maxAccounts}
}

// account returns the state of an account, creates it if necessary and marks it as
// used.
func (c *virtualClock) account(name string, now time.Time) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name}
		c.accounts[name] = a
	}
	a.lastUsed = now
	return a
}

const (
	// maxAccounts is the number of accounts above which idle ones are evicted.
	maxAccounts = 4096
	// idleAccount is how long an unused account is kept.
	idleAccount = time.Minute
)

// evictIdle deletes accounts that have not been used for idleAccount, if there are
// many accounts, and returns their names. Their virtual time no longer affects the
// order.
func (c *virtualClock) evictIdle(now time.Time) []string {
	if len(c.accounts) <= c.evictAt {
		return nil
	}
	var evicted []string
	for n, a := range c.accounts {
		if now.Sub(a.lastUsed) > idleAccount {
			delete(c.accounts, n)
			evicted = append(evicted, n)
		}
	}
	c.evictAt = max(maxAccounts, 2*len(c.accounts))
	return evicted
}

// startGap measures the mean time between the starts of requests while there is a
// backlog.
type startGap struct {
	mean      mean
	lastEvent time.Time // time of the newest start, or of the beginning of the backlog if that is later
	lastStart time.Time // time of the newest start
}

// Fewer starts than minGapStarts give no usable mean, and the mean of an earlier
// backlog is discarded after gapExpiry.
const (
	minGapStarts = 4
	gapExpiry    = 5 * time.Second
)

// beginBacklog records that requests have begun to wait.
func (g *startGap) beginBacklog(now time.Time) {
	if now.Sub(g.lastStart) > gapExpiry {
		g.mean = mean{}
	}
	g.lastEvent = now
}

// recordStart adds the time since the previous start, or since the backlog began,
// to the mean. weight is the minimum weight of the new value.
func (g *startGap) recordStart(now time.Time, weight float64) {
	g.mean.n++
	g.mean.value += max(1/float64(g.mean.n), weight) * (now.Sub(g.lastEvent).Seconds() - g.mean.value)
	g.lastEvent, g.lastStart = now, now
}

// meanOr returns the mean time between starts in seconds, or fallback if it is not
// known. With a backlog, a long time since the last start raises the result to a
// quarter of that time.
func (g *startGap) meanOr(now time.Time, backlogged bool, fallback float64) float64 {
	if g.mean.n < minGapStarts || now.Sub(g.lastStart) > gapExpiry {
		return fallback
	}
	if backlogged {
		return max(g.mean.value, now.Sub(g.lastEvent).Seconds()/4)
	}
	return g.mean.value
}
