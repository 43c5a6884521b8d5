package server_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/server"
)

const outageGrace = 2 * time.Second

func newTable(removed *[]string) *server.Table {
	return server.NewTable(server.Config{Log: zerolog.Nop(), OutageGrace: outageGrace, OnRemoved: func(a string) { *removed = append(*removed, a) }})
}

func entry(id, address string, started int64) server.Entry {
	return server.Entry{ID: id, Service: "desk", Address: address, Domain: "d", Slots: 6, Started: started}
}

func put(e server.Entry) server.Change { return server.Change{ID: e.ID, Entry: e} }

func checkIDs(t *testing.T, x *server.Table, want ...string) {
	t.Helper()
	got := map[string]bool{}
	for _, s := range x.Servers("desk") {
		got[s.ID()] = true
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for _, id := range want {
		assert.Assert(t, got[id], "%s is missing of %v", id, got)
	}
}

// Guards against new work for a server that is draining or was removed.
func TestLeaving(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
	x.Apply([]server.Change{put(a), put(b)}, true, 0)
	checkIDs(t, x, "a", "b")
	a.Draining = true
	x.Apply([]server.Change{put(a)}, false, 0)
	checkIDs(t, x, "b")
	x.Apply([]server.Change{{ID: "b", Removed: true}}, false, 0)
	checkIDs(t, x)
	assert.DeepEqual(t, removed, []string{"10.0.0.2:1"})
}

// Guards against removing entries that expired in an outage of the registry although their
// servers are alive, and against keeping them for ever.
func TestEntriesLapsedInOutage(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
	x.Apply([]server.Change{put(a), put(b)}, true, 0)
	x.Apply(nil, true, 5*time.Second)
	checkIDs(t, x, "a", "b")
	assert.Assert(t, x.ByAddress(a.Address).IsAvoided()) // it may also have left (soak seed 20)
	x.Apply([]server.Change{put(a)}, false, 0)
	assert.Assert(t, !x.ByAddress(a.Address).IsAvoided() && x.ByAddress(b.Address).IsAvoided())
	x.Expire()
	checkIDs(t, x, "a", "b")
	time.Sleep(outageGrace + 50*time.Millisecond)
	x.Expire()
	checkIDs(t, x, "a")
}

// Guards against keeping the record and the connections of an earlier incarnation with the
// same name.
func TestRestartResetsRecord(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 1))}, true, 0)
	x.ByAddress("10.0.0.1:1").Avoid(time.Hour)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 2))}, false, 0)
	assert.Assert(t, !x.ByAddress("10.0.0.1:1").IsAvoided())
	assert.DeepEqual(t, removed, []string{"10.0.0.1:1"})
}

// Guards against a request for a server whose address another one has taken over.
func TestAddressTakenOver(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	x.Apply([]server.Change{put(entry("old", "10.0.0.1:1", 1)), put(entry("new", "10.0.0.1:1", 5))}, true, 0)
	assert.Equal(t, x.ByAddress("10.0.0.1:1").ID(), "new")
	assert.Assert(t, x.ByID("new").IsBelieved(x.ByID("old")) && !x.ByID("old").IsBelieved(x.ByID("new")))
	x.MarkLeaving([]uint64{x.ByID("new").Incarnation()})
	checkIDs(t, x)
}

// Guards against avoiding a server for ever after consecutive failures, and against never
// avoiding it for long.
func TestAvoidanceGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var removed []string
		x := newTable(&removed)
		x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 1))}, true, 0)
		s := x.ByAddress("10.0.0.1:1")
		first := s.RecordFailure()
		assert.Assert(t, s.IsAvoided())
		time.Sleep(first + time.Millisecond)
		assert.Assert(t, !s.IsAvoided())
		var last time.Duration
		for range 20 {
			last = s.RecordFailure()
		}
		assert.Assert(t, last > first && last <= 5*time.Second, "%v", last)
		s.RecordAnswer(time.Millisecond)
		assert.Equal(t, s.RecordFailure(), first)
	})
}

// Guards against a crash that nobody hears of, and against a planned end that counts as one.
func TestDiedServers(t *testing.T) {
	var died []string
	tb := server.NewTable(server.Config{Log: zerolog.Nop(), OnDied: func(s *server.Server) { died = append(died, s.ID()) }})
	entry := func(id string, started int64, draining bool) server.Change {
		return server.Change{ID: id, Entry: server.Entry{ID: id, Service: "s", Address: id + ":1", Started: started, Draining: draining}}
	}
	tb.Apply([]server.Change{entry("restarted", 1, false), entry("gone", 1, false), entry("drained", 1, false)}, true, 0)
	before := tb.ByAddress("restarted:1").Incarnation()
	tb.Apply([]server.Change{entry("restarted", 2, false), {ID: "gone", Removed: true}, entry("drained", 1, true)}, false, 0)
	tb.Apply([]server.Change{{ID: "drained", Removed: true}}, false, 0)
	assert.DeepEqual(t, died, []string{"restarted", "gone"})
	assert.Assert(t, tb.ByAddress("restarted:1").Incarnation() != before)
}

