package queue

import (
	"container/heap"
	"sort"
	"time"
)

// flow is the queue of one account in one class.
type flow struct {
	account *account
	waiting []*Entry // ordered by key, then by arrival
	start   float64  // virtual start time of the first entry
	index   int      // position in the heap, -1 when idle
	drain   drain    // starts of this flow while it was backlogged
}

// lane orders the flows of one class by their virtual start time.
type lane struct {
	heap  []*flow
	flows map[string]*flow
	count int
	drain drain
}

func newLane() *lane { return &lane{flows: map[string]*flow{}} }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *lane) Len() int { return len(l.heap) }

// Less orders by start, then by account, so that runs are reproducible.
func (l *lane) Less(i, j int) bool {
	a, b := l.heap[i], l.heap[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.account.name < b.account.name
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

// flow returns the flow of an account, with its start time up to date.
func (l *lane) flow(a *account, c *clock) *flow {
	f := l.flows[a.name]
	if f == nil {
		f = &flow{account: a, index: -1}
		l.flows[a.name] = f
	}
	if f.index < 0 {
		f.account, f.start = a, max(c.now, a.finish)
	}
	return f
}

func (l *lane) add(e *Entry, now time.Time, c *clock) {
	f := l.flow(c.account(e.work.Account, now), c)
	i := f.place(e)
	f.waiting = append(f.waiting, nil)
	copy(f.waiting[i+1:], f.waiting[i:])
	f.waiting[i] = e
	l.count++
	if l.count == 1 {
		l.drain.begin(now)
	}
	if f.index < 0 {
		f.drain.begin(now)
		heap.Push(l, f)
	}
}

// place returns the position of a new entry in its flow.
func (f *flow) place(e *Entry) int {
	return sort.Search(len(f.waiting), func(i int) bool { return f.waiting[i].key > e.key })
}

// first returns the entry to start first, or nil.
func (l *lane) first() *Entry {
	if len(l.heap) == 0 {
		return nil
	}
	return l.heap[0].waiting[0]
}

// remove takes an entry out.
func (l *lane) remove(e *Entry) *flow {
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
	if len(f.waiting) == 0 {
		heap.Remove(l, f.index)
	}
	return f
}

// move renews the start time of an account's flow after a charge.
func (l *lane) move(a *account) {
	if f := l.flows[a.name]; f != nil && f.index >= 0 {
		f.start = a.finish
		heap.Fix(l, f.index)
	}
}

// forget drops the idle flow of an account.
func (l *lane) forget(name string) {
	if f := l.flows[name]; f != nil && f.index < 0 {
		delete(l.flows, name)
	}
}

// ahead counts the entries that go before a new one: those before it in its own
// flow, and those of other flows with an earlier virtual start.
func (l *lane) ahead(e *Entry, f *flow) (all, own int) {
	own = f.place(e)
	start := f.start
	for _, o := range f.waiting[:own] {
		start += o.cost / o.work.Weight
	}
	all = own
	for _, g := range l.heap {
		if g == f {
			continue
		}
		s := g.start
		for _, o := range g.waiting {
			if s >= start {
				break
			}
			s += o.cost / o.work.Weight
			all++
		}
	}
	return all, own
}

// oldest returns the first entry of the flow that has waited longest, or nil.
func (l *lane) oldest() *Entry {
	var old *Entry
	for _, f := range l.heap {
		if e := f.waiting[0]; old == nil || e.entered.Before(old.entered) {
			old = e
		}
	}
	return old
}

// turn is an entry with its virtual start and its position in its flow.
type turn struct {
	entry *Entry
	start float64
	own   int
	flow  *flow
}

// turns returns all entries in the order in which they would start.
func (l *lane) turns() []turn {
	out := make([]turn, 0, l.count)
	for _, f := range l.heap {
		s := f.start
		for i, e := range f.waiting {
			out = append(out, turn{e, s, i, f})
			s += e.cost / e.work.Weight
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

// account is the virtual finish time of one account over both classes.
type account struct {
	name   string
	finish float64
	used   time.Time
}

// clock is the virtual time of weighted fair queueing (start-time fair
// queueing): each start moves its account's next start by cost over weight.
type clock struct {
	now      float64
	accounts map[string]*account
	trimAt   int
}

func newClock() *clock { return &clock{accounts: map[string]*account{}, trimAt: maxAccounts} }

func (c *clock) account(name string, now time.Time) *account {
	a := c.accounts[name]
	if a == nil {
		a = &account{name: name}
		c.accounts[name] = a
	}
	a.used = now
	return a
}

const (
	// maxAccounts is the number of accounts at which idle ones are forgotten.
	maxAccounts = 4096
	// idleAccount is how long an idle account's virtual time is kept.
	idleAccount = time.Minute
)

// trim returns the accounts whose virtual time no longer matters, when there
// are many.
func (c *clock) trim(now time.Time) []string {
	if len(c.accounts) <= c.trimAt {
		return nil
	}
	var out []string
	for n, a := range c.accounts {
		if now.Sub(a.used) > idleAccount {
			delete(c.accounts, n)
			out = append(out, n)
		}
	}
	c.trimAt = max(maxAccounts, 2*len(c.accounts))
	return out
}

// drain measures how fast a backlog is served: the mean time between starts
// while there is one.
type drain struct {
	gap  mean
	last time.Time
	now  time.Time // of the newest start
}

// Backlogs shorter than a few starts say nothing; observations of an earlier
// backlog lose their meaning after a while.
const (
	drainStarts = 4
	drainKept   = 5 * time.Second
)

// begin starts a backlog.
func (d *drain) begin(now time.Time) {
	if now.Sub(d.now) > drainKept {
		d.gap = mean{}
	}
	d.last = now
}

// started counts a start out of a backlog.
func (d *drain) started(now time.Time, follow float64) {
	d.gap.n++
	d.gap.value += max(1/float64(d.gap.n), follow) * (now.Sub(d.last).Seconds() - d.gap.value)
	d.last, d.now = now, now
}

// seconds returns the mean time between starts, or d when it is not known. A
// backlog that has not moved for longer counts with that time.
func (d *drain) seconds(now time.Time, backlog bool, or float64) float64 {
	if d.gap.n < drainStarts || now.Sub(d.now) > drainKept {
		return or
	}
	if backlog {
		return max(d.gap.value, now.Sub(d.last).Seconds()/4)
	}
	return d.gap.value
}
