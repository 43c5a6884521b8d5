package poison_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/poison"
)

// requestPart returns the identity of a request of one caller.
func requestPart(name string) poison.Part {
	return poison.RequestPart("POST", "host", "/path", "account", []byte(name))
}

// crashUnder lets a server crash under requests at one process.
func (f *fleet) crashUnder(process int, server uint64, names ...string) {
	for _, name := range names {
		f.trackers[process].RecordCut(server, server, []poison.Part{requestPart(name)})
	}
	f.trackers[process].RecordCrash(server)
}

// tryUnder lets a server crash under a request that a process sends alone.
func (f *fleet) tryUnder(process int, server uint64, name string) {
	f.awaitTrial(process, name)
	f.trackers[process].RecordTrialCut(server, server, []poison.Part{requestPart(name)})
	f.trackers[process].RecordCrash(server)
}

// awaitTrial waits until a process may try a request alone.
func (f *fleet) awaitTrial(process int, name string) {
	for wait := time.Nanosecond; wait > 0; {
		time.Sleep(wait)
		wait = f.trackers[process].TryAlone(requestPart(name), true)
	}
}

// checkRequest fails unless a request is refused in all processes, for a time between two bounds; 0 if
// it may be sent.
func (f *fleet) checkRequest(t *testing.T, name string, least, most time.Duration) {
	t.Helper()
	for i, x := range f.trackers {
		_, left, ok := x.Blocked([]poison.Part{requestPart(name)})
		assert.Equal(t, ok, most > 0, "process %d, request %s", i, name)
		assert.Assert(t, left >= least && left <= most, "process %d, request %s: %v", i, name, left)
	}
}

// Guards against a request that is never quarantined, and against one that is before its servers had a
// chance to come back.
func TestRequestIsSuspendedThenQuarantined(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(3)
		f.crashUnder(0, 1, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 0, 0)
		f.crashUnder(1, 2, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 8*time.Second, 10*time.Second)
		time.Sleep(10 * time.Second)
		f.checkRequest(t, "deadly", 0, 0)
		f.crashUnder(2, 3, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 9*time.Minute, 10*time.Minute)
		time.Sleep(11 * time.Minute)
		f.crashUnder(0, 4, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 19*time.Minute, 20*time.Minute)
	})
}

// Guards against requests that are all refused since two servers crashed near in time, though none of them is shown to
// be the cause, and against a deadly one that goes on to crash servers after that.
func TestCrashesNearInTimeSuspendNothing(t *testing.T) {
	for _, apart := range []time.Duration{requestSpacing, 96 * time.Millisecond, poison.MaxTrial - time.Millisecond} {
		t.Run(apart.String(), func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(4)
				crash := func(server uint64) { // it had runs of the request from all processes
					for i := range f.trackers {
						f.crashUnder(i, server, "popular")
					}
				}
				crash(1)
				time.Sleep(apart)
				crash(2)
				time.Sleep(time.Second)
				f.checkRequest(t, "popular", 0, 0)
				f.tryUnder(2, 3, "popular")
				time.Sleep(time.Second)
				f.checkRequest(t, "popular", 9*time.Minute, 10*time.Minute)
			})
		})
	}
}

// requestSpacing is the time from which two crashes may count as two.
const requestSpacing = 30 * time.Millisecond

// Guards against a deadly request that isn't suspended because the server of its trial crashed soon after the first one,
// and against evidence of a trial that is lost because another process saw the same crash without it.
func TestCrashOfATrialCounts(t *testing.T) {
	for name, run := range map[string]func(f *fleet){
		"one process sees it": func(f *fleet) { f.tryUnder(1, 2, "deadly") },
		"another process sees it first": func(f *fleet) {
			f.awaitTrial(1, "deadly")
			f.crashUnder(2, 2, "deadly")
			f.trackers[1].RecordTrialCut(2, 2, []poison.Part{requestPart("deadly")})
			f.trackers[1].RecordCrash(2)
		},
		"another process sees it later": func(f *fleet) {
			f.tryUnder(1, 2, "deadly")
			f.crashUnder(2, 2, "deadly")
		},
		"announcements are lost": func(f *fleet) {
			f.awaitTrial(1, "deadly")
			f.cut = func(int, int) bool { return true }
			f.crashUnder(2, 2, "deadly")
			f.trackers[1].RecordTrialCut(2, 2, []poison.Part{requestPart("deadly")})
			f.trackers[1].RecordCrash(2)
			f.cut = nil
			for i, x := range f.trackers {
				for j, o := range f.trackers {
					if i != j {
						o.Merge(x.Records())
					}
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(3)
				f.crashUnder(0, 1, "deadly")
				run(f)
				time.Sleep(time.Second)
				f.checkRequest(t, "deadly", 8*time.Second, 10*time.Second)
			})
		})
	}
}

