package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/shard"
	"github.com/cranberrybay/cranberrybay/table"
)

func contains(s, part string) bool { return strings.Contains(s, part) }

// fakeEngines is a set of engines that execute orders.
type fakeEngines struct {
	table    *server.Table
	loadTime time.Duration

	mu         sync.Mutex
	entries    map[string]server.Entry // by address
	accepted   map[string]uint64
	fence      uint64                    // highest received
	loading    map[string]int            // by address, orders in progress
	orders     int                       // received
	loseAnswer func(address string) bool // reports whether the answer to an order is lost
	resting    map[string]bool           // by address
	ordered    map[string]int            // orders received by address
}

func newFakeEngines(n int) *fakeEngines {
	e := &fakeEngines{
		table: server.NewTable(server.Config{Log: zerolog.Nop()}), loadTime: 500 * time.Millisecond,
		entries: map[string]server.Entry{}, accepted: map[string]uint64{}, loading: map[string]int{}, resting: map[string]bool{}, ordered: map[string]int{}, loseAnswer: func(string) bool { return false },
	}
	for i := range n {
		e.join(fmt.Sprintf("e%d", i))
	}
	return e
}

func (e *fakeEngines) join(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.put(server.Entry{ID: id, Service: "s", Address: id + ":1", Domain: "d", Slots: 100, Accelerator: "l4", Started: time.Now().UnixMilli()})
}

func (e *fakeEngines) put(x server.Entry) {
	e.entries[x.Address] = x
	e.table.Apply([]server.Change{{ID: x.ID, Entry: x}}, false, 0)
}

func (e *fakeEngines) leave(id string) {
	e.table.Apply([]server.Change{{ID: id, Removed: true}}, false, 0)
}

// place executes an order, as an engine does.
func (e *fakeEngines) place(ctx context.Context, to server.Entry, r shard.Range, fence, accepted uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := to.Address
	e.orders++
	e.ordered[address]++
	switch x, ok := e.entries[address]; {
	case !ok:
		return errors.New("no connection")
	case x.ID != to.ID:
		return shard.ErrMisdirected
	}
	if fence < e.fence {
		return shard.ErrFenced
	}
	e.fence = fence
	if e.accepted[address] != accepted {
		return shard.ErrChanged
	}
	e.accepted[address]++
	e.loading[address]++
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading[address]--
		if e.loading[address] > 0 {
			return // a later order replaced this one
		}
		x := e.entries[address]
		x.From, x.To = r.From, r.To
		e.put(x)
	})
	if e.loseAnswer(address) {
		return errors.New("no answer")
	}
	return nil
}

func (e *fakeEngines) acceptedOrders(_ context.Context, address string) (uint64, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted[address], e.loading[address] > 0, nil
}

func (e *fakeEngines) rests(s *server.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resting[s.Address()]
}

// setRests makes an engine ask for a pause, or take orders again.
func (e *fakeEngines) setRests(address string, rests bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resting[address] = rests
}

// ordersOf returns the number of orders that an engine got.
func (e *fakeEngines) ordersOf(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ordered[address]
}

const testLayers = 20

func (e *fakeEngines) highestFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence
}

func (e *fakeEngines) ordersReceived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// covered reports whether every layer is held by an engine.
func (e *fakeEngines) covered() bool {
	copies := make([]int, testLayers)
	for _, s := range e.table.All() {
		if s.Leaving() {
			continue
		}
		for i := s.Entry().From; i < s.Entry().To; i++ {
			copies[i]++
		}
	}
	for _, n := range copies {
		if n == 0 {
			return false
		}
	}
	return true
}

// fakeTable is a table in memory that can be made unavailable.
type fakeTable struct {
	mu   sync.Mutex
	all  map[string]table.Row
	next uint64
	down bool
}

func (r *fakeTable) client() *table.Client {
	return table.New(table.Config{
		Get: func(_ context.Context, keys ...string) ([]table.Row, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.down {
				return nil, table.ErrUnavailable
			}
			var out []table.Row
			for _, k := range keys {
				if x, ok := r.all[k]; ok {
					out = append(out, x)
				} else {
					out = append(out, table.NewRow(k, nil, table.Absent))
				}
			}
			return out, nil
		},
		Commit: func(_ context.Context, b table.Batch) (uint64, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.down {
				return 0, table.ErrUnavailable
			}
			for _, c := range b.Conditions {
				if r.all[c.Key].Revision() != c.Revision {
					return 0, table.ErrConflict
				}
			}
			r.next++
			for _, w := range b.Writes {
				r.all[w.Key] = table.NewRow(w.Key, w.Value, r.next)
			}
			return r.next, nil
		},
	})
}

