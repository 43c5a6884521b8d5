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

// settleTime is the time after which the lists must be correct: three pings with
// their timeouts, the query to the helpers, and the verification by the other
// processes.
const settleTime = 12 * time.Second

// runCluster runs f in virtual time with a cluster of n processes.
func runCluster(t *testing.T, n int, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		for i := range n {
			c.start(i)
		}
		time.Sleep(3 * time.Second)
		assert.NilError(t, c.check())
		f(t, c)
		c.stopAll()
	})
}

// checkSettled waits for settleTime and checks the lists.
func checkSettled(t *testing.T, c *cluster) {
	t.Helper()
	time.Sleep(settleTime)
	assert.NilError(t, c.check())
}

// TestDeath guards against a dead process that stays in a list.
func TestDeath(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, c *cluster) {
		c.kill(name(3))
		checkSettled(t, c)
	})
}

// TestDeathOfNeighbours guards against slow detection when successive members on
// the ring die together, as in the loss of a failure domain.
func TestDeathOfNeighbours(t *testing.T) {
	runCluster(t, 40, func(t *testing.T, c *cluster) {
		for i := 10; i < 25; i++ {
			c.kill(name(i))
		}
		time.Sleep(15 * time.Second)
		assert.NilError(t, c.check())
	})
}

// TestOutage guards against lists that depend on the table service: during an
// outage of it, deaths are detected, addresses are returned and no live member is
// removed.
func TestOutage(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, c *cluster) {
		c.table.SetFaults(fakes.PlatformFaults{Down: true})
		for range 20 {
			time.Sleep(time.Minute)
			assert.NilError(t, c.check())
		}
		c.kill(name(2))
		checkSettled(t, c)
		c.table.SetFaults(fakes.PlatformFaults{})
		c.start(2)
		checkSettled(t, c)
	})
}

// TestJoinWithoutTable guards against a process that can't join through its seeds
// while the table service is down.
func TestJoinWithoutTable(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.table.SetFaults(fakes.PlatformFaults{Down: true})
		c.alterConfig = func(cfg *member.Config) { cfg.Seeds = map[string]string{name(0): name(0)} }
		c.start(5)
		checkSettled(t, c)
	})
}

// TestReplaced guards against rows of dead processes that keep their replacements
// out of the lists, whether these run at new addresses or at the old ones.
func TestReplaced(t *testing.T) {
	for _, first := range []int{0, 20} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			runCluster(t, 8, func(t *testing.T, c *cluster) {
				c.stopAll()
				for i := range 8 {
					c.start(first + i)
				}
				checkSettled(t, c)
				time.Sleep(time.Minute)
				rows, err := c.table.Client().ScanAll(t.Context(), "member/")
				assert.NilError(t, err)
				assert.Equal(t, len(rows), 8, "rows of dead processes are deleted")
			})
		})
	}
}

// TestPause guards against a process that lists a member which died while the
// process was paused. With a clock that hides the pause it does list the member,
// which shows that the test depends on the detection of the pause.
func TestPause(t *testing.T) {
	for _, hidden := range []bool{false, true} {
		t.Run(fmt.Sprint("hidden=", hidden), func(t *testing.T) {
			runCluster(t, 8, func(t *testing.T, c *cluster) {
				if hidden {
					frozen := time.Now()
					c.alterConfig = func(cfg *member.Config) {
						cfg.PauseDetector = member.NewPauseDetector(func() time.Time { return frozen })
					}
					c.kill(name(4))
					c.start(4)
					checkSettled(t, c)
				}
				p := c.all()[4]
				p.pause()
				checkSettled(t, c)
				c.kill(name(6))
				time.Sleep(50 * time.Second)
				p.resume()
				assert.Equal(t, lists(p, name(6)), hidden)
				checkSettled(t, c)
			})
		})
	}
}

// TestBacklog guards against a process that resumes from a pause, reads the calls
// that waited in its sockets, and takes their senders, which died since, for alive.
func TestBacklog(t *testing.T) {
	calls := map[string]func(p *process, dead member.Member){
		"ping": func(p *process, dead member.Member) {
			p.HandlePing(dead.Name, dead.Incarnation, member.PingPayload{Self: &dead})
		},
		"event about the sender": func(p *process, dead member.Member) {
			p.HandleEvents(context.Background(), dead.Name, dead.Incarnation, member.EventMessage{Events: []member.Event{{Kind: member.Joined, Member: dead}}})
		},
		"event sent by another process": func(p *process, dead member.Member) {
			p.HandleEvents(context.Background(), "stranger", "stranger/1", member.EventMessage{Events: []member.Event{{Kind: member.Joined, Member: dead}}})
		},
	}
	for what, call := range calls {
		t.Run(what, func(t *testing.T) {
			runCluster(t, 8, func(t *testing.T, c *cluster) {
				p, dead := c.all()[4], c.all()[6].Self()
				p.pause()
				checkSettled(t, c)
				c.kill(dead.Name)
				time.Sleep(50 * time.Second)
				p.resume()
				call(p, dead)
				assert.Assert(t, !lists(p, dead.Name))
				checkSettled(t, c)
			})
		})
	}
}