// Guards against a deadly request that each process sends once more, since only one of them has seen that it cut a run on
// a server that still accepts connections, and against a sound one that is refused longer than until that is known.
func TestUnconfirmedCrashCountsInAllProcesses(t *testing.T) {
	for name, crashed := range map[string]bool{"the server has crashed": true, "the server lives": false} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(4)
				f.crashUnder(0, 1, "r")
				f.awaitTrial(1, "r")
				f.trackers[1].RecordTrialCut(2, 2, []poison.Part{requestPart("r")})
				f.trackers[1].RecordUnconfirmed(2)
				time.Sleep(4 * time.Second)
				f.checkRequest(t, "r", time.Second, 3*time.Second)
				if crashed {
					f.trackers[3].RecordCrash(2) // by the registry, also if the process that has seen the cut has ended
					time.Sleep(time.Second)
					f.checkRequest(t, "r", 8*time.Second, 10*time.Second)
					return
				}
				time.Sleep(2*time.Second + time.Millisecond)
				f.checkRequest(t, "r", 0, 0)
				f.checkCrashes(t, "r", 1)
			})
		})
	}
}

// checkCrashes fails unless all processes count the given number of crashes under a request.
func (f *fleet) checkCrashes(t *testing.T, name string, want int) {
	t.Helper()
	for i, x := range f.trackers {
		assert.Equal(t, x.Crashes(requestPart(name)), want, "process %d", i)
	}
}

// Guards against a deadly request that goes on to crash servers while none of its crashes is confirmed, and against sound
// ones that are refused since faulty links cut many of them at once, or one of them once.
func TestCutsWithoutConfirmation(t *testing.T) {
	for name, x := range map[string]struct {
		pause time.Duration // between two cuts
		cuts  int
		held  bool
	}{
		"one":                 {time.Second, 1, false},
		"many at once":        {0, 5, false},
		"many within a trial": {200 * time.Millisecond, 5, false},
		"at separate moments": {time.Second, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(3)
				for i := range x.cuts {
					f.trackers[i%3].RecordCut(uint64(i), uint64(i), []poison.Part{requestPart("r")})
					f.trackers[i%3].RecordUnconfirmed(uint64(i))
					time.Sleep(x.pause)
				}
				most := time.Duration(0)
				if x.held {
					most = 6 * time.Second
				}
				f.checkRequest(t, "r", 0, most)
				f.checkCrashes(t, "r", 0)
				time.Sleep(7 * time.Second)
				f.checkRequest(t, "r", 0, 0)
				for i, y := range f.trackers {
					y.Recent(false) // with each heartbeat
					assert.Assert(t, !y.TracksRequests(), "process %d keeps what did not become evidence", i)
				}
			})
		})
	}
}

// Guards against a request that stays refused, in any process, after a server has answered it.
func TestAnswerEndsTheWaitForAConfirmation(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(3)
		for i := range 2 {
			f.trackers[i].RecordCut(uint64(i), uint64(i), []poison.Part{requestPart("r")})
			f.trackers[i].RecordUnconfirmed(uint64(i))
			time.Sleep(time.Second)
		}
		f.checkRequest(t, "r", time.Second, 6*time.Second)
		f.trackers[2].RecordAnswered([]poison.Part{requestPart("r")})
		f.checkRequest(t, "r", 0, 0)
		f.trackers[0].RecordCrash(0)
		f.trackers[1].RecordCrash(1)
		time.Sleep(time.Second)
		f.checkRequest(t, "r", 0, 0)
	})
}