func newTestPlacer(t *testing.T, name string, e *fakeEngines, r *fakeTable) *Placer {
	t.Helper()
	h := &config.Tracker{}
	c, err := config.New(config.Content{Version: 1, Services: []config.Service{{Name: "s", Engine: &config.Engine{
		Layers: testLayers, LayerMemory: 1750, TokenMemory: 20 * 5325, LoadTime: time.Second, LoadsAtOnce: 6,
		Accelerators: map[string]config.Accelerator{"l4": {Name: "l4", Memory: 21600, StepFactor: 16, PrefillFactor: 8}},
	}}}})
	assert.NilError(t, err)
	h.Apply(c)
	return &Placer{
		lease:         lease.New(lease.Config{Table: r.client(), Name: "place", Holder: name, Term: leaseTerm, SendTimeout: sendTimeout}),
		leaveToOthers: func() bool { return false }, streams: func(s *server.Server) int { return s.Inflight() }, tracker: h, servers: e.table, place: e.place, acceptedOrders: e.acceptedOrders, rests: e.rests, log: zerolog.Nop(), counters: newCounters(),
	}
}

// withEngines runs a test with four engines, an empty table and a fake clock. Run starts a
// placer and returns a function that stops it but does not release its lease.
func withEngines(t *testing.T, f func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) (stop func()))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		var stops []func()
		run := func(p *Placer) func() {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { p.Run(ctx); close(done) }()
			stop := sync.OnceFunc(func() { cancel(); <-done })
			stops = append(stops, stop)
			return stop
		}
		defer func() {
			for _, stop := range stops {
				stop()
			}
			time.Sleep(10 * time.Second) // until the engines have finished their loads
		}()
		f(t, newFakeEngines(4), &fakeTable{all: map[string]table.Row{}}, run)
	})
}

// At the start, the engines together must load all layers, and an order that is being
// executed must not be sent again.
func TestFirstOrders(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(8 * time.Second)
		assert.Assert(t, e.covered())
		assert.Equal(t, e.ordersReceived(), 4)
	})
}

// After the answer to an order is lost, the placer must find out whether the engine
// accepted the order, and cover all layers in either case.
func TestLostAnswerToOrder(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		e.loseAnswer = func(address string) bool { return address == "e1:1" && e.accepted[address] == 1 }
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(12 * time.Second)
		assert.Assert(t, e.covered())
	})
}

// An order must not be sent again while an engine executes it, because that restarts the
// execution: on a day of the test deployment leoben-sohle, two engines that gave up
// layers and waited for streams to end got new layers only after 12 s, or never.
func TestSlowOrderIsNotResent(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		e.loadTime = 8 * time.Second
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(14 * time.Second)
		assert.Assert(t, e.covered())
		assert.Equal(t, e.ordersReceived(), 4)
	})
}

// Guards against layers that are left on an engine which said that it leaves, and orders to it, while the
// registry still lists it as in service.
func TestEngineThatSaidItLeavesIsReplaced(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(8 * time.Second)
		e.table.MarkLeaving([]uint64{e.table.ByAddress("e1:1").Incarnation()})
		before := e.ordersOf("e1:1")
		time.Sleep(12 * time.Second)
		assert.Assert(t, e.covered())
		assert.Equal(t, e.ordersOf("e1:1"), before)
	})
}

// Guards against orders to an engine that asked for a pause, and against one that gets none afterwards.
func TestEngineAtRestGetsNoOrder(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		e.setRests("e1:1", true)
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(8 * time.Second)
		assert.Equal(t, e.ordersOf("e1:1"), 0)
		e.setRests("e1:1", false)
		time.Sleep(8 * time.Second)
		assert.Equal(t, e.ordersOf("e1:1"), 1)
	})
}

