// Package queue admits and schedules the requests of one service in one entry
// process. Other entry processes send requests to the same backend servers, and
// their load is known only from the servers' load reports, which lag. The queue
// adds the requests that this process has sent since the last report and predicts
// whether a new request can meet its deadline. It rejects the request immediately
// if not, and orders the others by class (short before long, with reserved slots
// and ageing) and by weighted fair queueing between client accounts.
//
// A request waits on the goroutine of its caller; the queue starts no goroutines.
//
// Lock order: Queue.mu before Predictor.mu. The callback of Enqueue is called
// without a lock. Config.Peers and Config.Choose are called with Queue.mu held and
// must not call the queue.
package queue

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Request describes one request to be scheduled.
type Request struct {
	Account  string
	Weight   float64 // weight of the account on this process; 0 or less counts as 1
	Shape    Shape
	Deadline time.Time // deadline of the first token, or of the answer of a plain service
	Plain    bool      // call of a plain service, whose length is not predicted
}

// Config configures a Queue.
type Config struct {
	Name      string                // name of the service
	Now       func() time.Time      // nil for time.Now
	Rand      *rand.Rand            // used with the lock held; nil for a fixed seed
	Policy    Policy                // zero value for Current
	Depth     int                   // maximum number of waiting requests; 0 for 1024
	Predictor *Predictor            // nil for a new one
	Peers     func() int            // number of entry processes that use the servers; nil for 1
	Choose    func([]Candidate) int // returns the index of the server to use; nil for LeastLoaded
	Metrics   *Metrics              // nil for none
}

const defaultDepth = 1024

// Queue schedules the requests of one service. Its fields are guarded by mu.
type Queue struct {
	cfg               Config
	epoch             time.Time // reference time of sort keys
	mu                sync.Mutex
	servers           map[string]*server
	serverNames       []string // sorted, so that choices are reproducible
	short             *classQueue
	long              *classQueue
	clock             *virtualClock
	lastNumber        uint64
	running           [2]int    // running requests by class
	serviceTime       [2]mean   // time of a complete request in seconds, by class
	firstTokenSeconds mean      // time from dispatch to first token
	lastShort         time.Time // arrival of the last short request
	notifyStarted     []*Entry  // started; callback not called yet
	notifyRejected    []*Entry  // rejected while waiting; callback not called yet
}

// Indexes of arrays by class.
const (
	classShort = 0
	classLong  = 1
)

// New returns a queue without servers.
func New(cfg Config) *Queue {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2))
	}
	if cfg.Policy.Name == "" {
		cfg.Policy = Current()
	}
	if cfg.Depth == 0 {
		cfg.Depth = defaultDepth
	}
	if cfg.Predictor == nil {
		cfg.Predictor = NewPredictor()
	}
	if cfg.Peers == nil {
		cfg.Peers = func() int { return 1 }
	}
	if cfg.Choose == nil {
		cfg.Choose = LeastLoaded
	}
	return &Queue{cfg: cfg, epoch: cfg.Now(), servers: map[string]*server{}, short: newClassQueue(), long: newClassQueue(), clock: newVirtualClock()}
}

// Entry is a request in the queue or one that the queue has started.
type Entry struct {
	q          *Queue
	request    Request
	prediction Prediction
	cost       float64
	sortKey    float64 // order within the flow, in seconds since Queue.epoch
	number     uint64
	enqueuedAt time.Time
	state      uint8
	callback   func(*Slot, error)
	slot       *Slot
	err        error
}

// States of an entry.
const (
	waiting = iota
	started
	removed
)

// class returns the index of the predicted class.
func (q *Queue) class(e *Entry) int {
	if e.prediction.Long {
		return classLong
	}
	return classShort
}

// classQueueOf returns the queue of the predicted class.
func (q *Queue) classQueueOf(e *Entry) *classQueue {
	if e.prediction.Long {
		return q.long
	}
	return q.short
}

// Wait blocks until the request may be sent, is rejected, or ctx ends. The error
// carries the verdict not-run, and a retry time if a retry may succeed.
func (q *Queue) Wait(ctx context.Context, w Request) (*Slot, error) {
	type result struct {
		slot *Slot
		err  error
	}
	results := make(chan result, 1)
	e, err := q.Enqueue(w, func(s *Slot, err error) { results <- result{s, err} })
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(w.Deadline.Sub(q.cfg.Now()))
	defer timer.Stop()
	select {
	case r := <-results:
		return r.slot, r.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if e.Cancel() {
		if ctx.Err() != nil {
			return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: ctx.Err()})
		}
		return nil, q.deadlinePassedError()
	}
	// The request was started or rejected concurrently.
	r := <-results
	if r.err == nil && ctx.Err() != nil {
		r.slot.Drop()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: ctx.Err()})
	}
	return r.slot, r.err
}

