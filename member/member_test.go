package member_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/table"
)

// settle is the time after which the lists must be right: three pings with
// their timeouts, the question to the helpers and the checks of the others.
const settle = 12 * time.Second

func run(t *testing.T, n int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		for i := range n {
			w.start(i)
		}
		time.Sleep(3 * time.Second)
		assert.NilError(t, w.check())
		f(t, w)
		w.stopAll()
	})
}

func settled(t *testing.T, w *world) {
	t.Helper()
	time.Sleep(settle)
	assert.NilError(t, w.check())
}

// TestDeath guards against a dead process that stays in a list.
func TestDeath(t *testing.T) {
	run(t, 8, func(t *testing.T, w *world) {
		w.kill(name(3))
		settled(t, w)
	})
}

// TestDomain guards against slow detection when neighbours on the ring die
// together.
func TestDomain(t *testing.T) {
	run(t, 40, func(t *testing.T, w *world) {
		for i := 10; i < 25; i++ {
			w.kill(name(i))
		}
		time.Sleep(15 * time.Second)
		assert.NilError(t, w.check())
	})
}

// TestOutage guards against lists that depend on the table service: deaths
// are found, addresses are answered and nobody is removed during an outage.
func TestOutage(t *testing.T) {
	run(t, 8, func(t *testing.T, w *world) {
		w.table.SetFaults(fakes.Faults{Down: true})
		for range 20 {
			time.Sleep(time.Minute)
			assert.NilError(t, w.check())
		}
		w.kill(name(2))
		settled(t, w)
		w.table.SetFaults(fakes.Faults{})
		w.start(2)
		settled(t, w)
	})
}

// TestJoinWithoutTable guards against a process that can't join through its
// seeds while the table service is down.
func TestJoinWithoutTable(t *testing.T) {
	run(t, 5, func(t *testing.T, w *world) {
		w.table.SetFaults(fakes.Faults{Down: true})
		w.fault = func(c *member.Config) { c.Seeds = map[string]string{name(0): name(0)} }
		w.start(5)
		settled(t, w)
	})
}

// TestReplaced guards against rows of dead processes that hide the new ones,
// both at new addresses and at the old ones.
func TestReplaced(t *testing.T) {
	for _, first := range []int{0, 20} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			run(t, 8, func(t *testing.T, w *world) {
				w.stopAll()
				for i := range 8 {
					w.start(first + i)
				}
				settled(t, w)
				time.Sleep(time.Minute)
				rows, err := w.table.Client().ScanAll(t.Context(), "member/")
				assert.NilError(t, err)
				assert.Equal(t, len(rows), 8, "rows of dead processes are deleted")
			})
		})
	}
}

// TestPause guards against a process that decides by what it remembers from
// before a pause. Without the rule, here a clock that hides the pause, it
// lists a member that died in the meantime.
func TestPause(t *testing.T) {
	for _, hidden := range []bool{false, true} {
		t.Run(fmt.Sprint("hidden=", hidden), func(t *testing.T) {
			run(t, 8, func(t *testing.T, w *world) {
				if hidden {
					still := time.Now()
					w.fault = func(c *member.Config) { c.PauseDetector = member.NewPauseDetector(func() time.Time { return still }) }
					w.kill(name(4))
					w.start(4)
					settled(t, w)
				}
				p := w.all()[4]
				p.pause()
				settled(t, w)
				w.kill(name(6))
				time.Sleep(50 * time.Second)
				p.resume()
				assert.Equal(t, lists(p, name(6)), hidden)
				settled(t, w)
			})
		})
	}
}

