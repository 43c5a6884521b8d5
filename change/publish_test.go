package change

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

// files returns the file of one account.
func files(name string, rate int) []File {
	return []File{{Path: name + ".bay.toml", Text: accountText(name, rate)}}
}

// runSimulation runs f in virtual time with a simulation of n processes.
func runSimulation(t *testing.T, n int, f func(*simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := newSimulation(ctx, n, rand.New(rand.NewPCG(1, 1)))
		sim.start()
		time.Sleep(time.Second)
		f(sim)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestUnknownOutcome checks that the outcome of a publication is reported as
// unknown when the reply of its transaction was lost and the table cannot be
// read, and that a delayed copy of a transaction is not applied after another
// copy was.
func TestUnknownOutcome(t *testing.T) {
	runSimulation(t, 1, func(sim *simulation) {
		p := sim.procs[0].now().pub
		sim.table.SetFaults(fakes.PlatformFaults{LostReplies: 1})
		time.AfterFunc(20*time.Millisecond, func() { sim.table.UpdateFaults(func(f *fakes.PlatformFaults) { f.Down = true }) })
		sim.procs[0].link.SetFaults(fakes.PlatformFaults{Delay: 8 * time.Millisecond})
		_, err := p.Publish(sim.ctx, Request{ID: "a", Author: "asha", Files: files("hotel", 1)})
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
		sim.table.SetFaults(fakes.PlatformFaults{})
		res, err := p.Publish(sim.ctx, Request{ID: "a", Author: "asha", Files: files("hotel", 1)})
		assert.NilError(t, err)
		assert.Equal(t, len(res.Changes), 0, "the lost publication was applied")

		sim.table.SetFaults(fakes.PlatformFaults{LateCommits: 1, CommitDelay: 30 * time.Second})
		res, err = p.Publish(sim.ctx, Request{ID: "b", Author: "asha", Base: 1, Files: files("hotel", 2)})
		assert.NilError(t, err)
		assert.Equal(t, res.Version, uint64(2))
		time.Sleep(time.Minute)
		h, err := decodeHead(sim.table.Row(headKey))
		assert.NilError(t, err)
		assert.Equal(t, h.Version, uint64(2), "the late copy was applied too")
	})
}

// TestConflict checks that publications of different documents through two
// processes both succeed, that a change that the operator has not seen is not
// overwritten, and that the conflict says who changed which document and when.
func TestConflict(t *testing.T) {
	runSimulation(t, 2, func(sim *simulation) {
		a, b := sim.procs[0].now().pub, sim.procs[1].now().pub
		_, err := a.Publish(sim.ctx, Request{Author: "asha", Files: append(files("hotel", 1), files("inn", 1)...)})
		assert.NilError(t, err)
		sim.table.SetFaults(fakes.PlatformFaults{Delay: 20 * time.Millisecond})
		errs := make(chan error, 2)
		for i, p := range []*Publisher{a, b} {
			go func() {
				_, err := p.Publish(sim.ctx, Request{Author: fmt.Sprint("op", i), Base: 1, Files: files([]string{"hotel", "inn"}[i], 5)})
				errs <- err
			}()
		}
		assert.NilError(t, errors.Join(<-errs, <-errs), "only the head row changed")
		_, err = b.Publish(sim.ctx, Request{Author: "bina", Base: 1, Files: files("hotel", 9)})
		assert.Equal(t, fault.CodeOf(err), fault.Conflict)
		for _, want := range []string{"account/hotel was changed by \"op0\"", "2000-01-01T00:00:0", "you saw version 1"} {
			assert.ErrorContains(t, err, want)
		}
	})
}

// TestEmptyDirectory checks that publishing an empty directory does not remove
// all documents that it owns.
func TestEmptyDirectory(t *testing.T) {
	runSimulation(t, 1, func(sim *simulation) {
		p := sim.procs[0].now().pub
		_, err := p.Publish(sim.ctx, Request{Author: "asha", Source: "shop", Files: files("hotel", 1)})
		assert.NilError(t, err)
		_, err = p.Publish(sim.ctx, Request{Author: "asha", Source: "shop", Base: 1})
		assert.Equal(t, fault.CodeOf(err), fault.Invalid)
		_, err = p.Publish(sim.ctx, Request{Author: "asha", Source: "shop", Base: 1, Partial: true, Remove: []string{"account/hotel"}})
		assert.NilError(t, err)
	})
}

// TestStart checks that a snapshot does not take effect without the table or a
// peer, and that a start reads only the changes after the snapshot.
func TestStart(t *testing.T) {
	runSimulation(t, 1, func(sim *simulation) {
		p := sim.procs[0]
		for i := range 70 {
			_, err := p.now().pub.Publish(sim.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
			assert.NilError(t, err)
		}
		sim.table.SetFaults(fakes.PlatformFaults{Down: true})
		p.restart()
		time.Sleep(10 * time.Second)
		s := p.now().store
		assert.Equal(t, s.Version(), uint64(0), "a snapshot may be older than what was in effect")
		assert.Assert(t, s.VersionStatus().Behind)
		before := sim.table.Counts().Reads
		sim.table.SetFaults(fakes.PlatformFaults{})
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, s.Version(), uint64(70))
		assert.Assert(t, sim.table.Counts().Reads-before <= 4, "%d reads", sim.table.Counts().Reads-before)
		assert.Assert(t, !s.VersionStatus().Behind)
		rs, err := s.Records(66)
		assert.NilError(t, err)
		assert.Equal(t, len(rs), 4)
	})
}

// TestOlderVersion checks that a version is never replaced by an older one. It
// also shows that isNewer is what prevents it.
func TestOlderVersion(t *testing.T) {
	s := NewStore(StoreConfig{})
	tree := s.Tree()
	assert.NilError(t, s.Apply(5, tree))
	assert.ErrorIs(t, s.Apply(4, tree), ErrStale)
	assert.ErrorIs(t, s.Apply(5, tree), ErrStale)
	assert.Equal(t, s.Version(), uint64(5))
	assert.NilError(t, s.HandleAnnouncement(t.Context(), Announcement{Version: 5, Digest: tree.Digest() + 1}))
	assert.Equal(t, s.VersionStatus().Violations, uint64(1))
	s.isNewer = func(uint64, uint64) bool { return true }
	assert.NilError(t, s.Apply(4, tree))
	assert.Equal(t, s.Version(), uint64(4))
}

// TestRecordsDeleted checks that a process can load the configuration when the
// records that it needs are no longer in the table.
func TestRecordsDeleted(t *testing.T) {
	runSimulation(t, 2, func(sim *simulation) {
		p, q := sim.procs[0], sim.procs[1]
		q.link.SetFaults(fakes.PlatformFaults{Down: true})
		q.pause(time.Hour)
		for i := range keptRecords + 10 {
			_, err := p.now().pub.Publish(sim.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
			assert.NilError(t, err)
		}
		assert.Assert(t, !sim.table.Row(recordKey(10)).Exists())
		fresh := NewStore(StoreConfig{Table: sim.table.Client()})
		assert.NilError(t, fresh.Refresh(sim.ctx))
		assert.Equal(t, fresh.Version(), uint64(keptRecords+10))
		assert.Assert(t, strings.Contains(string(fresh.Tree().Document("account/hotel").Text()), fmt.Sprint("rate = ", keptRecords+10)))
	})
}

// TestAnnouncementKeepsItsAge guards against an announcement whose age is counted from the end of the fetch that
// it causes: a slow fetch made a version look as if it had just been confirmed to be the newest.
func TestAnnouncementKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fetchTime, age = 800 * time.Millisecond, 5 * time.Second
		source := NewStore(StoreConfig{})
		for version := uint64(1); version <= 2; version++ {
			assert.NilError(t, source.Apply(version, emptyState().tree))
		}
		s := NewStore(StoreConfig{Fetch: func(context.Context, string, uint64) ([]Record, error) {
			time.Sleep(fetchTime)
			return source.Records(1)
		}})
		assert.NilError(t, s.Apply(1, emptyState().tree))
		told := time.Now()
		a := source.Announcement()
		a.Peer, a.Age = "entry-2", age
		assert.NilError(t, s.HandleAnnouncement(t.Context(), a))
		assert.Equal(t, s.Version(), uint64(2))
		assert.Equal(t, time.Since(told), fetchTime)
		assert.Equal(t, s.ConfirmedAt(), told.Add(-age))
	})
}
