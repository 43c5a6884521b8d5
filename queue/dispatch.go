package queue

import (
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// shortSeen is how long after the last short request slots are reserved for the
// next one. Without short work, long work may use every slot.
const shortSeen = 10 * time.Second

// refresh renews the estimates of all servers.
func (q *Queue) refresh(now time.Time) {
	service := q.seconds(classShort)
	for _, s := range q.servers {
		s.refresh(now, q.cfg.Policy, service)
	}
}

// dispatch starts waiting requests while a server has room.
func (q *Queue) dispatch(now time.Time) {
	for {
		e := q.next(now)
		if e == nil {
			return
		}
		if now.Add(q.least()).After(e.work.Deadline) {
			q.reject(e, now)
			continue
		}
		name, ok := q.place()
		if !ok {
			return
		}
		q.start(e, name, now)
	}
}

// next returns the entry to start next, or nil.
func (q *Queue) next(now time.Time) *Entry {
	s, l := q.short.first(), q.long.first()
	if l == nil || !q.longFits(now) {
		return s
	}
	if s == nil {
		return l
	}
	if old := q.long.oldest(); q.aged(old, now) {
		return old
	}
	return s
}

// aged tells whether a long request has waited for its part of the budget.
func (q *Queue) aged(e *Entry, now time.Time) bool {
	budget := e.work.Deadline.Sub(e.entered)
	return now.Sub(e.entered) >= time.Duration(q.cfg.Policy.AgingShare*float64(budget))
}

// longFits tells whether long work may take one more slot: always within this
// process's part of the slots that are not reserved, and beyond it while the
// servers keep the reserve free.
func (q *Queue) longFits(now time.Time) bool {
	if now.Sub(q.lastShort) > shortSeen {
		return true
	}
	slots, load := 0, 0
	for _, s := range q.servers {
		slots += s.report.Slots
		load += min(s.load(), s.report.Slots)
	}
	open := 1 - q.cfg.Policy.Reserve
	if float64(load+1) <= open*float64(slots) {
		return true
	}
	return float64(q.running[classLong]+1) <= open*float64(slots)/float64(max(q.cfg.Peers(), 1))
}

// place chooses a server with room.
func (q *Queue) place() (string, bool) {
	peers := q.cfg.Peers()
	var all []Option
	for _, n := range q.names {
		if s := q.servers[n]; s.room(q.cfg.Policy, peers) {
			all = append(all, s.option(n))
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return q.choose(all).Name, true
}

// choose applies the balancing choice to the servers with room.
func (q *Queue) choose(all []Option) Option {
	if q.cfg.Policy.TwoChoices && len(all) > 2 {
		i, j := q.cfg.Rand.IntN(len(all)), q.cfg.Rand.IntN(len(all)-1)
		if j >= i {
			j++
		}
		all = []Option{all[i], all[j]}
	}
	return all[q.cfg.Choose(all)]
}

func (q *Queue) start(e *Entry, name string, now time.Time) {
	l := q.laneOf(e)
	f := l.remove(e)
	f.drain.started(now, q.cfg.Policy.RateWeight)
	l.drain.started(now, q.cfg.Policy.RateWeight)
	q.clock.now = max(q.clock.now, f.start)
	f.account.finish = f.start
	q.charge(e, e.cost, now)
	e.state = started
	s := q.servers[name]
	s.count(now, 1)
	c := q.class(e)
	q.running[c]++
	e.slot = &Slot{q: q, entry: e, server: s, name: name, began: now, class: c, longFrom: q.cfg.Predictor.LongThreshold()}
	q.ready = append(q.ready, e)
}

// charge moves the virtual time of an entry's account.
func (q *Queue) charge(e *Entry, cost float64, now time.Time) {
	a := q.clock.account(e.work.Account, now)
	a.finish += cost / e.work.Weight
	q.short.move(a)
	q.long.move(a)
}

// admit decides whether a new request can meet its deadline.
func (q *Queue) admit(e *Entry, now time.Time) error {
	if q.short.count+q.long.count >= q.cfg.Depth {
		return q.refuse("the queue is full", now, q.drain(now, q.short.count, 0, nil))
	}
	if len(q.servers) == 0 {
		return q.none(now)
	}
	left := time.Duration(float64(e.work.Deadline.Sub(now))*(1-q.cfg.Policy.Margin)) - q.firstAfter()
	if wait := q.ahead(e, now); wait > left {
		return q.refuse("the deadline of the first token can't be met", now, wait-left)
	}
	return nil
}

// ahead predicts how long a new request would wait.
func (q *Queue) ahead(e *Entry, now time.Time) time.Duration {
	l := q.laneOf(e)
	f := l.flow(q.clock.account(e.work.Account, now), q.clock)
	n, own := l.ahead(e, f)
	if e.predict.Long {
		// Long work goes after the short work that waits, until it has aged.
		if n == 0 && q.longFits(now) {
			return q.drain(now, q.short.count, 0, nil)
		}
		return q.drainLong(n + 1)
	}
	if old := q.long.oldest(); !q.cfg.Policy.MeasureRates && old != nil && q.aged(old, now) && q.longFits(now) {
		n++
	}
	if q.cfg.Policy.BacklogOnly {
		f = nil
	}
	return q.drain(now, n, own, f)
}

// drain predicts the time until a short request starts that has n others before
// it, own of them in its flow. The measured rates contain what long work, other
// accounts and other processes take.
func (q *Queue) drain(now time.Time, n, own int, f *flow) time.Duration {
	peers := q.cfg.Peers()
	free, slots := 0, 0
	for _, s := range q.servers {
		free += s.free()
		slots += s.report.Slots
	}
	if n < free {
		return 0
	}
	gap := 1 / q.rate(slots, peers)
	wait := float64(n-free+1) * gap
	if q.cfg.Policy.MeasureRates {
		wait = float64(n-free+1) * q.short.drain.seconds(now, q.short.count > 0, gap)
		if f != nil {
			own := float64(own+1) * f.drain.seconds(now, len(f.waiting) > 0, 0)
			if q.cfg.Policy.CapAtBacklog {
				own = min(own, float64(q.short.count+1)*q.short.drain.seconds(now, true, gap))
			}
			wait = max(wait, own)
		}
	}
	return time.Duration(wait * float64(time.Second))
}

// rate predicts how many slots a second come free for this process: those it
// holds, or its part of all slots when it holds fewer.
func (q *Queue) rate(slots, peers int) float64 {
	short, long := q.seconds(classShort), q.seconds(classLong)
	rate := float64(q.running[classShort])/short + float64(q.running[classLong])/long
	part := float64(slots) / float64(max(peers, 1))
	if missing := part - float64(q.running[classShort]+q.running[classLong]); missing > 0 {
		rate += missing / short
	}
	return max(rate, 1e-3)
}

// drainLong predicts the time until the nth long request starts within the
// slots that long work may use.
func (q *Queue) drainLong(n int) time.Duration {
	rate := float64(max(q.running[classLong], 1)) / q.seconds(classLong)
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// seconds returns the observed time of a whole request of a class.
func (q *Queue) seconds(class int) float64 {
	d := firstService.Seconds()
	if class == classLong {
		d = q.service[classShort].or(d) * longFactor
	}
	return max(q.service[class].or(d), minService.Seconds())
}

// firstAfter predicts the time from dispatch to the first token.
func (q *Queue) firstAfter() time.Duration {
	return time.Duration(q.first.or(firstToken.Seconds()) * float64(time.Second))
}

// refuse returns the rejection of a request that can be served after wait.
func (q *Queue) refuse(reason string, now time.Time, wait time.Duration) error {
	wait = max(wait, 100*time.Millisecond)
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: now.Add(Jitter(q.cfg.Rand, wait))})
}

// none returns the rejection of a request for a service without servers.
func (q *Queue) none(now time.Time) error {
	return fault.New(fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "no backend server of the service is ready",
		RetryAt: now.Add(Jitter(q.cfg.Rand, time.Second)),
	})
}

// reject rejects a waiting entry.
func (q *Queue) reject(e *Entry, now time.Time) {
	q.drop(e)
	e.err = q.refuse("the deadline of the first token can't be met", now, q.drain(now, q.short.count, 0, nil))
	q.failed = append(q.failed, e)
}

// late returns the rejection of a request whose deadline passed in the queue.
func (q *Queue) late() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	return q.refuse("the deadline of the first token has passed", now, q.drain(now, q.short.count, 0, nil))
}

// sweep rejects waiting short requests whose deadline is out of reach by now.
func (q *Queue) sweep(now time.Time) {
	first := q.firstAfter()
	n := 0
	gone := map[*flow]int{}
	for _, t := range q.short.turns() {
		left := (t.entry.work.Deadline.Sub(now) - first).Seconds()
		if q.drain(now, n, t.own-gone[t.flow], t.flow).Seconds() > left*q.cfg.Policy.WaitTolerance {
			q.reject(t.entry, now)
			gone[t.flow]++
			continue
		}
		n++
	}
}

// least is the time to the first token that a dispatched request needs at
// least: work that is sent later than that is wasted.
func (q *Queue) least() time.Duration {
	if !q.cfg.Policy.MeasureRates {
		return 0
	}
	return q.firstAfter() / 2
}
