package relay

import (
	"context"
	"sync"
	"time"
)

const (
	// reportTimeout bounds a read of an engine's report; engines answer
	// reports without a slot.
	reportTimeout = 400 * time.Millisecond
	// reportAge is how long a report is shared by streams that wait at the same
	// engine.
	reportAge = 60 * time.Millisecond
)

// reports shares the reads of engine reports between streams. Its lock is not
// held during reads.
type reports struct {
	read func(ctx context.Context, address string) (Report, error)

	mu   sync.Mutex
	last map[string]*reading
}

type reading struct {
	done  chan struct{}
	begun time.Time
	value Report
	err   error
}

func newReports(read func(ctx context.Context, address string) (Report, error)) *reports {
	return &reports{read: read, last: map[string]*reading{}}
}

// get returns a report that was asked for not longer than reportAge ago.
func (r *reports) get(ctx context.Context, address string) (Report, error) {
	r.mu.Lock()
	x := r.last[address]
	if x == nil || time.Since(x.begun) > reportAge {
		x = &reading{done: make(chan struct{}), begun: time.Now()}
		r.last[address] = x
		go r.fill(x, address)
	}
	r.mu.Unlock()
	select {
	case <-x.done:
		return x.value, x.err
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
}

func (r *reports) fill(x *reading, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	x.value, x.err = r.read(ctx, address)
	close(x.done)
	// Readings of servers that are gone are not kept.
	time.AfterFunc(time.Second, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.last[address] == x {
			delete(r.last, address)
		}
	})
}
