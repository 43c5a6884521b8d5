package watch_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// drillTable is a platform table with one row that a follower polls.
type drillTable struct {
	follower *watch.Follower

	mu      sync.Mutex
	era     uint64
	number  uint64 // of the last change
	value   string
	gap     bool // the next poll reports a gap
	applied []string
	outage  time.Duration
}

// set changes the table: its content is now that of a number of an era.
func (d *drillTable) set(era, number uint64, value string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.era, d.number, d.value = era, number, value
}

func (d *drillTable) setGap() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gap = true
}

func (d *drillTable) lastOutage() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outage
}

// row returns the row. The caller holds mu.
func (d *drillTable) row() watch.Row {
	return watch.Row{Key: "k", Value: []byte(d.value), Revision: table.NewRevision(d.era, d.number)}
}

// withDrillTable runs a test with a follower for which a greater value is a newer one.
func withDrillTable(t *testing.T, f func(t *testing.T, d *drillTable)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		now := func() time.Duration { return time.Since(base) + platformAhead }
		d := &drillTable{}
		d.set(1, 5, "b")
		d.follower = watch.New(watch.Config{
			Name: "op", Wait: time.Second, Slack: time.Second, Log: zerolog.Nop(), KeepMissing: true,
			IsNewer: func(known, copied watch.Row) bool { return string(known.Value) > string(copied.Value) },
			Read: func(context.Context) (watch.Page, error) {
				d.mu.Lock()
				defer d.mu.Unlock()
				return watch.Page{Whole: true, Rows: []watch.Row{d.row()}, Revision: table.NewRevision(d.era, d.number), Clock: now()}, nil
			},
			Poll: func(_ context.Context, after uint64, wait time.Duration) (watch.Page, error) {
				d.mu.Lock()
				defer d.mu.Unlock()
				if gap := d.gap; gap || table.Era(after) != d.era {
					d.gap = false
					return watch.Page{}, watch.ErrGap
				}
				p := watch.Page{Revision: table.NewRevision(d.era, d.number), Clock: now()}
				if after < p.Revision {
					p.Rows = []watch.Row{d.row()}
					return p, nil
				}
				d.mu.Unlock()
				time.Sleep(wait)
				d.mu.Lock()
				return p, nil
			},
			Apply: func(p watch.Page, outage time.Duration) {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.outage = max(d.outage, outage)
				for _, x := range p.Rows {
					d.applied = append(d.applied, string(x.Value))
				}
			},
			Confirm: func(time.Duration) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { d.follower.Run(ctx); close(done) }()
		synctest.Wait()
		defer func() { cancel(); <-done }()
		f(t, d)
	})
}

// checkApplied lets polls pass, and checks what was applied since the last check and what other
// processes get.
func (d *drillTable) checkApplied(t *testing.T, want, state string) {
	t.Helper()
	time.Sleep(3 * time.Second)
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, strings.Join(d.applied, " "), want)
	d.applied = nil
	s, ok := d.follower.State()
	assert.Assert(t, ok)
	assert.Equal(t, string(s.Rows[0].Value), state)
}

// Guards against an older configuration that a process passes on, or takes again after a gap, and
// against a copy that does not count as the end of an outage.
func TestRowOfAnOlderCopy(t *testing.T) {
	withDrillTable(t, func(t *testing.T, d *drillTable) {
		d.checkApplied(t, "b", "b")
		d.set(2, 3, "a")
		d.checkApplied(t, "b", "b")
		assert.Assert(t, d.lastOutage() > 0)
		d.setGap()
		d.checkApplied(t, "b", "b")
		d.set(2, 4, "c")
		d.checkApplied(t, "c", "c")
		d.set(2, 5, "b") // written by its writer, not copied
		d.checkApplied(t, "b", "b")
	})
}

// Guards against a process that was cut off during a change and takes an older copy for the newest
// state, although other processes know better.
func TestRowOfAnotherProcess(t *testing.T) {
	withDrillTable(t, func(t *testing.T, d *drillTable) {
		d.checkApplied(t, "b", "b")
		d.set(2, 3, "a")
		d.checkApplied(t, "b", "b")
		d.follower.OfferRows([]watch.Row{{Key: "k", Value: []byte("a")}, {Key: "other", Value: []byte("z")}})
		d.checkApplied(t, "", "b")
		d.follower.OfferRows([]watch.Row{{Key: "k", Value: []byte("d")}})
		d.checkApplied(t, "d", "d")
		d.setGap()
		d.checkApplied(t, "d", "d")
		d.set(2, 4, "e")
		d.checkApplied(t, "e", "e")
	})
}
