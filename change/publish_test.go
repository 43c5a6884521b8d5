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

func files(name string, rate int) []File {
	return []File{{Path: name + ".bay.toml", Text: accountText(name, rate)}}
}

// bubble runs f in virtual time with a world of n processes.
func bubble(t *testing.T, n int, f func(*world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, n, rand.New(rand.NewPCG(1, 1)))
		w.start()
		time.Sleep(time.Second)
		f(w)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestUnknown guards against a guess when the reply of a transaction was lost
// and the table can't be read, and against a late transaction that is applied
// after the operator was told that it was refused.
func TestUnknown(t *testing.T) {
	bubble(t, 1, func(w *world) {
		p := w.procs[0].now().pub
		w.table.SetFaults(fakes.PlatformFaults{LostReplies: 1})
		time.AfterFunc(20*time.Millisecond, func() { w.table.UpdateFaults(func(f *fakes.PlatformFaults) { f.Down = true }) })
		w.procs[0].link.SetFaults(fakes.PlatformFaults{Delay: 8 * time.Millisecond})
		_, err := p.Publish(w.ctx, Request{ID: "a", Author: "asha", Files: files("hotel", 1)})
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
		w.table.SetFaults(fakes.PlatformFaults{})
		res, err := p.Publish(w.ctx, Request{ID: "a", Author: "asha", Files: files("hotel", 1)})
		assert.NilError(t, err)
		assert.Equal(t, len(res.Changes), 0, "the lost publication was applied")

		w.table.SetFaults(fakes.PlatformFaults{LateCommits: 1, CommitDelay: 30 * time.Second})
		res, err = p.Publish(w.ctx, Request{ID: "b", Author: "asha", Base: 1, Files: files("hotel", 2)})
		assert.NilError(t, err)
		assert.Equal(t, res.Version, uint64(2))
		time.Sleep(time.Minute)
		h, err := decodeHead(w.table.Row(headKey))
		assert.NilError(t, err)
		assert.Equal(t, h.Version, uint64(2), "the late copy was applied too")
	})
}

// TestConflict guards against a conflict that does not say who changed what
// and when, and against a repeat that overwrites a change.
func TestConflict(t *testing.T) {
	bubble(t, 2, func(w *world) {
		a, b := w.procs[0].now().pub, w.procs[1].now().pub
		_, err := a.Publish(w.ctx, Request{Author: "asha", Files: append(files("hotel", 1), files("inn", 1)...)})
		assert.NilError(t, err)
		w.table.SetFaults(fakes.PlatformFaults{Delay: 20 * time.Millisecond})
		errs := make(chan error, 2)
		for i, p := range []*Publisher{a, b} {
			go func() {
				_, err := p.Publish(w.ctx, Request{Author: fmt.Sprint("op", i), Base: 1, Files: files([]string{"hotel", "inn"}[i], 5)})
				errs <- err
			}()
		}
		assert.NilError(t, errors.Join(<-errs, <-errs), "only the head row moved")
		_, err = b.Publish(w.ctx, Request{Author: "bina", Base: 1, Files: files("hotel", 9)})
		assert.Equal(t, fault.CodeOf(err), fault.Conflict)
		for _, want := range []string{"account/hotel was changed by \"op0\"", "2000-01-01T00:00:0", "you saw version 1"} {
			assert.ErrorContains(t, err, want)
		}
	})
}

// TestEmpty guards against a directory that was emptied by mistake and removes
// everything that it owns.
func TestEmpty(t *testing.T) {
	bubble(t, 1, func(w *world) {
		p := w.procs[0].now().pub
		_, err := p.Publish(w.ctx, Request{Author: "asha", Source: "shop", Files: files("hotel", 1)})
		assert.NilError(t, err)
		_, err = p.Publish(w.ctx, Request{Author: "asha", Source: "shop", Base: 1})
		assert.Equal(t, fault.CodeOf(err), fault.Invalid)
		_, err = p.Publish(w.ctx, Request{Author: "asha", Source: "shop", Base: 1, Partial: true, Remove: []string{"account/hotel"}})
		assert.NilError(t, err)
	})
}

// TestStart guards against an old snapshot that takes effect alone, and
// against a start that reads more than the changes after the snapshot.
func TestStart(t *testing.T) {
	bubble(t, 1, func(w *world) {
		p := w.procs[0]
		for i := range 70 {
			_, err := p.now().pub.Publish(w.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
			assert.NilError(t, err)
		}
		w.table.SetFaults(fakes.PlatformFaults{Down: true})
		p.restart()
		time.Sleep(10 * time.Second)
		s := p.now().store
		assert.Equal(t, s.Version(), uint64(0), "a snapshot may be older than what was in effect")
		assert.Assert(t, s.Health().Behind)
		before := w.table.Counts().Reads
		w.table.SetFaults(fakes.PlatformFaults{})
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, s.Version(), uint64(70))
		assert.Assert(t, w.table.Counts().Reads-before <= 4, "%d reads", w.table.Counts().Reads-before)
		assert.Assert(t, !s.Health().Behind)
		rs, err := s.Records(66)
		assert.NilError(t, err)
		assert.Equal(t, len(rs), 4)
	})
}

// TestForward guards against a version that is replaced by an older one, and
// shows that the comparison is what prevents it.
func TestForward(t *testing.T) {
	s := NewStore(StoreConfig{})
	tree := s.Tree()
	assert.NilError(t, s.Apply(5, tree))
	assert.ErrorIs(t, s.Apply(4, tree), ErrStale)
	assert.ErrorIs(t, s.Apply(5, tree), ErrStale)
	assert.Equal(t, s.Version(), uint64(5))
	assert.NilError(t, s.Announced(t.Context(), Announcement{Version: 5, Digest: tree.Digest() + 1}))
	assert.Equal(t, s.Health().Violations, uint64(1))
	s.newer = func(uint64, uint64) bool { return true }
	assert.NilError(t, s.Apply(4, tree))
	assert.Equal(t, s.Version(), uint64(4))
}

// TestGap guards against a process that can't follow when the records it needs
// are no longer in the table.
func TestGap(t *testing.T) {
	bubble(t, 2, func(w *world) {
		p, q := w.procs[0], w.procs[1]
		q.link.SetFaults(fakes.PlatformFaults{Down: true})
		q.pause(time.Hour)
		for i := range keptRecords + 10 {
			_, err := p.now().pub.Publish(w.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
			assert.NilError(t, err)
		}
		assert.Assert(t, !w.table.Row(recordKey(10)).Exists())
		fresh := NewStore(StoreConfig{Table: w.table.Client()})
		assert.NilError(t, fresh.Refresh(w.ctx))
		assert.Equal(t, fresh.Version(), uint64(keptRecords+10))
		assert.Assert(t, strings.Contains(string(fresh.Tree().Document("account/hotel").Text()), fmt.Sprint("rate = ", keptRecords+10)))
	})
}
