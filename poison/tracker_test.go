package poison_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/poison"
)

func init() {
	testing.Init()
	_ = flag.Set("rapid.seed", "5575289837441384531") // fixed, so that a failure can be reproduced
}

// fleet is a set of processes that share what they announce.
type fleet struct {
	trackers []*poison.Tracker
	cut      func(from, to int) bool // reports which announcements are lost; nil for none
	changes  int                     // calls of OnQuarantine at the first process
}

func newFleet(processes int) *fleet {
	f := &fleet{}
	for i := range processes {
		f.trackers = append(f.trackers, poison.New(poison.Config{
			Log: zerolog.Nop(),
			Announce: func(records []poison.Record) {
				for j, t := range f.trackers {
					if j != i && (f.cut == nil || !f.cut(i, j)) {
						t.Merge(records)
					}
				}
			},
			OnQuarantine: func() {
				if i == 0 {
					f.changes++
				}
			},
		}))
	}
	return f
}

// crash lets a server crash on a request at one process. Servers and requests are numbers.
func (f *fleet) crash(process int, server, request uint64, parts ...string) {
	f.trackers[process].RecordCut(server, request, poison.PartsOf("s", append(parts, "own")))
	f.trackers[process].RecordCrash(server)
}

func (f *fleet) answer(process int, parts ...string) {
	f.trackers[process].RecordAnswered(poison.PartsOf("s", append(parts, "own")))
}

// checkBlocked fails unless exactly the wanted parts are quarantined in all processes.
func (f *fleet) checkBlocked(t *testing.T, want bool, parts ...string) {
	t.Helper()
	for i, x := range f.trackers {
		for _, p := range parts {
			_, _, ok := x.Blocked([]poison.Part{{Service: "s", ID: p}})
			assert.Equal(t, ok, want, "process %d, part %s", i, p)
		}
	}
}

// virtually runs a test on a virtual clock.
func virtually(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) })()
		f(t)
	})
}

// Guards against a part that crashes server after server, each seen by another process.
func TestEvidenceOfAllProcessesCounts(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(4)
		f.answer(3, "root")
		for i := range 3 {
			f.checkBlocked(t, false, "root", "deadly")
			f.crash(i, uint64(i), uint64(i), "root", "deadly")
			time.Sleep(time.Second)
		}
		f.checkBlocked(t, true, "deadly")
		f.checkBlocked(t, false, "root")
		_, _, ok := f.trackers[0].Blocked([]poison.Part{{Service: "other", ID: "deadly"}})
		assert.Assert(t, !ok, "the part is blocked at another service")
	})
}

// Guards against the quarantine of sound parts whose requests were on servers that crashed for
// another reason.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	for name, crash := range map[string]func(f *fleet){
		"answered since": func(f *fleet) {
			for i := range 10 {
				f.crash(0, uint64(i), uint64(i), "p")
				time.Sleep(time.Second)
				if i%2 == 1 {
					f.answer(1, "p")
				}
			}
		},
		"a rack at once": func(f *fleet) {
			for i := range 10 {
				f.crash(i%3, uint64(i), uint64(i), "p")
				time.Sleep(5 * time.Millisecond)
			}
		},
		"one request and its repeats": func(f *fleet) {
			for i := range 4 {
				f.crash(0, uint64(i), 7, "p")
				time.Sleep(time.Second)
			}
		},
		"popular part in a fast series": func(f *fleet) {
			f.answer(0, "p")
			for i := range 5 {
				f.crash(i%3, uint64(i), uint64(i), "p")
				time.Sleep(200 * time.Millisecond)
			}
			f.answer(2, "p")
		},
		"cut runs of servers that live": func(f *fleet) {
			for i := range 10 {
				f.trackers[0].RecordCut(uint64(i), uint64(i), poison.PartsOf("s", []string{"p", "own"}))
				time.Sleep(time.Second)
			}
			for i := range 3 { // crashes, but long after the runs were cut
				f.trackers[0].RecordCrash(uint64(i))
			}
		},
		"the last part": func(f *fleet) {
			for i := range 10 {
				f.trackers[0].RecordCut(uint64(i), uint64(i), poison.PartsOf("s", []string{"p"}))
				f.trackers[0].RecordCrash(uint64(i))
				time.Sleep(time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(3)
				crash(f)
				f.checkBlocked(t, false, "p")
			})
		})
	}
}

// Guards against blaming the shared beginning of prompts of which only the deadly part is new.
func TestMostSpecificPartIsBlamed(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2) // neither part was ever answered
		for i := range 4 {
			f.crash(0, uint64(i), uint64(i), "root", "deadly")
			time.Sleep(time.Second)
		}
		f.checkBlocked(t, true, "deadly")
		f.checkBlocked(t, false, "root")
	})
}

// Guards against two deadly parts that hide each other.
func TestTwoDeadlyParts(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 3 {
			f.crash(0, uint64(2*i), uint64(2*i), "root", "one")
			time.Sleep(300 * time.Millisecond)
			f.crash(1, uint64(2*i+1), uint64(2*i+1), "root", "two")
			time.Sleep(300 * time.Millisecond)
			f.answer(0, "root")
		}
		f.checkBlocked(t, true, "one", "two")
		f.checkBlocked(t, false, "root")
	})
}

// Guards against a popular part that becomes deadly and is taken for sound because of old answers.
func TestPartThatBecomesDeadly(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		f.answer(0, "p")
		time.Sleep(time.Second)
		for i := range 6 {
			f.checkBlocked(t, false, "p")
			f.crash(0, uint64(i), uint64(i), "p")
			time.Sleep(500 * time.Millisecond)
		}
		f.checkBlocked(t, true, "p")
	})
}