// An engine that restarts without layers must get an order again.
func TestRestartedEngineLoadsAgain(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(8 * time.Second)
		e.leave("e1")
		e.mu.Lock()
		e.accepted["e2:1"] = 0
		e.mu.Unlock()
		time.Sleep(time.Second)
		e.join("e2")
		time.Sleep(10 * time.Second)
		assert.Assert(t, e.covered())
	})
}

// Only one process sends orders at a time. After it was killed, the other one must take
// over.
func TestSuccessor(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		kill := run(newTestPlacer(t, "a", e, r))
		time.Sleep(time.Second)
		run(newTestPlacer(t, "b", e, r))
		time.Sleep(8 * time.Second)
		assert.Equal(t, e.highestFence(), uint64(1))
		kill()
		e.leave("e1")
		time.Sleep(15 * time.Second)
		assert.Assert(t, e.covered())
		assert.Equal(t, e.highestFence(), uint64(2))
	})
}

// After the holder was killed between a renewal and the announcement of it, the successor
// must take the lease in time. The row is newer than the announcement, and the successor
// waits a whole term from its first read of it: without an early read, no process sent
// orders for nine seconds (inc-bdf1).
func TestSuccessorReadsOverdueLeaseEarly(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		a, b := newTestPlacer(t, "a", e, r), newTestPlacer(t, "b", e, r)
		kill := run(a)
		time.Sleep(8 * time.Second)
		word, ok := a.lease.Announcement()
		assert.Assert(t, ok)
		announced := func() (lease.Announcement, bool) { return word, true }
		b.lease = lease.New(lease.Config{Table: r.client(), Name: "place", Holder: "b", Term: leaseTerm, SendTimeout: sendTimeout, PeerAnnouncement: announced})
		b.leaveToOthers = func() bool { return time.Until(word.Until) > overdueRemaining }
		run(b)
		for w, _ := a.lease.Announcement(); w.Revision == word.Revision; w, _ = a.lease.Announcement() {
			time.Sleep(10 * time.Millisecond)
		}
		kill()
		killed := time.Now()
		for held := false; !held; _, _, held = b.lease.Held() {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(killed) < leaseTerm+sendTimeout+1500*time.Millisecond, "%v", time.Since(killed))
	})
}

// A successor must know how long ago engines joined. If it took all of them for new ones,
// engines without layers would wait 4 s longer for their first order (inc-bdf1).
func TestSuccessorKnowsWhenEnginesJoined(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		kill := run(newTestPlacer(t, "a", e, r))
		time.Sleep(time.Second)
		b := newTestPlacer(t, "b", e, r)
		run(b)
		time.Sleep(8 * time.Second)
		kill()
		for i := range 4 {
			e.join(fmt.Sprintf("spare%d", i))
		}
		time.Sleep(freshAge)
		before := e.ordersReceived()
		for held := false; !held; _, _, held = b.lease.Held() {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Assert(t, e.ordersReceived() > before, "no order to engines that joined long ago")
	})
}

// A process that stops must release the lease at once, so that its stop takes no longer
// than planned, and a successor must take the released lease without waiting.
func TestPlannedStopReleasesLease(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		a := newTestPlacer(t, "a", e, r)
		run(a)
		time.Sleep(time.Second)
		run(newTestPlacer(t, "b", e, r))
		time.Sleep(7 * time.Second)
		go a.release(context.Background())
		e.leave("e1")
		time.Sleep(sendTimeout + observeInterval + 2*time.Second)
		assert.Assert(t, e.covered())
		assert.Equal(t, e.highestFence(), uint64(2))
	})
}

// interruptibleClient returns a client of the table that fails while down is set.
func (r *fakeTable) interruptibleClient(down *atomic.Bool) *table.Client {
	c := r.client()
	return table.New(table.Config{
		Get: func(ctx context.Context, keys ...string) ([]table.Row, error) {
			if down.Load() {
				return nil, table.ErrUnavailable
			}
			return c.Get(ctx, keys...)
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			if down.Load() {
				return 0, table.ErrUnavailable
			}
			return c.Commit(ctx, b)
		},
	})
}

// receiveAnnouncements gives a placer a lease that receives the announcements of another
// placer.
func receiveAnnouncements(p, from *Placer, name string, rows *table.Client) {
	p.lease = lease.New(lease.Config{Table: rows, Name: "place", Holder: name, Term: leaseTerm, SendTimeout: sendTimeout, PeerAnnouncement: func() (lease.Announcement, bool) { return from.lease.Announcement() }})
}

