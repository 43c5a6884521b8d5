package watch_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// forgetfulTable is a table of a platform that drops its history, and the processes that follow it: the first polls for
// the others and tells them its pages.
type forgetfulTable struct {
	base      time.Time
	followers []*watch.Follower
	running   sync.WaitGroup

	mu       sync.Mutex
	rows     map[string]watch.Row
	revision uint64
	history  []watch.Row
	dropped  uint64 // changes up to this revision are no longer in the history
	reads    int
	gaps     int
	applied  []map[string]uint64 // revisions of the rows that each process knows
}

func (x *forgetfulTable) clock() time.Duration { return time.Since(x.base) + platformAhead }

// put writes rows, or deletes those whose key begins with a minus sign.
func (x *forgetfulTable) put(keys ...string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, key := range keys {
		x.revision++
		r := watch.Row{Key: key, Revision: x.revision}
		if key[0] == '-' {
			r.Key, r.Deleted = key[1:], true
			delete(x.rows, r.Key)
		} else {
			x.rows[key] = r
		}
		x.history = append(x.history, r)
	}
}

// forget drops the history.
func (x *forgetfulTable) forget() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history, x.dropped = nil, x.revision
}

func (x *forgetfulTable) read(context.Context) (watch.Page, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reads++
	return watch.Page{Whole: true, Rows: slices.Collect(maps.Values(x.rows)), Revision: x.revision, Clock: x.clock()}, nil
}

func (x *forgetfulTable) poll(_ context.Context, after uint64, wait time.Duration) (watch.Page, error) {
	time.Sleep(wait)
	x.mu.Lock()
	defer x.mu.Unlock()
	if after < x.dropped {
		x.gaps++
		return watch.Page{}, watch.ErrGap
	}
	p := watch.Page{Revision: x.revision, Clock: x.clock()}
	for _, r := range x.history {
		if r.Revision > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// start adds a process.
func (x *forgetfulTable) start(ctx context.Context) {
	n := len(x.followers)
	known := map[string]uint64{}
	x.applied = append(x.applied, known)
	c := watch.Config{
		Name: "servers", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(), Read: x.read, Poll: x.poll,
		PolledByPeers: func() bool { return n > 0 },
		Rank:          func() int { return n },
		Confirm:       func(time.Duration) {},
		Apply: func(p watch.Page, _ time.Duration) {
			x.mu.Lock()
			defer x.mu.Unlock()
			if p.Whole {
				clear(known)
			}
			for _, r := range p.Rows {
				known[r.Key] = r.Revision
				if r.Deleted {
					delete(known, r.Key)
				}
			}
		},
		Share: func(p watch.Page, after, changed uint64) {
			for _, f := range x.followers[1:] {
				f.OfferRelayed(p, after, changed)
			}
		},
	}
	f := watch.New(c)
	x.followers = append(x.followers, f)
	x.running.Go(func() { f.Run(ctx) })
}

// TestGapIsReadOnce guards against all processes that read the whole table when the platform has dropped its history:
// 295 processes made 590 calls.
func TestGapIsReadOnce(t *testing.T) {
	const processes = 20
	for name, changes := range map[string][]string{
		"nothing changed": nil, "a row changed": {"a"}, "a row deleted": {"-a"}, "row written again": {"-a", "a"}, "many": {"a", "-b", "d", "-c", "c", "d"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &forgetfulTable{base: time.Now(), rows: map[string]watch.Row{}}
				defer clock.Replace(func() time.Duration { return time.Since(x.base) + time.Hour })()
				ctx, cancel := context.WithCancel(t.Context())
				defer func() { cancel(); x.running.Wait() }()
				x.put("a", "b", "c")
				for range processes {
					x.start(ctx)
				}
				x.running.Go(func() { // heartbeats
					for ctx.Err() == nil {
						if w, ok := x.followers[0].Watermark(); ok {
							for _, f := range x.followers[1:] {
								f.ObserveWatermark(w)
							}
						}
						time.Sleep(250 * time.Millisecond)
					}
				})
				time.Sleep(3 * time.Second)
				x.mu.Lock()
				reads := x.reads
				x.mu.Unlock()
				assert.Equal(t, reads, processes, "each reads the table when it starts")
				x.put("other table")
				x.put("-other table")
				x.put(changes...)
				x.forget()
				time.Sleep(4 * time.Second)
				x.mu.Lock()
				defer x.mu.Unlock()
				assert.Equal(t, x.gaps, 1, "processes that met the gap")
				assert.Equal(t, x.reads, processes+1)
				want := map[string]uint64{}
				for key, r := range x.rows {
					want[key] = r.Revision
				}
				for _, known := range x.applied {
					assert.DeepEqual(t, known, want)
				}
			})
		})
	}
}