// TestBacklog guards against a process that wakes from a pause and takes the
// calls that waited in its sockets as a sign that their senders, dead by now,
// are alive.
func TestBacklog(t *testing.T) {
	calls := map[string]func(p *proc, dead member.Member){
		"ping": func(p *proc, dead member.Member) {
			p.HandlePing(dead.Name, dead.Incarnation, member.Health{Self: &dead})
		},
		"news of itself": func(p *proc, dead member.Member) {
			p.HandleEvents(context.Background(), dead.Name, dead.Incarnation, member.EventMessage{Events: []member.Event{{Kind: member.Joined, Member: dead}}})
		},
		"news by another": func(p *proc, dead member.Member) {
			p.HandleEvents(context.Background(), "stranger", "stranger/1", member.EventMessage{Events: []member.Event{{Kind: member.Joined, Member: dead}}})
		},
	}
	for what, call := range calls {
		t.Run(what, func(t *testing.T) {
			run(t, 8, func(t *testing.T, w *world) {
				p, dead := w.all()[4], w.all()[6].Self()
				p.pause()
				settled(t, w)
				w.kill(dead.Name)
				time.Sleep(50 * time.Second)
				p.resume()
				call(p, dead)
				assert.Assert(t, !lists(p, dead.Name))
				settled(t, w)
			})
		})
	}
}

// TestAnsweredBeforePause guards against an answer that a member gave before
// this process was paused, and that it reads when it wakes, as proof that the
// member is still alive.
func TestAnsweredBeforePause(t *testing.T) {
	run(t, 0, func(t *testing.T, w *world) {
		armed := make(chan struct{}, 1)
		w.fault = func(c *member.Config) {
			ping := c.Ping
			c.Ping = func(ctx context.Context, to member.Member, h member.Health) (member.Health, error) {
				out, err := ping(ctx, to, h)
				if c.Self.Name == name(4) && to.Name == name(6) {
					select {
					case <-armed:
						p := w.all()[4]
						p.pause()
						p.gate()
					default:
					}
				}
				return out, err
			}
		}
		for i := range 8 {
			w.start(i)
		}
		settled(t, w)
		p := w.all()[4]
		armed <- struct{}{}
		for !p.paused() {
			time.Sleep(10 * time.Millisecond)
		}
		w.kill(name(6))
		time.Sleep(50 * time.Second)
		p.resume()
		synctest.Wait()
		assert.Assert(t, !lists(p, name(6)))
		settled(t, w)
	})
}

// lists tells whether a process has a member in its list.
func lists(p *proc, name string) bool {
	return slices.ContainsFunc(p.Live(), func(m member.Member) bool { return m.Name == name })
}

// TestSuperseded guards against an old incarnation that wakes and goes on to
// use its name after its VM was replaced.
func TestSuperseded(t *testing.T) {
	run(t, 4, func(t *testing.T, w *world) {
		old := w.all()[1]
		old.pause()
		time.Sleep(time.Minute)
		fresh := w.start(1)
		time.Sleep(settle)
		old.resume()
		time.Sleep(settle)
		assert.Assert(t, old.Superseded())
		assert.Assert(t, !fresh.Superseded())
		assert.Assert(t, !slices.Contains(old.Addresses("c", "").Addresses, "none"))
		assert.NilError(t, w.check())
		old.StopSilently()
	})
}

// TestOneWayCut guards against a single link that removes a process which
// all others reach.
func TestOneWayCut(t *testing.T) {
	run(t, 8, func(t *testing.T, w *world) {
		w.cut(name(2), name(3), true)
		for range 30 {
			time.Sleep(2 * time.Second)
			assert.NilError(t, w.check())
		}
		w.cut(name(2), name(3), false)
		settled(t, w)
	})
}

// TestStaleReads guards against a process that takes rows which stand still in
// its stale reads for dead members, or brings dead ones back because of them.
func TestStaleReads(t *testing.T) {
	run(t, 5, func(t *testing.T, w *world) {
		var mu sync.Mutex
		var old []table.Row
		w.fault = func(c *member.Config) {
			rows := c.Table
			c.Table = table.New(table.Config{
				Get: rows.Get, Commit: rows.Commit,
				Scan: func(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
					mu.Lock()
					defer mu.Unlock()
					if old != nil {
						return old, nil
					}
					return rows.Scan(ctx, prefix, after, limit)
				},
			})
		}
		w.kill(name(4))
		w.start(4)
		settled(t, w)
		rows, err := w.table.Client().ScanAll(t.Context(), "member/")
		assert.NilError(t, err)
		mu.Lock()
		old = rows
		mu.Unlock()
		w.kill(name(2))
		for range 20 {
			settled(t, w)
		}
	})
}

