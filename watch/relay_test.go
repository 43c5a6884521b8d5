package watch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// relayed follows a table of which other processes tell.
type relayed struct {
	follower *watch.Follower
	base     time.Time
	changed  uint64 // last change of the platform's table
	polls    atomic.Int64
	applied  []string
	fresh    time.Duration
	down     atomic.Bool   // the platform refuses calls
	silent   atomic.Bool   // calls get no answer
	poller   atomic.Bool   // this process polls for others
	outage   time.Duration // as told with the last change
}

// platformAhead is the difference of the platform's clock.
const platformAhead = 100 * time.Second

func (r *relayed) clock() time.Duration { return time.Since(r.base) + platformAhead }

func follow(t *testing.T, f func(t *testing.T, r *relayed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &relayed{base: time.Now(), changed: 5}
		defer clock.Replace(func() time.Duration { return time.Since(r.base) + time.Hour })()
		row := func() watch.Row { return watch.Row{Key: "k", Value: []byte("polled"), Revision: r.changed} }
		r.follower = watch.New(watch.Config{
			Name: "op", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(),
			PolledByPeers: func() bool { return !r.poller.Load() },
			Read: func(context.Context) (watch.Page, error) {
				return watch.Page{Whole: true, Rows: []watch.Row{row()}, Revision: r.changed, Clock: r.clock()}, nil
			},
			Poll: func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
				r.polls.Add(1)
				if r.silent.Load() {
					<-ctx.Done()
					return watch.Page{}, ctx.Err()
				}
				if r.down.Load() {
					return watch.Page{}, errors.New("connection refused")
				}
				if after >= r.changed {
					time.Sleep(wait)
				}
				p := watch.Page{Revision: max(after, r.changed), Clock: r.clock()}
				if after < r.changed {
					p.Rows = []watch.Row{row()}
				}
				return p, nil
			},
			Apply: func(p watch.Page, outage time.Duration) {
				r.outage = outage
				for _, x := range p.Rows {
					r.applied = append(r.applied, string(x.Value))
				}
			},
			Confirm: func(at time.Duration) { r.fresh = max(r.fresh, at) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { r.follower.Run(ctx); close(done) }()
		synctest.Wait()
		defer func() { cancel(); <-done }()
		f(t, r)
	})
}

// tell says for a time what a reader knows, as heartbeats do.
func (r *relayed) tell(changed uint64, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		r.follower.ObserveWatermark(watch.Watermark{Changed: changed, Clock: r.clock()})
	}
	synctest.Wait()
}

// Guards against a poll of each process while readers tell all that there is.
func TestRelayedNeedsNoPolls(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.tell(5, 10*time.Second)
		assert.Equal(t, r.polls.Load(), int64(0))
		age := clock.Now() - r.fresh
		assert.Assert(t, age <= 700*time.Millisecond, "%v", age)
	})
}

// Guards against a relayed change that is not put into effect.
func TestRelayedChange(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.changed = 9
		r.follower.Offer(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 12, Clock: r.clock()}, 5, 9)
		synctest.Wait()
		assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
		r.tell(9, 3*time.Second)
		assert.Equal(t, r.polls.Load(), int64(0))
	})
}

// Guards against a change whose datagram was lost.
func TestLostChangeIsPolled(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.changed = 9
		r.tell(9, 1200*time.Millisecond)
		assert.Equal(t, r.polls.Load(), int64(1))
		assert.Equal(t, len(r.applied), 2)
	})
}

// Guards against changes that do not follow on what is known.
func TestChangeWithAGapIsPolled(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.changed = 9
		r.follower.Offer(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 9, Clock: r.clock()}, 7, 9)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, r.applied, []string{"polled", "polled"})
	})
}

// Guards against readers that are cut off from the platform: a change must be in
// effect within two seconds here.
func TestSilentReaders(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.tell(5, time.Second)
		cut := r.clock()
		r.changed = 9
		for range 4 { // heartbeats go on, the platform's clock in them stands still
			time.Sleep(490 * time.Millisecond)
			r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
		}
		time.Sleep(40 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(r.applied), 2, "the change is not known after 2 s")
	})
}