// Guards against a server that said that it leaves and is used again because of an older row, before or
// after this process learns of it, and against one that stays out of service after it started again.
func TestServerThatSaidItLeaves(t *testing.T) {
	leaves := map[uint64]bool{}
	var died []string
	x := server.NewTable(server.Config{
		Log: zerolog.Nop(), OutageGrace: outageGrace, Leaves: func(n uint64) bool { return leaves[n] }, OnDied: func(s *server.Server) { died = append(died, s.ID()) },
	})
	a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
	x.Apply([]server.Change{put(a), put(b)}, true, 0)
	incarnation := x.ByAddress(a.Address).Incarnation()
	leaves[incarnation] = true
	x.MarkLeaving([]uint64{incarnation, 4711})
	assert.Assert(t, x.ByAddress(a.Address).Leaving())
	assert.Equal(t, len(x.Leavers("desk", time.Minute)), 1)
	a.Slots = 7
	x.Apply([]server.Change{put(a)}, false, 0)
	checkIDs(t, x, "b")
	x.Apply([]server.Change{{ID: "a", Removed: true}}, false, 0)
	assert.Equal(t, len(died), 0) // it has left
	x.Apply([]server.Change{put(a)}, false, 0)
	checkIDs(t, x, "b")
	assert.Assert(t, x.ByAddress(a.Address).Leaving())
	assert.Equal(t, len(x.Leavers("desk", time.Minute)), 0)

	a.Started = 2
	x.Apply([]server.Change{put(a)}, false, 0)
	checkIDs(t, x, "a", "b")
	x.Apply([]server.Change{put(entry("c", a.Address, 3))}, false, 0)
	assert.Assert(t, !x.ByAddress(a.Address).Leaving())
}

// Guards against a server without a known start that takes over what was said of another one.
func TestIncarnationWithoutAStart(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 0))}, true, 0)
	before := x.ByAddress("10.0.0.1:1").Incarnation()
	x.Apply([]server.Change{put(entry("a", "10.0.0.2:1", 0))}, false, 0)
	assert.Assert(t, x.ByAddress("10.0.0.2:1").Incarnation() != before)
}

// Guards against an entry that is kept after an outage of the registry although its server said that it
// leaves.
func TestServerThatSaidItLeavesDoesNotLapse(t *testing.T) {
	var removed []string
	x := newTable(&removed)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 1))}, true, 0)
	x.MarkLeaving([]uint64{x.ByAddress("10.0.0.1:1").Incarnation()})
	x.Apply(nil, true, 5*time.Second)
	assert.DeepEqual(t, removed, []string{"10.0.0.1:1"})
}

// Guards against a server that counts as crashed, so that its requests become suspects, because another writer overwrote its
// entry, and against one that is used by such an entry.
func TestOverwrittenEntryIsNoCrash(t *testing.T) {
	for _, whole := range []bool{false, true} {
		for _, outage := range []time.Duration{0, time.Second} {
			var died, removed []string
			tb := server.NewTable(server.Config{
				Log: zerolog.Nop(), OutageGrace: outageGrace, OnRemoved: func(a string) { removed = append(removed, a) },
				OnDied: func(s *server.Server) { died = append(died, s.ID()) },
			})
			a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
			tb.Apply([]server.Change{put(a), put(b)}, true, 0)
			tb.Apply([]server.Change{{ID: "a", Removed: true, Unusable: true}, put(b)}, whole, outage)
			checkIDs(t, tb, "b")
			assert.DeepEqual(t, removed, []string{"10.0.0.1:1"})
			assert.Equal(t, len(died), 0)
			tb.Apply([]server.Change{put(a)}, false, 0)
			checkIDs(t, tb, "a", "b")
		}
	}
}

// Guards against an entry of another service, or of a server that drains, that takes the place of a server with the same address.
func TestRivals(t *testing.T) {
	var removed []string
	tb := newTable(&removed)
	a, b, draining, other := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.1:1", 5), entry("c", "10.0.0.1:1", 9), entry("d", "10.0.0.1:1", 9)
	draining.Draining, other.Service = true, "other"
	tb.Apply([]server.Change{put(a), put(draining), put(other), put(entry("e", "10.0.0.2:1", 1))}, true, 0)
	assert.Equal(t, len(tb.Rivals(tb.ByID("a"))), 0)
	tb.Apply([]server.Change{put(b)}, false, 0)
	x, y := tb.ByID("a"), tb.ByID("b")
	assert.DeepEqual(t, []int{len(tb.Rivals(x)), len(tb.Rivals(y)), len(tb.Rivals(tb.ByID("e")))}, []int{1, 1, 0})
	assert.Equal(t, tb.Rivals(x)[0].ID(), "b")
	assert.Assert(t, y.IsBelieved(x) && !x.IsBelieved(y), "the later start counts")
	y.RecordMisdirected()
	assert.Assert(t, x.IsBelieved(y) && !y.IsBelieved(x), "the one that is not misdirected counts")
	x.RecordMisdirected()
	x.RecordMisdirected()
	x.RecordAnswer(time.Millisecond)
	assert.Assert(t, x.IsBelieved(y), "a success ends the evidence")
	tb.Apply([]server.Change{{ID: "b", Removed: true}}, false, 0)
	assert.Equal(t, len(tb.Rivals(x)), 0)
	assert.Assert(t, tb.ByID("b") == nil)
}