// Guards against a caller that repeats one deadly request for ever.
func TestOneDeadlyRequest(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(1)
		for i := range 5 {
			f.checkBlocked(t, false, "p")
			f.crash(0, uint64(i), 7, "p")
			time.Sleep(time.Second)
		}
		f.checkBlocked(t, true, "p")
	})
}

// Guards against a quarantine that never ends, and against one that ends for good although the
// part is still deadly.
func TestQuarantineEnds(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 3 {
			f.crash(0, uint64(i), uint64(i), "p")
			time.Sleep(time.Second)
		}
		f.checkBlocked(t, true, "p")
		time.Sleep(11 * time.Minute)
		f.checkBlocked(t, false, "p")
		f.crash(1, 100, 100, "p") // one crash is enough now
		time.Sleep(time.Second)
		f.checkBlocked(t, true, "p")
		time.Sleep(19 * time.Minute)
		f.checkBlocked(t, true, "p")
		time.Sleep(2 * time.Minute)
		f.checkBlocked(t, false, "p")
	})
}

// Guards against a wrong quarantine that an answer does not end, also when a process tells again
// what it knew before.
func TestAnswerEndsQuarantine(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(3)
		for i := range 3 {
			f.crash(0, uint64(i), uint64(i), "p")
			time.Sleep(time.Second)
		}
		old := f.trackers[1].Records()
		f.checkBlocked(t, true, "p")
		assert.Equal(t, f.changes, 1)
		f.answer(2, "p") // a run that was sent before the quarantine
		f.checkBlocked(t, false, "p")
		assert.Equal(t, f.changes, 2)
		for _, x := range f.trackers {
			x.Merge(old)
		}
		f.checkBlocked(t, false, "p")
	})
}

// Guards against evidence that arrives after an answer which the receiving process saw later than it.
func TestLateEvidenceIsOlderThanTheAnswer(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		f.crash(1, 1, 1, "p") // process 0 has a record of the part
		f.answer(0, "p")
		f.cut = func(from, _ int) bool { return from == 1 }
		for i := range 6 {
			time.Sleep(time.Second)
			f.crash(1, uint64(10+i), uint64(10+i), "p")
		}
		time.Sleep(time.Second)
		f.answer(0, "p")
		f.trackers[0].Merge(f.trackers[1].Records())
		_, _, ok := f.trackers[0].Blocked([]poison.Part{{Service: "s", ID: "p"}})
		assert.Assert(t, !ok, "process 0 blocks a part that was answered")
	})
}

// Guards against memory that grows with the number of parts that callers name.
func TestRecordsAreBounded(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(1)
		for i := range 5000 {
			f.crash(0, uint64(i), uint64(i), fmt.Sprint("p", i))
			f.answer(0, fmt.Sprint("q", i))
		}
		suspected, _ := f.trackers[0].Counts(false)
		assert.Assert(t, suspected <= 256, "%d records", suspected)
		assert.Assert(t, len(f.trackers[0].Records()) <= 32)
		long := poison.PartsOf("s", []string{string(make([]byte, 10_000)), "own"})
		assert.Assert(t, len(long[0].ID) <= 64)
	})
}

// Guards against processes that disagree for good: whatever is lost on the way, after all records
// were exchanged every process blocks the same parts, and no part that is answered again and again.
func TestProcessesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := time.Now()
		var now time.Duration
		defer clock.Replace(func() time.Duration { return time.Since(base) + now })()
		f := newFleet(4)
		f.cut = func(int, int) bool { return rapid.IntRange(0, 2).Draw(rt, "lost") == 0 }
		for i := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause")) * time.Millisecond
			process := rapid.IntRange(0, 3).Draw(rt, "process")
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				f.crash(process, uint64(i), uint64(i), "root", "deadly")
			case 1:
				f.crash(process, uint64(i), uint64(i), "root")
			default:
				f.answer(process, "root")
			}
		}
		now += time.Second
		f.answer(0, "root")
		f.cut = nil
		for range 2 {
			for _, x := range f.trackers {
				for _, y := range f.trackers {
					y.Merge(x.Records())
				}
			}
		}
		_, _, want := f.trackers[0].Blocked([]poison.Part{{Service: "s", ID: "deadly"}})
		for i, x := range f.trackers {
			_, _, got := x.Blocked([]poison.Part{{Service: "s", ID: "deadly"}})
			assert.Equal(rt, got, want, "process %d", i)
			_, _, got = x.Blocked([]poison.Part{{Service: "s", ID: "root"}})
			assert.Assert(rt, !got, "process %d blocks a part that was answered", i)
		}
	})
}

// The cost for a request while nothing is quarantined, and while another part is.
func BenchmarkBlocked(b *testing.B) {
	for name, quarantined := range map[string]bool{"none": false, "other": true} {
		b.Run(name, func(b *testing.B) {
			t := poison.New(poison.Config{Log: zerolog.Nop()})
			if quarantined {
				t.Merge([]poison.Record{{Part: poison.Part{Service: "s", ID: "x"}, Since: poison.Now(), Until: poison.Now() + time.Hour, Terms: 1}})
			}
			ids := []string{"a1979a9a31e", "12ca9047f126", "5446f1f9351e"}
			for b.Loop() {
				parts := poison.PartsOf("s", ids)
				t.Blocked(parts)
				t.RecordAnswered(parts)
			}
		})
	}
}