// Guards against a request that reaches a server with each arrival after its suspension, since no server runs it.
func TestRefusedTrialSuspendsAgain(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(3)
		f.crashUnder(0, 1, "deadly")
		f.awaitTrial(0, "deadly")
		f.trackers[0].RecordRefused(requestPart("deadly"))
		f.checkRequest(t, "deadly", 0, 0) // one crash suspends nothing
		time.Sleep(time.Second)
		f.tryUnder(1, 2, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 8*time.Second, 10*time.Second)
		for range 3 {
			time.Sleep(10 * time.Second)
			f.checkRequest(t, "deadly", 0, 0)
			f.awaitTrial(2, "deadly")
			f.trackers[2].RecordRefused(requestPart("deadly"))
			f.checkRequest(t, "deadly", 9*time.Second, 10*time.Second)
		}
		time.Sleep(10 * time.Second)
		f.tryUnder(0, 3, "deadly")
		time.Sleep(time.Second)
		f.checkRequest(t, "deadly", 9*time.Minute, 10*time.Minute)
	})
}

// Guards against a suspension that ignores the servers that crash on runs sent before it.
func TestCrashesDuringASuspensionCount(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 3 {
			f.crashUnder(i%2, uint64(i), "deadly")
			time.Sleep(time.Second)
			f.decide("deadly")
		}
		f.checkRequest(t, "deadly", 9*time.Minute, 10*time.Minute)
	})
}

// decide lets the first process decide on a request.
func (f *fleet) decide(name string) {
	f.trackers[0].Blocked([]poison.Part{requestPart(name)})
}

// Guards against sound requests that are refused because they were on servers that a deadly one crashed,
// also when the processes learn of the crashes in different orders.
func TestSoundRequestsBesideADeadlyOne(t *testing.T) {
	for name, run := range map[string]func(f *fleet){
		"on one crashed server": func(f *fleet) {
			f.crashUnder(0, 1, "deadly", "sound")
			time.Sleep(time.Second)
			f.crashUnder(0, 2, "deadly")
		},
		"on all crashed servers, at one process": func(f *fleet) {
			for i := range 3 {
				f.crashUnder(0, uint64(i), "sound", "deadly")
				time.Sleep(time.Second)
			}
			f.crashUnder(0, 3, "deadly")
		},
		"on all crashed servers, at another process": func(f *fleet) {
			for i := range 3 {
				f.crashUnder(0, uint64(i), "deadly")
				f.crashUnder(1, uint64(i), "sound")
				time.Sleep(time.Second)
			}
			f.crashUnder(0, 3, "deadly")
		},
		"answered after two crashes": func(f *fleet) {
			for i := range 2 {
				f.crashUnder(0, uint64(i), "sound")
				time.Sleep(10 * time.Millisecond)
			}
			f.trackers[1].RecordAnswered([]poison.Part{requestPart("sound")})
			f.crashUnder(0, 10, "deadly")
			time.Sleep(time.Second)
			f.crashUnder(0, 11, "deadly")
		},
		"a rack at once": func(f *fleet) {
			for i := range 5 {
				f.crashUnder(0, uint64(i), "sound")
				time.Sleep(5 * time.Millisecond)
			}
			f.crashUnder(0, 10, "deadly")
			time.Sleep(time.Second)
			f.crashUnder(0, 11, "deadly")
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(3)
				run(f)
				time.Sleep(time.Second)
				f.checkRequest(t, "sound", 0, 0)
				f.checkRequest(t, "deadly", time.Second, 10*time.Minute)
			})
		})
	}
}

// Guards against a request that is sent to a third server while it is not known whether it crashed the second.
func TestRequestWaitsForTheConfirmationOfACrash(t *testing.T) {
	for name, crashed := range map[string]bool{"the server has crashed": true, "the server lives": false} {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(1)
				cut := func(server uint64) {
					f.trackers[0].RecordCut(server, server, []poison.Part{requestPart("r")})
					time.Sleep(time.Second)
				}
				cut(1)
				f.checkRequest(t, "r", 0, 0)
				f.trackers[0].RecordCrash(1)
				time.Sleep(time.Second)
				f.checkRequest(t, "r", 0, 0)
				cut(2)
				f.checkRequest(t, "r", time.Second, 6*time.Second)
				if crashed {
					f.trackers[0].RecordCrash(2)
					time.Sleep(time.Second)
					f.checkRequest(t, "r", 7*time.Second, 10*time.Second)
					return
				}
				time.Sleep(6 * time.Second)
				f.checkRequest(t, "r", 0, 0)
			})
		})
	}
}

