package server_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/server"
)

const lapse = 2 * time.Second

func newTable(gone *[]string) *server.Table {
	return server.NewTable(server.Config{Log: zerolog.Nop(), OutageGrace: lapse, OnRemoved: func(a string) { *gone = append(*gone, a) }})
}

func entry(id, address string, born int64) server.Entry {
	return server.Entry{ID: id, Service: "desk", Address: address, Domain: "d", Slots: 6, Started: born}
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

// Guards against new work for a server that leaves or has left.
func TestLeaving(t *testing.T) {
	var gone []string
	x := newTable(&gone)
	a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
	x.Apply([]server.Change{put(a), put(b)}, true, 0)
	checkIDs(t, x, "a", "b")
	a.Draining = true
	x.Apply([]server.Change{put(a)}, false, 0)
	checkIDs(t, x, "b")
	x.Apply([]server.Change{{ID: "b", Removed: true}}, false, 0)
	checkIDs(t, x)
	assert.DeepEqual(t, gone, []string{"10.0.0.2:1"})
}

// Guards against entries that an outage of the registry removes although their
// servers live, and against those that stay for ever.
func TestLapsedEntriesWait(t *testing.T) {
	var gone []string
	x := newTable(&gone)
	a, b := entry("a", "10.0.0.1:1", 1), entry("b", "10.0.0.2:1", 1)
	x.Apply([]server.Change{put(a), put(b)}, true, 0)
	x.Apply(nil, true, 5*time.Second)
	checkIDs(t, x, "a", "b")
	assert.Assert(t, x.ByAddress(a.Address).Suspected()) // it may also have left (seed 20 of the soak)
	x.Apply([]server.Change{put(a)}, false, 0)
	assert.Assert(t, !x.ByAddress(a.Address).Suspected() && x.ByAddress(b.Address).Suspected())
	x.Expire()
	checkIDs(t, x, "a", "b")
	time.Sleep(lapse + 50*time.Millisecond)
	x.Expire()
	checkIDs(t, x, "a")
}

// Guards against marks and connections of an earlier incarnation under the same
// name.
func TestRestartForgets(t *testing.T) {
	var gone []string
	x := newTable(&gone)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 1))}, true, 0)
	x.ByAddress("10.0.0.1:1").Avoid(time.Hour)
	x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 2))}, false, 0)
	assert.Assert(t, !x.ByAddress("10.0.0.1:1").Suspected())
	assert.DeepEqual(t, gone, []string{"10.0.0.1:1"})
}

// Guards against a request for a server whose address another one has taken
// over.
func TestAddressTakenOver(t *testing.T) {
	var gone []string
	x := newTable(&gone)
	x.Apply([]server.Change{put(entry("old", "10.0.0.1:1", 1)), put(entry("new", "10.0.0.1:1", 5))}, true, 0)
	assert.Equal(t, x.ByAddress("10.0.0.1:1").ID(), "new")
}

// Guards against a server that is avoided for ever after failures in a row, and
// against one that is never avoided long.
func TestAvoidanceGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gone []string
		x := newTable(&gone)
		x.Apply([]server.Change{put(entry("a", "10.0.0.1:1", 1))}, true, 0)
		s := x.ByAddress("10.0.0.1:1")
		first := s.RecordFailure()
		assert.Assert(t, s.Suspected())
		time.Sleep(first + time.Millisecond)
		assert.Assert(t, !s.Suspected())
		var last time.Duration
		for range 20 {
			last = s.RecordFailure()
		}
		assert.Assert(t, last > first && last <= 5*time.Second, "%v", last)
		s.RecordAnswer(time.Millisecond)
		assert.Equal(t, s.RecordFailure(), first)
	})
}