// Enqueue adds a request without blocking. Unless it returns an error, it calls
// callback exactly once, possibly before it returns: with a slot, or with an error
// if the deadline becomes unreachable while the request waits. After a successful
// Cancel the callback is not called.
func (q *Queue) Enqueue(w Request, callback func(*Slot, error)) (*Entry, error) {
	now := q.cfg.Now()
	e := &Entry{q: q, request: w, enqueuedAt: now, callback: callback}
	if w.Plain {
		e.prediction, e.cost = Prediction{Tokens: 1}, 1
	} else {
		e.prediction = q.cfg.Predictor.Predict(w.Account, w.Shape)
		e.cost = max(1, e.prediction.Tokens)
	}
	if w.Weight <= 0 {
		e.request.Weight = 1
	}
	e.sortKey = now.Sub(q.epoch).Seconds() + q.cfg.Policy.LengthPenalty*e.cost
	q.mu.Lock()
	q.refreshEstimates(now)
	if err := q.admit(e, now); err != nil {
		q.mu.Unlock()
		q.cfg.Metrics.countRejection(err)
		return nil, err
	}
	q.lastNumber++
	e.number = q.lastNumber
	for _, n := range q.clock.evictIdle(now) {
		q.short.removeIdle(n)
		q.long.removeIdle(n)
	}
	q.classQueueOf(e).add(e, now, q.clock)
	if !e.prediction.Long {
		q.lastShort = now
	}
	q.dispatch(now)
	q.unlockAndNotify()
	return e, nil
}

// Cancel removes the request from the queue. It returns false if the request no
// longer waits.
func (e *Entry) Cancel() bool {
	e.q.mu.Lock()
	defer e.q.unlockAndNotify()
	if e.state != waiting {
		return false
	}
	e.q.remove(e)
	e.q.dispatch(e.q.cfg.Now())
	return true
}

// remove removes a waiting request.
func (q *Queue) remove(e *Entry) {
	q.classQueueOf(e).remove(e)
	e.state = removed
}

// unlockAndNotify releases the lock and then calls the callbacks of the requests
// that were started or rejected while it was held.
func (q *Queue) unlockAndNotify() {
	ready, failed := q.notifyStarted, q.notifyRejected
	q.notifyStarted, q.notifyRejected = nil, nil
	waitingShort, waitingLong := q.short.count, q.long.count
	q.mu.Unlock()
	q.cfg.Metrics.setWaiting(waitingShort, waitingLong)
	for _, e := range failed {
		q.cfg.Metrics.countRejection(e.err)
		e.callback(nil, e.err)
	}
	for _, e := range ready {
		q.cfg.Metrics.observeWait(e.prediction.Long, e.slot.startedAt.Sub(e.enqueuedAt))
		e.callback(e.slot, nil)
	}
}

// Observe processes the load report of a server and dispatches the requests that
// now have room. It ignores a report older than the latest one.
func (q *Queue) Observe(r Report) {
	now := q.cfg.Now()
	if r.MeasuredAt.IsZero() {
		r.MeasuredAt = now
	}
	q.mu.Lock()
	defer q.unlockAndNotify()
	s := q.servers[r.Name]
	if s == nil {
		s = &server{}
		q.servers[r.Name] = s
		q.serverNames = append(q.serverNames, r.Name)
		sort.Strings(q.serverNames)
	}
	if r.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	if !s.report.MeasuredAt.IsZero() {
		s.reportInterval.add(r.MeasuredAt.Sub(s.report.MeasuredAt).Seconds())
	}
	s.report = r
	s.othersAtReport = s.othersByReport()
	s.othersMean.add(s.othersAtReport)
	q.refreshEstimates(now)
	if q.cfg.Policy.RejectUnreachable {
		q.rejectUnreachable(now)
	}
	q.dispatch(now)
}

// lastServerSilence is how long the last server stays without a load report. A sound
// server may be silent for a second or so.
const lastServerSilence = 3 * time.Second

// RemoveSilent removes a server that did not answer, as RemoveServer does. It keeps the
// last server until the latest report is older than lastServerSilence.
func (q *Queue) RemoveSilent(name string) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	s := q.servers[name]
	if s == nil || len(q.servers) == 1 && q.cfg.Now().Sub(s.report.MeasuredAt) < lastServerSilence {
		return
	}
	q.removeServer(name)
}

// RemoveServer removes a server that failed or left. Requests running on it keep
// their slots. If it was the last server, all waiting requests are rejected.
func (q *Queue) RemoveServer(name string) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	if q.servers[name] != nil {
		q.removeServer(name)
	}
}

// removeServer implements RemoveServer. The caller holds q.mu.
func (q *Queue) removeServer(name string) {
	delete(q.servers, name)
	i := sort.SearchStrings(q.serverNames, name)
	q.serverNames = append(q.serverNames[:i], q.serverNames[i+1:]...)
	if len(q.serverNames) > 0 {
		return
	}
	now := q.cfg.Now()
	for _, l := range []*classQueue{q.short, q.long} {
		for _, t := range l.schedule() {
			q.remove(t.entry)
			t.entry.err = q.noServerError(now)
			q.notifyRejected = append(q.notifyRejected, t.entry)
		}
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.short.count + q.long.count
}

// ExpectedTokens returns the predicted length of an answer in tokens.
func (q *Queue) ExpectedTokens(account string, s Shape) float64 {
	return q.cfg.Predictor.Predict(account, s).Tokens
}

// Errors returns the statistics of prediction errors.
func (q *Queue) Errors() PredictionErrors { return q.cfg.Predictor.Errors() }