// Guards against a sound request that many callers send alike and that is refused, or keeps the deadly one
// from being refused, because it is on each server that crashes.
func TestPopularRequestBesideADeadlyOne(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		popular := requestPart("popular")
		f.trackers[0].RecordAnswered([]poison.Part{popular})
		time.Sleep(time.Second)
		for i := range 3 {
			f.trackers[0].RecordCut(uint64(i), uint64(i), []poison.Part{popular})
			f.tryUnder(0, uint64(i), "deadly") // alone, once a server has crashed on it
			f.crashUnder(1, uint64(i), "popular")
			time.Sleep(100 * time.Millisecond)
		}
		f.checkRequest(t, "popular", 0, 0)
		f.checkRequest(t, "deadly", time.Minute, 10*time.Minute)
		for i, x := range f.trackers {
			assert.Equal(t, x.Crashes(popular), 0, "process %d tries it alone", i)
		}
		for i := range 3 { // it has become deadly
			f.crashUnder(0, uint64(10+i), "popular")
			time.Sleep(time.Second)
		}
		f.checkRequest(t, "popular", 9*time.Minute, 10*time.Minute)
	})
}

// Guards against a request whose quarantine outlives the answer that shows it is sound.
func TestAnswerEndsASuspension(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 2 {
			f.crashUnder(0, uint64(i), "sound")
			time.Sleep(time.Second)
		}
		f.checkRequest(t, "sound", time.Second, 10*time.Second)
		f.trackers[1].RecordAnswered([]poison.Part{requestPart("sound")})
		f.checkRequest(t, "sound", 0, 0)
	})
}

// Guards against a request that several processes try at the same time.
func TestOneTrialInAllProcesses(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(3)
		f.crashUnder(0, 1, "deadly")
		assert.Assert(t, f.trackers[1].TryAlone(requestPart("deadly"), true) > 0, "the evidence of other processes is not awaited")
		time.Sleep(time.Second)
		f.checkTrialAt(t, 0)
		f.checkTrialAt(t, 0)
		time.Sleep(poison.MaxTrial)
		f.checkTrialAt(t, 2)
	})
}

// checkTrialAt fails unless one process may try the deadly request, after it has claimed its trial, and no
// other may.
func (f *fleet) checkTrialAt(t *testing.T, process int) {
	t.Helper()
	time.Sleep(f.trackers[process].TryAlone(requestPart("deadly"), true))
	for i, x := range f.trackers {
		assert.Equal(t, x.TryAlone(requestPart("deadly"), true) == 0, i == process, "process %d", i)
	}
}

// Guards against a request that processes try at the same time because their claims crossed.
func TestCrossingClaimsOfATrial(t *testing.T) {
	virtually(t, func(t *testing.T) {
		for range 50 {
			f := newFleet(4)
			f.crashUnder(0, 1, "deadly")
			time.Sleep(time.Second)
			f.cut = func(int, int) bool { return true } // on their way
			var wait time.Duration
			for _, x := range f.trackers {
				wait = x.TryAlone(requestPart("deadly"), true)
			}
			f.cut = nil
			time.Sleep(wait / 2)
			for i, x := range f.trackers {
				for j, o := range f.trackers {
					if i != j {
						o.Merge(x.Records())
					}
				}
			}
			time.Sleep(wait)
			trying := 0
			for _, x := range f.trackers {
				if x.TryAlone(requestPart("deadly"), true) == 0 {
					trying++
				}
			}
			assert.Equal(t, trying, 1)
		}
	})
}

// Guards against a caller that gets another one's request refused by naming it as a part of its prompt.
func TestPartIsNoRequest(t *testing.T) {
	id := requestPart("x").ID
	for _, p := range poison.PartsOf("s", []string{id, "own"}) {
		assert.Assert(t, !p.IsRequest())
	}
	assert.Assert(t, requestPart("x").IsRequest())
}

