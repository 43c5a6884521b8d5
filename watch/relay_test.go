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

// relayedTable is a table that other processes relay to a follower.
type relayedTable struct {
	follower    *watch.Follower
	base        time.Time
	changed     uint64 // last change of the platform's table
	polls       atomic.Int64
	applied     []string
	confirmedAt time.Duration
	down        atomic.Bool   // the platform refuses calls
	silent      atomic.Bool   // calls get no answer
	poller      atomic.Bool   // this process is a poller: no other polls for it
	outage      time.Duration // as passed to Apply last
	rank        atomic.Int64  // processes nearby that poll before this one
	shared      atomic.Int64  // pages shared
	told        atomic.Int64  // watermarks shared
}

// platformAhead is the reading of the platform's clock at the start of a test.
const platformAhead = 100 * time.Second

func (r *relayedTable) clock() time.Duration { return time.Since(r.base) + platformAhead }

func withFollower(t *testing.T, f func(t *testing.T, r *relayedTable)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &relayedTable{base: time.Now(), changed: 5}
		defer clock.Replace(func() time.Duration { return time.Since(r.base) + time.Hour })()
		row := func() watch.Row { return watch.Row{Key: "k", Value: []byte("polled"), Revision: r.changed} }
		r.follower = watch.New(watch.Config{
			Name: "op", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(),
			PolledByPeers:  func() bool { return !r.poller.Load() },
			Rank:           func() int { return int(r.rank.Load()) },
			Share:          func(watch.Page, uint64, uint64) { r.shared.Add(1) },
			ShareWatermark: func(watch.Watermark) { r.told.Add(1) },
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
			Confirm: func(at time.Duration) { r.confirmedAt = max(r.confirmedAt, at) },
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { r.follower.Run(ctx); close(done) }()
		synctest.Wait()
		defer func() { cancel(); <-done }()
		f(t, r)
	})
}

// announce sends watermarks for a time, as heartbeats do.
func (r *relayedTable) announce(changed uint64, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		r.follower.ObserveWatermark(watch.Watermark{Changed: changed, Clock: r.clock()})
	}
	synctest.Wait()
}

// Guards against polls by each process while pollers relay everything.
func TestRelayedNeedsNoPolls(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.announce(5, 10*time.Second)
		assert.Equal(t, r.polls.Load(), int64(0))
		age := clock.Now() - r.confirmedAt
		assert.Assert(t, age <= 700*time.Millisecond, "%v", age)
	})
}

// Guards against a relayed change that is not applied.
func TestRelayedChange(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.changed = 9
		r.follower.OfferRelayed(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 12, Clock: r.clock()}, 5, 9)
		synctest.Wait()
		assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
		r.announce(9, 3*time.Second)
		assert.Equal(t, r.polls.Load(), int64(0))
	})
}

// Guards against losing a change whose datagram was lost.
func TestLostRelayedChangeIsPolled(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.changed = 9
		r.announce(9, 1200*time.Millisecond)
		assert.Equal(t, r.polls.Load(), int64(1))
		assert.Equal(t, len(r.applied), 2)
	})
}

// Guards against applying relayed changes that do not follow the known revision.
func TestRelayedChangeAfterGapIsPolled(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.changed = 9
		r.follower.OfferRelayed(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 9, Clock: r.clock()}, 7, 9)
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, r.applied, []string{"polled", "polled"})
	})
}

// Guards against pollers that are cut off from the platform: a change must be known
// within two seconds all the same.
func TestPollersCutOff(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.announce(5, time.Second)
		cut := r.clock()
		r.changed = 9
		for range 4 { // heartbeats continue with a watermark that no longer advances
			time.Sleep(490 * time.Millisecond)
			r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
		}
		time.Sleep(40 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(r.applied), 2, "the change is not known after 2 s")
	})
}

// Guards against an unanswered call that delays relayed changes: an engine that had left
// got requests for a second after another process knew of it.
func TestRelayedChangeDuringUnansweredCall(t *testing.T) {
	for name, poller := range map[string]bool{"process": false, "poller": true} {
		t.Run(name, func(t *testing.T) {
			withFollower(t, func(t *testing.T, r *relayedTable) {
				r.announce(5, time.Second)
				r.silent.Store(true)
				r.poller.Store(poller)
				for polls := r.polls.Load(); r.polls.Load() == polls; {
					time.Sleep(100 * time.Millisecond)
				}
				r.changed = 9
				r.follower.OfferRelayed(watch.Page{Rows: []watch.Row{{Key: "k", Value: []byte("relayed"), Revision: 9}}, Revision: 12, Clock: r.clock()}, 5, 9)
				synctest.Wait()
				assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
				r.silent.Store(false)
				r.announce(9, 3*time.Second)
				assert.DeepEqual(t, r.applied, []string{"polled", "relayed"})
			})
		})
	}
}

// Guards against a retry that waits for changes: a platform that had recovered was called
// again only a second later.
func TestRetryPollsWithoutWait(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.silent.Store(true)
		for r.polls.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		asked := time.Now()
		r.silent.Store(false)
		for r.polls.Load() == 1 {
			time.Sleep(10 * time.Millisecond)
		}
		// The timeout of the first poll, which is Slack, and the retry delay.
		assert.Assert(t, time.Since(asked) < 1700*time.Millisecond, "%v", time.Since(asked))
	})
}

