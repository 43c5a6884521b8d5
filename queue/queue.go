// Package queue admits and schedules the requests of one service in one entry
// process. Other entry processes send to the same backend servers; what is
// known of them is in the servers' load reports, which lag. The queue adds what
// this process has sent since, predicts whether a request can meet its
// deadline, rejects it at once when it can't, and orders the others by class
// (short before long, with a reserve and ageing) and by weighted fair queueing
// between client accounts.
//
// A request waits on its caller's goroutine; the queue starts none.
//
// Lock order: Queue.mu, then Predictor.mu. The callback of Enter is called without a lock; Config.Peers and
// Config.Choose are called under Queue.mu and must not call the queue.
package queue

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Request is one request.
type Request struct {
	Account  string
	Weight   float64 // share of the account on this process, more than zero
	Shape    Shape
	Deadline time.Time // deadline of the first token, or of a plain answer
	Plain    bool      // a call of a plain service; its length is not predicted
}

// Config holds the parts of a Queue.
type Config struct {
	Name      string           // service, for metrics
	Now       func() time.Time // nil for time.Now
	Rand      *rand.Rand       // used under the lock; nil for a fixed seed
	Policy    Policy           // zero for Current
	Depth     int              // waiting requests at most, 0 for 1024
	Predictor *Predictor       // nil for a new one
	Peers     func() int       // entry processes that send to the servers; nil for 1
	Choose    func([]Option) int
	Metrics   *Metrics // nil for none
}

const defaultDepth = 1024

// Queue schedules the requests of one service. Its fields are guarded by mu.
type Queue struct {
	cfg       Config
	epoch     time.Time // of the order within flows
	mu        sync.Mutex
	servers   map[string]*server
	names     []string // sorted, so that choices are reproducible
	short     *lane
	long      *lane
	clock     *clock
	number    uint64
	running   [2]int    // dispatched requests by class
	service   [2]mean   // seconds of a whole request by class
	first     mean      // seconds from dispatch to first token
	lastShort time.Time // arrival of the last short request
	ready     []*Entry  // started, callbacks not called yet
	failed    []*Entry  // rejected while waiting, callbacks not called yet
}

// Classes index arrays by class.
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
	return &Queue{cfg: cfg, epoch: cfg.Now(), servers: map[string]*server{}, short: newLane(), long: newLane(), clock: newClock()}
}

// Entry is a request that waits, or has been started.
type Entry struct {
	q       *Queue
	work    Request
	predict Prediction
	cost    float64
	key     float64 // order within the account's flow
	number  uint64
	entered time.Time
	state   uint8
	done    func(*Slot, error)
	slot    *Slot
	err     error
}

// States of an entry.
const (
	waiting = iota
	started
	gone
)

func (q *Queue) class(e *Entry) int {
	if e.predict.Long {
		return classLong
	}
	return classShort
}

func (q *Queue) laneOf(e *Entry) *lane {
	if e.predict.Long {
		return q.long
	}
	return q.short
}

// Wait blocks until the request may be sent, its context ends, or it is
// rejected. The error carries the verdict not-run, and a retry time where a
// retry can help.
func (q *Queue) Wait(ctx context.Context, w Request) (*Slot, error) {
	type result struct {
		slot *Slot
		err  error
	}
	out := make(chan result, 1)
	e, err := q.Enqueue(w, func(s *Slot, err error) { out <- result{s, err} })
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(w.Deadline.Sub(q.cfg.Now()))
	defer timer.Stop()
	select {
	case r := <-out:
		return r.slot, r.err
	case <-timer.C:
	case <-ctx.Done():
	}
	if e.Cancel() {
		if ctx.Err() != nil {
			return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: ctx.Err()})
		}
		return nil, q.late()
	}
	// The request was started or rejected at the same moment.
	r := <-out
	if r.err == nil && ctx.Err() != nil {
		r.slot.Drop()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: ctx.Err()})
	}
	return r.slot, r.err
}

