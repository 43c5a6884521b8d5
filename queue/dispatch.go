package queue

import (
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// reserveTimeout is how long after the arrival of the last short request slots
// stay reserved for short work. After it, long work may use every slot.
const reserveTimeout = 10 * time.Second

// refreshEstimates updates the load estimates of all servers.
func (q *Queue) refreshEstimates(now time.Time) {
	serviceSeconds := q.serviceSeconds(classShort)
	for _, s := range q.servers {
		s.updateEstimate(now, q.cfg.Policy, serviceSeconds)
	}
}

// dispatch starts waiting requests while a server has room for them. A request
// that can no longer get its first token by its deadline is rejected instead.
func (q *Queue) dispatch(now time.Time) {
	for {
		e := q.next(now)
		if e == nil {
			return
		}
		if now.Add(q.minFirstTokenTime()).After(e.request.Deadline) {
			q.reject(e, now)
			continue
		}
		name, ok := q.chooseServer()
		if !ok {
			return
		}
		q.start(e, name, now)
	}
}

// next returns the waiting request to start next, or nil if none may start. Short
// requests go first unless the oldest long request has aged.
func (q *Queue) next(now time.Time) *Entry {
	s, l := q.short.first(), q.long.first()
	if l == nil || !q.longMayStart(now) {
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

// aged reports whether a long request has waited for the AgingShare of its time
// budget.
func (q *Queue) aged(e *Entry, now time.Time) bool {
	budget := e.request.Deadline.Sub(e.enqueuedAt)
	return now.Sub(e.enqueuedAt) >= time.Duration(q.cfg.Policy.AgingShare*float64(budget))
}

// longMayStart reports whether one more long request may start. This is the case
// while long work stays within this process's share of the unreserved slots, or
// while the total load of the servers, over all processes, leaves the reserve
// free.
func (q *Queue) longMayStart(now time.Time) bool {
	if now.Sub(q.lastShort) > reserveTimeout {
		return true
	}
	slots, load := 0, 0
	for _, s := range q.servers {
		slots += s.report.Slots
		load += min(s.load(), s.report.Slots)
	}
	openShare := 1 - q.cfg.Policy.Reserve
	if float64(load+1) <= openShare*float64(slots) {
		return true
	}
	return float64(q.running[classLong]+1) <= openShare*float64(slots)/float64(max(q.cfg.Peers(), 1))
}

// chooseServer selects a server that has room for one more request. It returns
// false if there is none.
func (q *Queue) chooseServer() (string, bool) {
	peers := q.cfg.Peers()
	var candidates []Candidate
	for _, n := range q.serverNames {
		if s := q.servers[n]; s.hasRoom(q.cfg.Policy, peers) {
			candidates = append(candidates, s.candidate(n))
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return q.balance(candidates).Name, true
}

// balance selects one of the options. With Policy.TwoChoices it compares only two
// options drawn at random.
func (q *Queue) balance(candidates []Candidate) Candidate {
	if q.cfg.Policy.TwoChoices && len(candidates) > 2 {
		i, j := q.cfg.Rand.IntN(len(candidates)), q.cfg.Rand.IntN(len(candidates)-1)
		if j >= i {
			j++
		}
		candidates = []Candidate{candidates[i], candidates[j]}
	}
	return candidates[q.cfg.Choose(candidates)]
}

// start dispatches a waiting request to a server, advances the virtual time and
// charges the expected cost to the account.
func (q *Queue) start(e *Entry, name string, now time.Time) {
	l := q.classQueueOf(e)
	f := l.remove(e)
	f.startGap.recordStart(now, q.cfg.Policy.RateWeight)
	l.startGap.recordStart(now, q.cfg.Policy.RateWeight)
	q.clock.now = max(q.clock.now, f.start)
	f.account.finish = f.start
	q.chargeAccount(e, e.cost, now)
	e.state = started
	s := q.servers[name]
	s.recordChange(now, 1)
	c := q.class(e)
	q.running[c]++
	e.slot = &Slot{q: q, entry: e, server: s, name: name, startedAt: now, class: c, longThreshold: q.cfg.Predictor.LongThreshold()}
	q.notifyStarted = append(q.notifyStarted, e)
}

// chargeAccount adds a cost to the virtual finish time of the entry's account. The
// cost is negative when the request cost less than expected.
func (q *Queue) chargeAccount(e *Entry, cost float64, now time.Time) {
	a := q.clock.account(e.request.Account, now)
	a.finish += cost / e.request.Weight
	q.short.updateStart(a)
	q.long.updateStart(a)
}

// admit returns an error if the queue is full, if there is no server, or if the
// predicted wait exceeds the time left to the deadline.
func (q *Queue) admit(e *Entry, now time.Time) error {
	if q.short.count+q.long.count >= q.cfg.Depth {
		return q.overloadError("the queue is full", now, q.predictShortWait(now, q.short.count, 0, nil))
	}
	if len(q.servers) == 0 {
		return q.noServerError(now)
	}
	timeLeft := time.Duration(float64(e.request.Deadline.Sub(now))*(1-q.cfg.Policy.Margin)) - q.firstTokenTime()
	if wait := q.predictWait(e, now); wait > timeLeft {
		return q.overloadError("the deadline of the first token can't be met", now, wait-timeLeft)
	}
	return nil
}

// predictWait predicts how long a new request would wait in the queue.
func (q *Queue) predictWait(e *Entry, now time.Time) time.Duration {
	l := q.classQueueOf(e)
	f := l.flow(q.clock.account(e.request.Account, now), q.clock)
	n, own := l.countAhead(e, f)
	if e.prediction.Long {
		// Long work starts after the waiting short requests until it has aged.
		if n == 0 && q.longMayStart(now) {
			return q.predictShortWait(now, q.short.count, 0, nil)
		}
		return q.predictLongWait(n + 1)
	}
	if old := q.long.oldest(); !q.cfg.Policy.MeasureRates && old != nil && q.aged(old, now) && q.longMayStart(now) {
		n++
	}
	if q.cfg.Policy.BacklogOnly {
		f = nil
	}
	return q.predictShortWait(now, n, own, f)
}

// predictShortWait predicts the time until a short request starts that has n
// others ahead of it, inFlow of them in its own flow f. With Policy.MeasureRates
// the measured rates include the capacity taken by long work, other accounts and
// other processes. f may be nil; the rate of the flow is then ignored.
func (q *Queue) predictShortWait(now time.Time, n, inFlow int, f *flow) time.Duration {
	peers := q.cfg.Peers()
	free, slots := 0, 0
	for _, s := range q.servers {
		free += s.freeSlots()
		slots += s.report.Slots
	}
	if n < free {
		return 0
	}
	gap := 1 / q.slotRate(slots, peers)
	wait := float64(n-free+1) * gap
	if q.cfg.Policy.MeasureRates {
		wait = float64(n-free+1) * q.short.startGap.meanOr(now, q.short.count > 0, gap)
		if f != nil {
			flowWait := float64(inFlow+1) * f.startGap.meanOr(now, len(f.waiting) > 0, 0)
			if q.cfg.Policy.CapAtBacklog {
				flowWait = min(flowWait, float64(q.short.count+1)*q.short.startGap.meanOr(now, true, gap))
			}
			wait = max(wait, flowWait)
		}
	}
	return time.Duration(wait * float64(time.Second))
}

// slotRate predicts how many slots per second become free for this process. The
// slots it occupies count with their mean service times; if it occupies fewer than
// its equal share of all slots, the missing ones count as short requests.
func (q *Queue) slotRate(slots, peers int) float64 {
	short, long := q.serviceSeconds(classShort), q.serviceSeconds(classLong)
	rate := float64(q.running[classShort])/short + float64(q.running[classLong])/long
	part := float64(slots) / float64(max(peers, 1))
	if missing := part - float64(q.running[classShort]+q.running[classLong]); missing > 0 {
		rate += missing / short
	}
	return max(rate, 1e-3)
}

// predictLongWait predicts the time until the nth waiting long request starts
// within the slots available to long work.
func (q *Queue) predictLongWait(n int) time.Duration {
	rate := float64(max(q.running[classLong], 1)) / q.serviceSeconds(classLong)
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// serviceSeconds returns the mean time that a request of a class occupies its
// slot, in seconds. Before the first observation it returns an assumed value.
func (q *Queue) serviceSeconds(class int) float64 {
	initial := initialServiceTime.Seconds()
	if class == classLong {
		initial = q.serviceTime[classShort].valueOr(initial) * longFactor
	}
	return max(q.serviceTime[class].valueOr(initial), minServiceTime.Seconds())
}

// firstTokenTime predicts the time from dispatch to the first token.
func (q *Queue) firstTokenTime() time.Duration {
	return time.Duration(q.firstTokenSeconds.valueOr(initialFirstTokenTime.Seconds()) * float64(time.Second))
}

// overloadError returns the rejection of a request that could be served after
// wait.
func (q *Queue) overloadError(reason string, now time.Time, wait time.Duration) error {
	wait = max(wait, 100*time.Millisecond)
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: now.Add(Jitter(q.cfg.Rand, wait))})
}

// noServerError returns the rejection of a request for a service without servers.
func (q *Queue) noServerError(now time.Time) error {
	return fault.New(fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "no backend server of the service is ready",
		RetryAt: now.Add(Jitter(q.cfg.Rand, time.Second)),
	})
}

// reject removes a waiting request whose deadline is unreachable and schedules its
// callback.
func (q *Queue) reject(e *Entry, now time.Time) {
	q.remove(e)
	e.err = q.overloadError("the deadline of the first token can't be met", now, q.predictShortWait(now, q.short.count, 0, nil))
	q.notifyRejected = append(q.notifyRejected, e)
}

// deadlinePassedError returns the rejection of a request whose deadline passed
// while it waited.
func (q *Queue) deadlinePassedError() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	return q.overloadError("the deadline of the first token has passed", now, q.predictShortWait(now, q.short.count, 0, nil))
}

// rejectUnreachable rejects the waiting short requests whose predicted wait
// exceeds the time left to the deadline times Policy.WaitTolerance.
func (q *Queue) rejectUnreachable(now time.Time) {
	firstToken := q.firstTokenTime()
	n := 0
	rejected := map[*flow]int{}
	for _, t := range q.short.schedule() {
		timeLeft := (t.entry.request.Deadline.Sub(now) - firstToken).Seconds()
		if q.predictShortWait(now, n, t.flowPosition-rejected[t.flow], t.flow).Seconds() > timeLeft*q.cfg.Policy.WaitTolerance {
			q.reject(t.entry, now)
			rejected[t.flow]++
			continue
		}
		n++
	}
}

// minFirstTokenTime returns the least time from dispatch to the first token that is
// assumed possible: half of the predicted time. Sending a request that has less time
// left would waste the work. It is zero unless Policy.MeasureRates is set.
func (q *Queue) minFirstTokenTime() time.Duration {
	if !q.cfg.Policy.MeasureRates {
		return 0
	}
	return q.firstTokenTime() / 2
}