// TestPartition guards against halves that do not find each other again
// after an hour without contact, with and without the table service.
func TestPartition(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			run(t, 4, func(t *testing.T, w *world) {
				w.table.SetFaults(fakes.Faults{Down: down})
				split := func(on bool) {
					for i := range 4 {
						for j := range 4 {
							if i%2 != j%2 {
								w.cut(name(i), name(j), on)
							}
						}
					}
				}
				split(true)
				time.Sleep(time.Hour - time.Minute)
				assert.NilError(t, w.check())
				assert.Equal(t, len(w.all()[0].Live()), 2)
				split(false)
				settled(t, w)
			})
		})
	}
}

// TestLeave guards against a draining process that is still handed out.
func TestLeave(t *testing.T) {
	run(t, 8, func(t *testing.T, w *world) {
		p := w.all()[5]
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		p.Leave(ctx)
		for _, q := range w.all() {
			assert.Assert(t, !slices.Contains(q.Addresses("c", "").Addresses, p.self.CallerAddress), q.self.Name)
		}
		p.Stop(t.Context())
		w.kill(p.self.Name)
		for _, q := range w.all() {
			assert.Equal(t, len(q.Live()), 7)
		}
	})
}

// TestAddresses guards against a list that is not near first, and against all
// callers that meet at one process.
func TestAddresses(t *testing.T) {
	run(t, 9, func(t *testing.T, w *world) {
		p := w.all()[0]
		first := map[string]int{}
		for i := range 300 {
			l := p.Addresses(fmt.Sprint("caller-", i), "patan")
			assert.Equal(t, len(l.Addresses), 9)
			for k, a := range l.Addresses {
				var index int
				_, err := fmt.Sscanf(a, "callers-entry-%d", &index)
				assert.NilError(t, err)
				assert.Equal(t, domains[index%3] == "patan", k < 3)
			}
			first[l.Addresses[0]]++
			assert.Assert(t, time.Until(l.Expires) <= 30*time.Second)
		}
		assert.Equal(t, len(first), 3)
		for a, n := range first {
			assert.Assert(t, n > 70, "%s is first for %d of 300 callers", a, n)
		}
	})
}

// TestBudget guards against table calls that grow with the square of the
// number of processes.
func TestBudget(t *testing.T) {
	run(t, 32, func(t *testing.T, w *world) {
		time.Sleep(20 * time.Second)
		before := w.table.Counts()
		time.Sleep(100 * time.Second)
		after := w.table.Counts()
		writes, reads := float64(after.Writes-before.Writes)/100, float64(after.Reads-before.Reads)/100
		t.Logf("%.1f writes/s, %.1f reads/s", writes, reads)
		assert.Assert(t, writes <= 50 && reads <= 20)
	})
}

// TestFaultsShow shows that the checks fail: a process that answers no ping
// counts as dead, and one that answers for the dead keeps them listed.
func TestFaultsShow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.fault = func(c *member.Config) {
			ping := c.Ping
			c.Ping = func(ctx context.Context, to member.Member, h member.Health) (member.Health, error) {
				if out, err := ping(ctx, to, h); err == nil {
					return out, nil
				}
				return member.Health{}, nil // a death that is not noticed
			}
		}
		for i := range 5 {
			w.start(i)
		}
		time.Sleep(3 * time.Second)
		assert.NilError(t, w.check())
		w.kill(name(1))
		time.Sleep(settle)
		assert.ErrorContains(t, w.check(), "which is dead")
		w.stopAll()
	})
}