// Guards against a call without an answer that keeps a process from hearing changes:
// an engine that left got requests for a second after another process knew of it.
func TestChangeDuringACallWithoutAnAnswer(t *testing.T) {
	for name, poller := range map[string]bool{"process": false, "poller": true} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(t *testing.T, r *relayed) {
				r.tell(5, time.Second)
				r.silent.Store(true)
				r.poller.Store(poller)
				for polls := r.polls.Load(); r.polls.Load() == polls; {
					time.Sleep(100 * time.Millisecond)
				}
				r.changed = 9
				r.follower.Offer(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 12, Clock: r.clock()}, 5, 9)
				synctest.Wait()
				assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
				r.silent.Store(false)
				r.tell(9, 3*time.Second)
				assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
			})
		})
	}
}

// Guards against a long wait for the answer to a call that asks for what is known now:
// a platform that is back was asked again a second later.
func TestCallThatNeedNotWait(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.silent.Store(true)
		for r.polls.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		asked := time.Now()
		r.silent.Store(false)
		for r.polls.Load() == 1 {
			time.Sleep(10 * time.Millisecond)
		}
		// Slack, and a pause.
		assert.Assert(t, time.Since(asked) < 1700*time.Millisecond, "%v", time.Since(asked))
	})
}

// Guards against processes that all ask the platform again and again while it is
// down, and that wait for their own answer when others have one already.
func TestOutageOfAllReaders(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.tell(5, time.Second)
		r.down.Store(true)
		cut := r.clock()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
		}
		synctest.Wait()
		assert.Assert(t, r.polls.Load() >= 3 && r.polls.Load() <= 14, "%d polls in an outage of 10 s", r.polls.Load())
		polls := r.polls.Load()
		r.tell(5, 1500*time.Millisecond) // a reader has an answer again
		assert.Equal(t, r.polls.Load(), polls)
		age := clock.Now() - r.fresh
		assert.Assert(t, age <= 700*time.Millisecond, "%v", age)
		assert.Assert(t, r.outage >= 9*time.Second, "%v", r.outage)
	})
}

// Guards against a process that waits long for its next call when the platform
// answers it again and no other.
func TestOnlyThisProcessIsServedAgain(t *testing.T) {
	follow(t, func(t *testing.T, r *relayed) {
		r.down.Store(true)
		time.Sleep(10 * time.Second)
		r.down.Store(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		age := clock.Now() - r.fresh
		assert.Assert(t, age <= 3*time.Second, "%v", age)
		assert.Assert(t, r.outage >= 9*time.Second, "%v", r.outage)
	})
}

// Guards against a row that was deleted while the platform dropped its history: the
// reader reads the whole table, which does not name the row, and the others must
// do so too (a crashed engine stayed on the lists of a grown day).
func TestWholeReadOfAReaderIsAChange(t *testing.T) {
	base := time.Now()
	defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
	polls := 0
	reader := watch.New(watch.Config{
		Name: "servers", Wait: time.Millisecond, Slack: time.Second, Log: zerolog.Nop(), Confirm: func(time.Duration) {},
		Read: func(context.Context) (watch.Page, error) {
			return watch.Page{Whole: true, Rows: []watch.Row{{Key: "k", Revision: 3}}, Revision: uint64(10 + polls), Clock: time.Second}, nil
		},
		Poll: func(_ context.Context, after uint64, _ time.Duration) (watch.Page, error) {
			polls++
			if polls == 2 {
				return watch.Page{}, watch.ErrGap
			}
			time.Sleep(time.Millisecond)
			return watch.Page{Revision: after, Clock: time.Second}, nil
		},
		Apply: func(watch.Page, time.Duration) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { reader.Run(ctx); close(done) }()
	time.Sleep(50 * time.Millisecond)
	s, ok := reader.Watermark()
	cancel()
	<-done
	assert.Assert(t, ok)
	assert.Equal(t, s.Changed, uint64(12), "others are not told to read again")
}
