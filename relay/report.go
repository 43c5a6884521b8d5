package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrybay/cranberrybay/retry"
)

const (
	// reportTimeout bounds a read of an engine's report. Engines answer reports
	// without a slot, so that an answer takes little more than the way.
	reportTimeout = 30 * time.Millisecond
	// reportAge is how long a report is shared by streams that wait at the same
	// engine.
	reportAge = 60 * time.Millisecond
	// pausedAfter is the time that shows that this process was paused during a
	// read, so that a missing answer says nothing.
	pausedAfter = 2 * reportTimeout
	// questionShare is the number of questions to engines that a process may ask for
	// each request that it gets, and questionBurst those that it saves up: the deaths
	// of several engines are found with some ten questions, and streams that wait in a
	// backlog ask for as long as it lasts (118,690 questions for 14,500 requests on one
	// day of leoben-sohle-grown).
	questionShare = 1.0
	questionBurst = 80.0
	// keepReadings is how long the reads of an engine are remembered.
	keepReadings = time.Second
)

// reports shares the reads of engine reports between streams. Its lock is not
// held during reads.
type reports struct {
	read  func(ctx context.Context, address string) (Report, error)
	bound *retry.Budget // of the questions

	mu      sync.Mutex
	last    map[string]*reading
	confirm map[string]bool // engines that are asked once more
}

// reading is one read of a report.
type reading struct {
	done    chan struct{}
	begun   time.Time
	value   Report
	err     error
	silent  bool // no answer came
	refused bool // the connection was refused: nobody listens there
	unasked bool // the engine was not asked, for want of a question
}

func newReports(read func(ctx context.Context, address string) (Report, error)) *reports {
	return &reports{read: read, bound: retry.New(retry.Config{RetriesPerRequest: questionShare, Burst: questionBurst, Initial: questionBurst}), last: map[string]*reading{}, confirm: map[string]bool{}}
}

// sweep asks engines of a path and returns the addresses of those that are
// dead, or that the first engine says the stream waits for, and how many did not
// answer.
//
// An engine is dead when it refuses the connection, or when it does not answer
// although at least half of those asked do. Otherwise the link of this process may
// be slow, and silence says nothing.
func (r *reports) sweep(ctx context.Context, id string, ask, path []Hop) (dead map[string]bool, silent int) {
	all := make([]*reading, len(ask))
	for i, h := range ask {
		all[i] = r.begin(h.Address)
	}
	asked := 0
	for _, x := range all {
		select {
		case <-x.done:
		case <-ctx.Done():
			return nil, 0
		}
		if x.silent {
			silent++
		}
		if !x.unasked {
			asked++
		}
	}
	dead = map[string]bool{}
	for i, x := range all {
		switch {
		case x.refused || (x.silent && 2*silent <= asked):
			dead[ask[i].Address] = true
		case ask[i] == path[0] && x.err == nil && !x.unasked:
			// The report is late: it may name an engine that the stream has
			// left since.
			if address, ok := x.value.Stalled[id]; ok && passes(path, address) {
				dead[address] = true
			}
		}
	}
	return dead, silent
}

// begin returns a read that was begun not longer than reportAge ago. Beyond the bound
// on questions it returns one for which the engine was not asked.
func (r *reports) begin(address string) *reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.last[address]
	if old != nil && time.Since(old.begun) <= reportAge {
		return old
	}
	x := &reading{done: make(chan struct{}), begun: time.Now()}
	if !r.bound.TryRetry() {
		x.unasked = true
		close(x.done)
		return x
	}
	r.last[address] = x
	go r.fill(x, address)
	return x
}

// gone asks an engine that did not answer once more and tells whether that fails
// too. It returns false to all but the first of those who ask at the same time.
func (r *reports) gone(address string) bool {
	r.mu.Lock()
	if r.confirm[address] {
		r.mu.Unlock()
		return false
	}
	r.confirm[address] = true
	x := &reading{done: make(chan struct{}), begun: time.Now()}
	r.mu.Unlock()
	r.fill(x, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.confirm, address)
	return x.silent || x.refused
}

func (r *reports) fill(x *reading, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	x.value, x.err = r.read(ctx, address)
	x.refused = errors.Is(x.err, syscall.ECONNREFUSED)
	x.silent = x.err != nil && !x.refused && time.Since(x.begun) < pausedAfter
	close(x.done)
	time.AfterFunc(keepReadings, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.last[address] == x {
			delete(r.last, address)
		}
	})
}

func passes(path []Hop, address string) bool {
	return slices.ContainsFunc(path, func(h Hop) bool { return h.Address == address })
}