// After the holder alone loses the store, or is killed, a successor must take over in time.
// In this case, no process sent orders for eight seconds, and the layers of a lost engine
// were missing from 16 to 28 s on a day of the test
// deployment leoben-sohle.
func TestSuccessorOfLostHolder(t *testing.T) {
	for name, lose := range map[string]func(down *atomic.Bool, kill func()){
		"store": func(down *atomic.Bool, _ func()) { down.Store(true) },
		"power": func(_ *atomic.Bool, kill func()) { kill() },
	} {
		t.Run(name, func(t *testing.T) {
			withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
				var down atomic.Bool
				a, b := newTestPlacer(t, "a", e, r), newTestPlacer(t, "b", e, r)
				a.lease = lease.New(lease.Config{Table: r.interruptibleClient(&down), Name: "place", Holder: "a", Term: leaseTerm, SendTimeout: sendTimeout, SendsInFlight: func() bool { return a.sending.Load() > 0 }})
				a.behind = func() time.Duration { return 2 * time.Second }
				receiveAnnouncements(b, a, "b", r.client())
				kill := run(a)
				time.Sleep(time.Second)
				b.leaveToOthers = func() bool { _, _, held := a.lease.Held(); return held }
				run(b)
				time.Sleep(7 * time.Second)
				lose(&down, kill)
				time.Sleep(leaseTerm)
				e.leave("e1")
				time.Sleep(3 * time.Second)
				assert.Equal(t, e.highestFence(), uint64(2))
				assert.Assert(t, e.covered())
			})
		})
	}
}

// A process that has lost the store, and with it the lease, must not send orders until it
// has taken the lease again.
func TestNoOrdersWithoutLease(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		run(newTestPlacer(t, "a", e, r))
		time.Sleep(8 * time.Second)
		r.mu.Lock()
		r.down = true
		r.mu.Unlock()
		time.Sleep(leaseTerm + time.Second)
		before := e.ordersReceived()
		e.leave("e1")
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.ordersReceived(), before)
		r.mu.Lock()
		r.down = false
		r.mu.Unlock()
		time.Sleep(12 * time.Second)
		assert.Assert(t, e.covered())
	})
}

// Guards against layers that nobody loads because the plan gives them to an entry of the registry behind which there is no
// engine, and against orders to an engine that were meant for another entry with its address.
func TestEntriesWithoutEngine(t *testing.T) {
	for name, address := range map[string]string{"nobody there": "x:1", "address of another": "e0:1"} {
		t.Run(name, func(t *testing.T) {
			withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
				x := server.Entry{ID: "a-x", Service: "s", Address: address, Domain: "d", Slots: 100, Accelerator: "l4", Started: 1 << 41}
				e.table.Apply([]server.Change{{ID: x.ID, Entry: x}}, false, 0)
				run(newTestPlacer(t, "a", e, r))
				time.Sleep(30 * time.Second)
				assert.Assert(t, e.covered())
				orders := e.ordersReceived()
				time.Sleep(time.Minute)
				assert.Assert(t, e.ordersReceived() <= orders+8, "%d orders in a minute", e.ordersReceived()-orders)
				e.leave("e1")
				e.leave("e2")
				time.Sleep(30 * time.Second)
				assert.Assert(t, e.covered())
			})
		})
	}
}

// Guards against an engine that stays empty for long because the placer could not reach it for some seconds.
func TestEngineOutOfReachIsPlannedAgain(t *testing.T) {
	withEngines(t, func(t *testing.T, e *fakeEngines, r *fakeTable, run func(p *Placer) func()) {
		p, begun := newTestPlacer(t, "a", e, r), time.Now()
		p.place = func(ctx context.Context, to server.Entry, r shard.Range, fence, accepted uint64) error {
			if to.ID == "e3" && time.Since(begun) < 8*time.Second {
				return errors.New("no connection")
			}
			return e.place(ctx, to, r, fence, accepted)
		}
		run(p)
		time.Sleep(8*time.Second + 2*firstOrderPause + time.Second)
		x := e.table.ByID("e3").Entry()
		assert.Assert(t, x.From < x.To, "e3 holds no layers")
	})
}