// Enqueue adds a request without blocking. Unless it returns an error, it calls
// done once, possibly before it returns: with a slot, or with an error when the
// deadline comes out of reach while the request waits.
func (q *Queue) Enqueue(w Request, done func(*Slot, error)) (*Entry, error) {
	now := q.cfg.Now()
	e := &Entry{q: q, work: w, entered: now, done: done}
	if w.Plain {
		e.predict, e.cost = Prediction{Tokens: 1}, 1
	} else {
		e.predict = q.cfg.Predictor.Predict(w.Account, w.Shape)
		e.cost = max(1, e.predict.Tokens)
	}
	if w.Weight <= 0 {
		e.work.Weight = 1
	}
	e.key = now.Sub(q.epoch).Seconds() + q.cfg.Policy.LengthPenalty*e.cost
	q.mu.Lock()
	q.refresh(now)
	if err := q.admit(e, now); err != nil {
		q.mu.Unlock()
		q.cfg.Metrics.rejected(err)
		return nil, err
	}
	q.number++
	e.number = q.number
	for _, n := range q.clock.trim(now) {
		q.short.forget(n)
		q.long.forget(n)
	}
	q.laneOf(e).add(e, now, q.clock)
	if !e.predict.Long {
		q.lastShort = now
	}
	q.dispatch(now)
	q.unlock()
	return e, nil
}

// Cancel takes a waiting request out and tells whether it still waited.
func (e *Entry) Cancel() bool {
	e.q.mu.Lock()
	defer e.q.unlock()
	if e.state != waiting {
		return false
	}
	e.q.drop(e)
	e.q.dispatch(e.q.cfg.Now())
	return true
}

// drop removes a waiting entry.
func (q *Queue) drop(e *Entry) {
	q.laneOf(e).remove(e)
	e.state = gone
}

// unlock releases the lock and then calls the callbacks of the entries whose
// state changed.
func (q *Queue) unlock() {
	ready, failed := q.ready, q.failed
	q.ready, q.failed = nil, nil
	waitingShort, waitingLong := q.short.count, q.long.count
	q.mu.Unlock()
	q.cfg.Metrics.lengths(waitingShort, waitingLong)
	for _, e := range failed {
		q.cfg.Metrics.rejected(e.err)
		e.done(nil, e.err)
	}
	for _, e := range ready {
		q.cfg.Metrics.started(e.predict.Long, e.slot.began.Sub(e.entered))
		e.done(e.slot, nil)
	}
}

// Observe takes the load report of a server and sends what now fits.
func (q *Queue) Observe(r Report) {
	now := q.cfg.Now()
	if r.MeasuredAt.IsZero() {
		r.MeasuredAt = now
	}
	q.mu.Lock()
	defer q.unlock()
	s := q.servers[r.Name]
	if s == nil {
		s = &server{}
		q.servers[r.Name] = s
		q.names = append(q.names, r.Name)
		sort.Strings(q.names)
	}
	if r.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	if !s.report.MeasuredAt.IsZero() {
		s.every.add(r.MeasuredAt.Sub(s.report.MeasuredAt).Seconds())
	}
	s.report = r
	s.fresh = s.reported()
	s.others.add(s.fresh)
	q.refresh(now)
	if q.cfg.Policy.RejectUnreachable {
		q.sweep(now)
	}
	q.dispatch(now)
}

// RemoveServer removes a server that failed or left. Requests on it keep their slots.
func (q *Queue) RemoveServer(name string) {
	q.mu.Lock()
	defer q.unlock()
	if q.servers[name] == nil {
		return
	}
	delete(q.servers, name)
	i := sort.SearchStrings(q.names, name)
	q.names = append(q.names[:i], q.names[i+1:]...)
	if len(q.names) > 0 {
		return
	}
	now := q.cfg.Now()
	for _, l := range []*lane{q.short, q.long} {
		for _, t := range l.turns() {
			q.drop(t.entry)
			t.entry.err = q.none(now)
			q.failed = append(q.failed, t.entry)
		}
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.short.count + q.long.count
}

// ExpectedTokens returns the tokens that a request is expected to cost.
func (q *Queue) ExpectedTokens(account string, s Shape) float64 {
	return q.cfg.Predictor.Predict(account, s).Tokens
}

// Errors returns the measured errors of the queue's predictions.
func (q *Queue) Errors() PredictionErrors { return q.cfg.Predictor.Errors() }