// Guards against all processes calling the platform repeatedly while it is down, and
// against a process that waits until the platform answers it, although another process
// relays an answer already.
func TestOutageOfAllProcesses(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.announce(5, time.Second)
		r.down.Store(true)
		cut := r.clock()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
		}
		synctest.Wait()
		assert.Assert(t, !r.follower.CutOff(), "nobody reaches the platform")
		assert.Assert(t, r.polls.Load() >= 3 && r.polls.Load() <= 14, "%d polls in an outage of 10 s", r.polls.Load())
		polls := r.polls.Load()
		r.announce(5, 1500*time.Millisecond) // a poller has an answer again
		assert.Equal(t, r.polls.Load(), polls)
		age := clock.Now() - r.confirmedAt
		assert.Assert(t, age <= 700*time.Millisecond, "%v", age)
		assert.Assert(t, r.outage >= 9*time.Second, "%v", r.outage)
	})
}

// Guards against a long wait for the next call when the platform answers this process
// again and no other.
func TestRecoveryOfOneProcess(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.down.Store(true)
		time.Sleep(10 * time.Second)
		r.down.Store(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		age := clock.Now() - r.confirmedAt
		assert.Assert(t, age <= 3*time.Second, "%v", age)
		assert.Assert(t, r.outage >= 9*time.Second, "%v", r.outage)
	})
}

// Guards against keeping a row that was deleted while the platform dropped its history: the
// whole table that the poller then reads does not name the row, so the others must read
// the table too (a crashed engine stayed on their lists in a run of a grown deployment).
func TestWholeReadCountsAsChange(t *testing.T) {
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
	assert.Equal(t, s.Changed, uint64(12), "other processes must read the table again")
}

// announceStale sends heartbeats with a watermark that no longer advances.
func (r *relayedTable) announceStale(changed uint64, at, during time.Duration) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r.follower.ObserveWatermark(watch.Watermark{Changed: changed, Clock: at})
	}
	synctest.Wait()
}

// Guards against following a hub that has lost the platform for longer than a change may take to be known,
// whatever the rank of the process: a member sent requests to the old service for 2.25 s.
func TestHubCutOff(t *testing.T) {
	for _, rank := range []int64{1, 2, 10, 100} {
		withFollower(t, func(t *testing.T, r *relayedTable) {
			r.rank.Store(rank)
			r.announce(5, time.Second)
			cut := r.clock()
			r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
			r.changed = 9
			r.announceStale(5, cut, 1600*time.Millisecond)
			assert.Equal(t, r.polls.Load(), int64(0), "it polls before the hub does")
			r.announceStale(5, cut, 300*time.Millisecond)
			assert.Equal(t, len(r.applied), 2, "rank %d does not know the change after 1.9 s", rank)
		})
	}
}

// Guards against a wait for an announced change that outlasts the age at which the process polls.
func TestLostChangeOfOldHub(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.rank.Store(1)
		r.announce(5, time.Second)
		at := r.clock()
		r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: at})
		r.announceStale(5, at, 1650*time.Millisecond)
		r.changed = 9
		r.announceStale(9, at+1600*time.Millisecond, 100*time.Millisecond)
		assert.Equal(t, len(r.applied), 2)
	})
}

// Guards against processes that poll one after another without telling each other, and against one that
// tells all others of what they know.
func TestAnswersThatAreTold(t *testing.T) {
	check := func(t *testing.T, r *relayedTable, polls, shared, told int64) {
		t.Helper()
		assert.DeepEqual(t, []int64{r.polls.Load(), r.shared.Load(), r.told.Load()}, []int64{polls, shared, told})
	}
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.rank.Store(1)
		r.announce(5, time.Second)
		cut := r.clock()
		r.follower.ObserveWatermark(watch.Watermark{Changed: 5, Clock: cut})
		r.announceStale(5, cut, 1800*time.Millisecond)
		check(t, r, 1, 0, 1)
		r.changed = 9
		r.announceStale(5, cut, 1800*time.Millisecond)
		check(t, r, 2, 1, 1)
		r.changed = 12
		r.announce(12, 1500*time.Millisecond) // the page was lost
		check(t, r, 3, 1, 1)
	})
}

// Guards against a hub that stays the hub while it does not reach the platform and others do, against a
// process that does not notice when it does again, and against calls without a pause meanwhile.
func TestCutOffIsNoticed(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.poller.Store(true)
		r.announce(5, 3*time.Second)
		assert.Assert(t, !r.follower.CutOff())
		r.silent.Store(true)
		r.announce(5, 4500*time.Millisecond)
		assert.Assert(t, r.follower.CutOff(), "not noticed after 4.5 s")
		r.poller.Store(false)
		polls := r.polls.Load()
		r.announce(5, 20*time.Second)
		assert.Assert(t, r.follower.CutOff())
		calls := r.polls.Load() - polls
		assert.Assert(t, calls >= 4 && calls <= 20, "%d calls in 20 s", calls)
		r.silent.Store(false)
		r.announce(5, 4500*time.Millisecond)
		assert.Assert(t, !r.follower.CutOff(), "not noticed 4.5 s after the end")
		polls = r.polls.Load()
		r.announce(5, 5*time.Second)
		assert.Equal(t, r.polls.Load(), polls)
	})
}

// Guards against a new hub for each lost answer.
func TestOneLostAnswerIsNoCutOff(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		r.poller.Store(true)
		r.announce(5, 3*time.Second)
		polls := r.polls.Load()
		r.silent.Store(true)
		for r.polls.Load() == polls {
			r.announce(5, 100*time.Millisecond)
		}
		r.silent.Store(false)
		for range 40 {
			r.announce(5, 100*time.Millisecond)
			assert.Assert(t, !r.follower.CutOff())
		}
	})
}
