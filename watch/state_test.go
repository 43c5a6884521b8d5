package watch_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// startFromPeer runs a follower that starts from the state of another one.
func startFromPeer(t *testing.T, r *relayedTable, s watch.State) (f *watch.Follower, confirmed *time.Duration, stop func()) {
	t.Helper()
	confirmed = new(time.Duration)
	f = watch.New(watch.Config{
		Name: "op", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(),
		FetchInitial:  func(context.Context) (watch.State, bool) { return s, true },
		PolledByPeers: func() bool { return true },
		Read: func(context.Context) (watch.Page, error) {
			t.Error("the platform was read")
			return watch.Page{}, errors.New("not served")
		},
		Poll: func(context.Context, uint64, time.Duration) (watch.Page, error) {
			r.polls.Add(1)
			return watch.Page{}, errors.New("not served")
		},
		Apply: func(watch.Page, time.Duration) {}, Confirm: func(at time.Duration) { *confirmed = max(*confirmed, at) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return f, confirmed, func() { cancel(); <-done }
}

func rowsOf(s watch.State) map[string]string {
	out := map[string]string{}
	for _, r := range s.Rows {
		out[r.Key] = string(r.Value)
	}
	return out
}

// Guards against reading whole tables at the start of each process, and against losing the
// platform's clock while no newer data arrives: such a process rejected the heartbeats of
// the others, and they rejected its own.
func TestStartFromPeerState(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		s, ok := r.follower.State()
		assert.Assert(t, ok)
		assert.DeepEqual(t, rowsOf(s), map[string]string{"k": "polled"})
		s.At -= 300 * time.Millisecond // the longest transit time of the state
		f, confirmed, stop := startFromPeer(t, r, s)
		defer stop()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, r.polls.Load(), int64(0))
		assert.Equal(t, *confirmed, s.At)
		off := f.Clock() - r.clock()
		assert.Assert(t, off >= 0 && off <= 300*time.Millisecond, "%v", off)

		now := r.clock()
		f.OfferRelayed(watch.Page{
			Rows: []watch.Row{{Key: "n", Value: []byte("new"), Revision: 8}, {Key: "k", Revision: 9, Deleted: true}}, Revision: 9, Clock: now,
		}, s.Changed, 9)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		s, ok = f.State()
		assert.Assert(t, ok)
		assert.DeepEqual(t, rowsOf(s), map[string]string{"n": "new"})
		assert.Equal(t, s.Complete, uint64(9))
		assert.Assert(t, *confirmed > clock.Now()-time.Second)
	})
}

// Guards against following another process for a while longer from a state that is too old: the process
// that handed it out had lost the platform.
func TestOldPeerStateIsPolledAtOnce(t *testing.T) {
	withFollower(t, func(t *testing.T, r *relayedTable) {
		s, ok := r.follower.State()
		assert.Assert(t, ok)
		s.At = clock.Now() - 5200*time.Millisecond
		_, confirmed, stop := startFromPeer(t, r, s)
		defer stop()
		synctest.Wait()
		assert.Equal(t, *confirmed, s.At)
		assert.Equal(t, r.polls.Load(), int64(1))
	})
}

// Guards against handing out a table that is not known yet.
func TestNoStateBeforeFirstAnswer(t *testing.T) {
	f := watch.New(watch.Config{Name: "op", Log: zerolog.Nop()})
	_, ok := f.State()
	assert.Assert(t, !ok)
	assert.Equal(t, f.Clock(), time.Duration(0))
}
