package edge

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/poison"
)

// quarantineOf returns a tracker with a part in its first quarantine.
func quarantineOf(part string) *poison.Tracker {
	t := poison.New(poison.Config{Log: zerolog.Nop()})
	now := poison.Now()
	t.Merge([]poison.Record{{Part: poison.Part{Service: "s", ID: part}, Since: now, Until: now + 10*time.Minute, Terms: 1}})
	return t
}

func checkQuarantined(t *testing.T, x *poison.Tracker, part string, atLeast time.Duration) {
	t.Helper()
	_, left, ok := x.Blocked([]poison.Part{{Service: "s", ID: part}})
	assert.Assert(t, ok, "part %s is not quarantined", part)
	assert.Assert(t, left > atLeast && left <= 10*time.Minute, "%v left", left)
}

// Guards against deadly requests that crash servers again after all processes were killed at once.
func TestQuarantineSurvivesAllProcesses(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		s.trackers["a"] = quarantineOf("deadly")
		a, _ := s.join(t.Context(), "a", "d0", 800, true)
		a.quarantineChanged()
		a.quarantineChanged() // never blocks
		assert.NilError(t, a.writeQuarantines(t.Context()))
		before := s.rows.next
		assert.NilError(t, a.writeQuarantines(t.Context()))
		assert.Equal(t, s.rows.next, before, "a row that is up to date was written again")

		time.Sleep(time.Minute)
		s.settled = map[string]bool{}
		s.join(t.Context(), "b", "d0", 800, false)
		checkQuarantined(t, s.tracker("b"), "deadly", 8*time.Minute)

		// The part was answered; a process that starts now must not refuse it.
		a.cfg.Poison.RecordAnswered([]poison.Part{{Service: "s", ID: "deadly"}})
		assert.NilError(t, a.writeQuarantines(t.Context()))
		s.join(t.Context(), "c", "d0", 800, false)
		_, _, ok := s.tracker("c").Blocked([]poison.Part{{Service: "s", ID: "deadly"}})
		assert.Assert(t, !ok)
	})
}

// Guards against a deadly request that crashes servers again after all processes were killed at once, and
// against a row with requests that is taken for one of another writer.
func TestQuarantineOfARequestSurvivesAllProcesses(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		deadly := poison.RequestPart("POST", "host", "/path", "account", []byte("deadly"))
		tracker, now := poison.New(poison.Config{Log: zerolog.Nop()}), poison.Now()
		tracker.Merge([]poison.Record{{Part: deadly, Since: now, Until: now + 10*time.Minute, Terms: 2}})
		s.trackers["a"] = tracker
		a, _ := s.join(t.Context(), "a", "d0", 800, true)
		assert.NilError(t, a.writeQuarantines(t.Context()))
		before := s.rows.next
		assert.NilError(t, a.writeQuarantines(t.Context()))
		assert.Equal(t, s.rows.next, before, "a row that is up to date was written again")
		s.settled = map[string]bool{}
		s.join(t.Context(), "b", "d0", 800, false)
		_, _, ok := s.tracker("b").Blocked([]poison.Part{deadly})
		assert.Assert(t, ok, "the request is not quarantined")
	})
}

// Guards against a row that quarantines a part for ever, or that can't be decoded.
func TestQuarantineRowIsBounded(t *testing.T) {
	wall := time.Now()
	got := recordsOf([]quarantineRow{
		{Service: "s", Part: "past", Since: wall.Add(-time.Hour), Until: wall.Add(-time.Minute), Terms: 1},
		{Service: "s", Part: "far", Since: wall.Add(time.Hour), Until: wall.Add(1000 * time.Hour), Terms: 3},
	})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Part.ID, "far")
	assert.Assert(t, got[0].Until-poison.Now() <= poison.MaxTerm)
	assert.Assert(t, got[0].Since <= poison.Now())
}