// Guards against fields of a request that run into each other.
func TestFieldsOfTheIdentityAreSeparate(t *testing.T) {
	a := poison.RequestPart("GET", "host", "/p", "account", []byte("body"))
	for i, b := range []poison.Part{
		poison.RequestPart("GET", "host/", "p", "account", []byte("body")),
		poison.RequestPart("GET", "host", "/pa", "ccount", []byte("body")),
		poison.RequestPart("GET", "host", "/p", "accountb", []byte("ody")),
		poison.RequestPart("GET", "host", "/p", "account", []byte("bod"), "y"),
		poison.RequestPart("GET", "host", "/p", "account", []byte("body"), ""),
	} {
		assert.Assert(t, a != b, "case %d", i)
	}
	assert.Assert(t, poison.RequestPart("", "", "", "", nil, "a", "bc") != poison.RequestPart("", "", "", "", nil, "ab", "c"))
}

// Guards against memory that grows with the number of requests on crashed servers, and against
// requests that leave no room for parts of prompts.
func TestRequestRecordsAreBounded(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(1)
		for i := range 5000 {
			f.crashUnder(0, uint64(i), fmt.Sprint("r", i))
		}
		suspected, _ := f.trackers[0].Counts(true)
		assert.Assert(t, suspected <= 1024, "%d records", suspected)
		f.crash(0, 9000, 9000, "p")
		parts, _ := f.trackers[0].Counts(false)
		assert.Equal(t, parts, 1)
	})
}

// The cost of the identity of a request with a usual body.
func BenchmarkRequestPart(b *testing.B) {
	body := make([]byte, 800)
	for b.Loop() {
		poison.RequestPart("POST", "host.example", "/path/1", "account", body)
	}
}

// Guards against evidence from a server that was taken for dead, lives, and later resets connections.
func TestServerThatWasTakenForDead(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 3 {
			f.trackers[0].RecordCrash(uint64(i))
		}
		time.Sleep(time.Minute)
		for i := range 3 {
			f.trackers[0].RecordCut(uint64(i), uint64(i), []poison.Part{requestPart("sound")})
			time.Sleep(time.Second)
		}
		f.checkRequest(t, "sound", 0, 0)
	})
}

// Guards against a single death of a server that counts as several crashes under a request that waits
// for it.
func TestDeathOfAServerCountsOnce(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for range 10 {
			f.trackers[0].RecordCut(1, 1, []poison.Part{requestPart("sound")})
			time.Sleep(500 * time.Millisecond)
		}
		f.trackers[0].RecordCrash(1)
		time.Sleep(time.Second)
		f.checkRequest(t, "sound", 0, 0)
	})
}

// Guards against evidence that is older than an answer to the request, when a server is only later found to
// have crashed.
func TestAnswerBeforeTheCrashIsConfirmed(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 3 {
			f.trackers[0].RecordCut(uint64(i), uint64(i), []poison.Part{requestPart("sound")})
			time.Sleep(200 * time.Millisecond)
			if f.trackers[0].TracksRequests() { // as callers of RecordAnswered do
				f.trackers[0].RecordAnswered([]poison.Part{requestPart("sound")})
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 3 {
			f.trackers[0].RecordCrash(uint64(i))
		}
		time.Sleep(time.Second)
		f.checkRequest(t, "sound", 0, 0)
	})
}

// Guards against the hash of every body, long after the last cut run.
func TestCutsEndWithoutEvidence(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(1)
		f.trackers[0].RecordCut(1, 1, []poison.Part{requestPart("sound")})
		assert.Assert(t, f.trackers[0].TracksRequests())
		time.Sleep(10 * time.Second)
		f.trackers[0].Recent(false) // with each heartbeat
		assert.Assert(t, !f.trackers[0].TracksRequests())
	})
}

// Guards against a deadly request or part that is not tracked, since those on servers that crashed for
// another reason fill the memory.
func TestDeadlyRequestAfterManyCrashes(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(2)
		for i := range 2000 {
			f.crashUnder(0, uint64(i), fmt.Sprint("r", i))
			f.crash(0, uint64(i), uint64(i), fmt.Sprint("p", i))
		}
		time.Sleep(time.Second)
		for i := range 3 {
			f.crashUnder(i%2, uint64(10_000+i), "deadly")
			f.crash(i%2, uint64(20_000+i), uint64(20_000+i), "deadly part")
			time.Sleep(time.Second)
			f.decide("deadly")
		}
		f.checkRequest(t, "deadly", 9*time.Minute, 10*time.Minute)
		f.checkBlocked(t, true, "deadly part")
	})
}