// TestAnsweredBeforePause guards against a process that is paused between the
// answer to its ping and the reading of it, and takes the member, which died
// since, for alive.
func TestAnsweredBeforePause(t *testing.T) {
	runCluster(t, 0, func(t *testing.T, c *cluster) {
		armed := make(chan struct{}, 1)
		c.alterConfig = func(cfg *member.Config) {
			ping := cfg.Ping
			cfg.Ping = func(ctx context.Context, to member.Member, h member.PingPayload) (member.PingPayload, error) {
				out, err := ping(ctx, to, h)
				if cfg.Self.Name == name(4) && to.Name == name(6) {
					select {
					case <-armed:
						p := c.all()[4]
						p.pause()
						p.waitWhilePaused()
					default:
					}
				}
				return out, err
			}
		}
		for i := range 8 {
			c.start(i)
		}
		checkSettled(t, c)
		p := c.all()[4]
		armed <- struct{}{}
		for !p.paused() {
			time.Sleep(10 * time.Millisecond)
		}
		c.kill(name(6))
		time.Sleep(50 * time.Second)
		p.resume()
		synctest.Wait()
		assert.Assert(t, !lists(p, name(6)))
		checkSettled(t, c)
	})
}

// lists reports whether a process lists a member.
func lists(p *process, name string) bool {
	return slices.ContainsFunc(p.Live(), func(m member.Member) bool { return m.Name == name })
}

// TestSuperseded guards against an old incarnation that resumes from a pause after
// its VM was replaced, and goes on to use its name.
func TestSuperseded(t *testing.T) {
	runCluster(t, 4, func(t *testing.T, c *cluster) {
		old := c.all()[1]
		old.pause()
		time.Sleep(time.Minute)
		successor := c.start(1)
		time.Sleep(settleTime)
		old.resume()
		time.Sleep(settleTime)
		assert.Assert(t, old.Superseded())
		assert.Assert(t, !successor.Superseded())
		assert.Assert(t, !slices.Contains(old.Addresses("c", "").Addresses, "none"))
		assert.NilError(t, c.check())
		old.StopSilently()
	})
}

// TestOneWayCut guards against one broken link that removes a process which all
// others reach.
func TestOneWayCut(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, c *cluster) {
		c.setCut(name(2), name(3), true)
		for range 30 {
			time.Sleep(2 * time.Second)
			assert.NilError(t, c.check())
		}
		c.setCut(name(2), name(3), false)
		checkSettled(t, c)
	})
}

// TestStaleReads guards against a process that reads stale rows of the table
// service, and takes members for dead because their rows do not change, or lists
// dead members again.
func TestStaleReads(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		var mu sync.Mutex
		var old []table.Row
		c.alterConfig = func(cfg *member.Config) {
			rows := cfg.Table
			cfg.Table = table.New(table.Config{
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
		c.kill(name(4))
		c.start(4)
		checkSettled(t, c)
		rows, err := c.table.Client().ScanAll(t.Context(), "member/")
		assert.NilError(t, err)
		mu.Lock()
		old = rows
		mu.Unlock()
		c.kill(name(2))
		for range 20 {
			checkSettled(t, c)
		}
	})
}

// TestPartition guards against halves of a partition that do not find each other
// again after an hour without contact, with and without the table service.
func TestPartition(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			runCluster(t, 4, func(t *testing.T, c *cluster) {
				c.table.SetFaults(fakes.PlatformFaults{Down: down})
				split := func(on bool) {
					for i := range 4 {
						for j := range 4 {
							if i%2 != j%2 {
								c.setCut(name(i), name(j), on)
							}
						}
					}
				}
				split(true)
				time.Sleep(time.Hour - time.Minute)
				assert.NilError(t, c.check())
				assert.Equal(t, len(c.all()[0].Live()), 2)
				split(false)
				checkSettled(t, c)
			})
		})
	}
}

// TestLeave guards against a draining process whose address is still handed out.
func TestLeave(t *testing.T) {
	runCluster(t, 8, func(t *testing.T, c *cluster) {
		p := c.all()[5]
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		p.Leave(ctx)
		for _, q := range c.all() {
			assert.Assert(t, !slices.Contains(q.Addresses("c", "").Addresses, p.self.CallerAddress), q.self.Name)
		}
		p.Stop(t.Context())
		c.kill(p.self.Name)
		for _, q := range c.all() {
			assert.Equal(t, len(q.Live()), 7)
		}
	})
}

// TestAddresses guards against a list that does not start with the caller's failure
// domain, and against callers that all get the same first address.
func TestAddresses(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		p := c.all()[0]
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

// TestTableLoad guards against a number of table calls that grows with the square
// of the number of processes.
func TestTableLoad(t *testing.T) {
	runCluster(t, 32, func(t *testing.T, c *cluster) {
		time.Sleep(20 * time.Second)
		before := c.table.Counts()
		time.Sleep(100 * time.Second)
		after := c.table.Counts()
		writes, reads := float64(after.Writes-before.Writes)/100, float64(after.Reads-before.Reads)/100
		t.Logf("%.1f writes/s, %.1f reads/s", writes, reads)
		assert.Assert(t, writes <= 50 && reads <= 20)
	})
}

// TestCheckDetectsMissedDeath shows that the check fails when failed pings count as
// answered, so that a dead process stays in the lists.
func TestCheckDetectsMissedDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.alterConfig = func(cfg *member.Config) {
			ping := cfg.Ping
			cfg.Ping = func(ctx context.Context, to member.Member, h member.PingPayload) (member.PingPayload, error) {
				if out, err := ping(ctx, to, h); err == nil {
					return out, nil
				}
				return member.PingPayload{}, nil // a failed ping counts as answered
			}
		}
		for i := range 5 {
			c.start(i)
		}
		time.Sleep(3 * time.Second)
		assert.NilError(t, c.check())
		c.kill(name(1))
		time.Sleep(settleTime)
		assert.ErrorContains(t, c.check(), "which is dead")
		c.stopAll()
	})
}
