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
	// reportTimeout bounds a query for an engine's report. Engines answer it without a slot, so
	// the answer takes little more than the network round trip.
	reportTimeout = 30 * time.Millisecond
	// reportMaxAge is how long a report is shared by the streams that wait for the same engine.
	reportMaxAge = 60 * time.Millisecond
	// pauseThreshold is the duration of a query above which this process must have been paused
	// itself, so that a missing answer says nothing about the engine.
	pauseThreshold = 2 * reportTimeout
	// queriesPerRequest is the number of report queries that a process may send per request that
	// it gets, and queryBurst the number that it may save up. Finding the deaths of several
	// engines takes about ten queries. Without a bound, streams that wait in a backlog send
	// queries as long as it lasts: 118,690 queries for 14,500 requests were seen in one run of
	// the test deployment leoben-sohle-grown. CONTRIBUTING.md lists the test deployments.
	queriesPerRequest = 1.0
	queryBurst        = 80.0
	// reportRetention is how long a fetched report stays in the cache.
	reportRetention = time.Second
)

// InvalidReportError reports that an engine answered a query with something other than a report, and so
// is alive.
type InvalidReportError struct {
	Address string
	Cause   error
}

func (e *InvalidReportError) Error() string {
	return "report of " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidReportError) Unwrap() error { return e.Cause }

// reportCache shares the reports of engines between streams. Its lock is not held during queries.
type reportCache struct {
	read   func(ctx context.Context, address string) (Report, error)
	budget *retry.Budget // bounds the queries

	mu         sync.Mutex
	reads      map[string]*reportRead // latest query by address of the engine
	confirming map[string]bool        // engines that confirmDead is querying
}

// reportRead is one query for an engine's report.
type reportRead struct {
	done      chan struct{}
	startedAt time.Time
	value     Report
	err       error
	silent    bool // no answer, mostly by the timeout; not set if the connection was refused or this process was paused
	refused   bool // the connection was refused, so no process listens there
	skipped   bool // no query was sent because the budget was used up
}

func newReportCache(read func(ctx context.Context, address string) (Report, error)) *reportCache {
	return &reportCache{read: read, budget: retry.New(retry.Config{RetriesPerRequest: queriesPerRequest, Burst: queryBurst, Initial: queryBurst}), reads: map[string]*reportRead{}, confirming: map[string]bool{}}
}

// findDead queries engines of a path. It returns the addresses of those that seem dead or that the
// first engine names as the one the stream waits for, those of them that are certainly gone, and the
// number of engines that did not answer.
//
// An engine is gone if it refuses the connection. It seems dead if it does not answer while at least
// half of the queried engines do. If fewer answer, this process's own network link may be slow, and
// a missing answer proves nothing.
func (r *reportCache) findDead(ctx context.Context, id string, query, path []Hop) (dead, gone map[string]bool, unanswered int) {
	reads := make([]*reportRead, len(query))
	for i, h := range query {
		reads[i] = r.cached(h.Address)
	}
	sent := 0
	for _, rd := range reads {
		select {
		case <-rd.done:
		case <-ctx.Done():
			return nil, nil, 0
		}
		if rd.silent {
			unanswered++
		}
		if !rd.skipped {
			sent++
		}
	}
	dead, gone = map[string]bool{}, map[string]bool{}
	for i, rd := range reads {
		switch {
		case rd.refused:
			dead[query[i].Address], gone[query[i].Address] = true, true
		case rd.silent && 2*unanswered <= sent:
			dead[query[i].Address] = true
		case query[i] == path[0] && rd.err == nil && !rd.skipped:
			// Reports lag behind: this one may name an engine that the stream has left since.
			if address, ok := rd.value.Stalled[id]; ok && containsAddress(path, address) {
				dead[address] = true
			}
		}
	}
	return dead, gone, unanswered
}

// cached returns a query that was started at most reportMaxAge ago, or starts one. Once the
// budget is used up it returns a skipped one.
func (r *reportCache) cached(address string) *reportRead {
	return r.startedSince(address, time.Now().Add(-reportMaxAge))
}

// startedSince is cached for queries that were started at a time or later.
func (r *reportCache) startedSince(address string, since time.Time) *reportRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.reads[address]
	if recent != nil && !recent.startedAt.Before(since) {
		return recent
	}
	rd := &reportRead{done: make(chan struct{}), startedAt: time.Now()}
	if !r.budget.TryRetry() {
		rd.skipped = true
		close(rd.done)
		return rd
	}
	r.reads[address] = rd
	go r.fetch(rd, address)
	return rd
}

// confirmDead queries an engine that did not answer once more and reports whether it fails again.
// Of concurrent calls for the same engine only the first queries; the others return false.
func (r *reportCache) confirmDead(address string) bool {
	r.mu.Lock()
	if r.confirming[address] {
		r.mu.Unlock()
		return false
	}
	r.confirming[address] = true
	rd := &reportRead{done: make(chan struct{}), startedAt: time.Now()}
	r.mu.Unlock()
	r.fetch(rd, address)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.confirming, address)
	return rd.silent || rd.refused
}

// fetch runs the query rd and drops it from the cache after reportRetention.
func (r *reportCache) fetch(rd *reportRead, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	rd.value, rd.err = r.read(ctx, address)
	rd.refused = errors.Is(rd.err, syscall.ECONNREFUSED)
	var invalid *InvalidReportError
	rd.silent = rd.err != nil && !rd.refused && !errors.As(rd.err, &invalid) && time.Since(rd.startedAt) < pauseThreshold
	close(rd.done)
	time.AfterFunc(reportRetention, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.reads[address] == rd {
			delete(r.reads, address)
		}
	})
}

// containsAddress reports whether a path has a hop at address.
func containsAddress(path []Hop, address string) bool {
	return slices.ContainsFunc(path, func(h Hop) bool { return h.Address == address })
}
