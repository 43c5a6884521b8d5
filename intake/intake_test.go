package intake_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/intake"
)

const testServer = 7

func runVirtual(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		t.Cleanup(clock.Replace(func() time.Duration { return time.Since(base) + time.Hour }))
		f(t)
	})
}

// logged is a tracker, its log, and what it told others.
type logged struct {
	*intake.Tracker
	text      strings.Builder
	announced []intake.Record
	leaving   []uint64
}

func newLogged(maxPause time.Duration) *logged {
	x := &logged{}
	x.Tracker = intake.New(intake.Config{
		Log: zerolog.New(&x.text), MaxPause: maxPause,
		Announce:  func(records []intake.Record) { x.announced = append(x.announced, records...) },
		OnLeaving: func(servers []uint64) { x.leaving = append(x.leaving, servers...) },
	})
	return x
}

// say makes the server say something in an answer.
func (x *logged) say(said intake.Said) {
	x.Observe(intake.Statement{Said: said, Server: testServer, ID: "a", Source: "answer"})
}

// pause makes the server ask for a pause.
func (x *logged) pause(d time.Duration) { x.say(intake.Said{RestUntil: intake.Now() + d}) }

// serve makes the server answer a request that was sent now.
func (x *logged) serve() {
	x.Observe(intake.Statement{Server: testServer, ID: "a", Source: "answer", SentAt: intake.Now()})
}

func (x *logged) checkLogged(t *testing.T, text string, times int) {
	t.Helper()
	assert.Equal(t, strings.Count(x.text.String(), text), times, x.text.String())
}

// checkRests checks the time until the server takes a request, which has a random addition.
func checkRests(t *testing.T, x *logged, want time.Duration) {
	t.Helper()
	wait := x.Wait(testServer)
	assert.Assert(t, wait >= want && wait <= want+250*time.Millisecond, "%v, want %v", wait, want)
	assert.Equal(t, x.Rests(testServer), true)
	assert.Equal(t, x.Reserve(testServer), false)
}

// Guards against a server that is taken back before it has ended, against logs that do not tell, and
// against processes that are told again and again.
func TestLeavingIsFinal(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newLogged(0)
		for range 3 {
			x.say(intake.Said{Leaving: true})
			x.serve()
			time.Sleep(time.Minute)
		}
		assert.Assert(t, x.Leaves(testServer) && !x.Leaves(testServer+1))
		assert.Equal(t, len(x.announced), 1)
		assert.DeepEqual(t, x.leaving, []uint64{testServer})
		x.checkLogged(t, "says that it leaves", 1)

		other := newLogged(0)
		other.Merge(x.Records())
		other.Merge(x.Records())
		assert.Assert(t, other.Leaves(testServer))
		assert.DeepEqual(t, other.leaving, []uint64{testServer})
		other.checkLogged(t, `"source":"peer","age":180000`, 1)
		assert.Equal(t, len(other.Recent(false)), 1)
		assert.Equal(t, len(other.Recent(true)), 0)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(other.Recent(false)), 0)
		assert.Equal(t, len(other.Records()), 1)
	})
}

// Guards against a pause that ends early: by an answer to another request, or by a shorter pause.
func TestLongestPauseCounts(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newLogged(0)
		x.pause(4 * time.Second)
		checkRests(t, x, 4*time.Second)
		x.serve()
		x.pause(time.Second)
		time.Sleep(3 * time.Second)
		checkRests(t, x, time.Second)
		time.Sleep(1300 * time.Millisecond)
		assert.Equal(t, x.Wait(testServer), time.Duration(0))
		x.checkLogged(t, "asks for a pause", 1)
		x.Expire()
		x.Expire()
		x.checkLogged(t, "pause of the backend server has ended", 1)
	})
}

// Guards against a server that rests for ever, because it names hours or by mistake.
func TestPauseIsBounded(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newLogged(5 * time.Second)
		x.pause(1e9 * time.Second)
		checkRests(t, x, 5*time.Second)
		x.checkLogged(t, `"named":1000000000000`, 1)
		time.Sleep(5500 * time.Millisecond)
		assert.Assert(t, x.Reserve(testServer))
		unset := newLogged(0)
		unset.pause(time.Hour)
		checkRests(t, unset, intake.DefaultMaxPause)
	})
}

// Guards against requests to a server before the end of the pause that it asked for, and against a server that
// rests for hours by mistake.
func TestLongPauseIsHeededInFull(t *testing.T) {
	for _, x := range []struct{ named, heeded time.Duration }{
		{61 * time.Second, 61 * time.Second},
		{15 * time.Minute, 15 * time.Minute},
		{time.Hour, time.Hour},
		{time.Hour + time.Second, time.Minute},
		{1e9 * time.Second, time.Minute},
	} {
		runVirtual(t, func(t *testing.T) {
			l := newLogged(0)
			l.pause(x.named)
			checkRests(t, l, x.heeded)
			time.Sleep(x.heeded - time.Second)
			assert.Assert(t, !l.Reserve(testServer))
			time.Sleep(1300 * time.Millisecond)
			assert.Assert(t, l.Reserve(testServer))
		})
	}
}

// Guards against a burst when a pause ends, and against a server that stays bounded after it answered.
func TestRequestsAfterAPause(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newLogged(0)
		reserve := func() (n int) {
			for range 100 {
				if x.Reserve(testServer) {
					n++
				}
			}
			return n
		}
		x.pause(time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, reserve(), 1)
		x.serve()
		assert.Equal(t, reserve(), 2)
		x.serve()
		x.serve()
		assert.Equal(t, reserve(), 4)
		time.Sleep(250 * time.Millisecond) // no answer
		assert.Equal(t, reserve(), 2)
		for range 5 {
			x.serve()
		}
		assert.Equal(t, x.Resting(), 0)
		assert.Equal(t, reserve(), 100)

		x.pause(time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, reserve(), 1)
		x.pause(time.Second)
		checkRests(t, x, time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, reserve(), 1)
		time.Sleep(3 * time.Second) // requests without an answer
		assert.Equal(t, reserve(), 100)
		assert.Equal(t, x.Resting(), 0)
	})
}

// Guards against answers to requests from before the pause that make the server look well.
func TestLateAnswersDoNotEndTheReturn(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		x := newLogged(0)
		before := intake.Now()
		x.pause(time.Second)
		time.Sleep(2 * time.Second)
		assert.Assert(t, x.Reserve(testServer))
		for range 20 {
			x.Observe(intake.Statement{Server: testServer, ID: "a", SentAt: before})
		}
		assert.Assert(t, !x.Reserve(testServer))
	})
}

// Guards against a log line for each answer with a value that has no meaning, and against a value that
// changes what the server gets.
func TestUnreadableValueIsLoggedOnce(t *testing.T) {
	x := newLogged(0)
	for range 3 {
		x.say(intake.Said{Unreadable: "Retry-After: soon"})
	}
	x.checkLogged(t, "Retry-After: soon", 1)
	assert.Assert(t, !x.Leaves(testServer) && x.Wait(testServer) == 0 && len(x.Records()) == 0)
}
