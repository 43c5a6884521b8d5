package beat_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/pacer"
)

const limitedServer = 4711 // hash of an incarnation

// checkRate checks what every running process knows of the rate of the limited server.
func checkRate(t *testing.T, n *net, want float64) {
	t.Helper()
	for _, name := range n.order {
		x := n.nodes[name]
		if x.frozen {
			continue
		}
		got := 0.0
		for _, r := range x.pacer.Records() {
			got = r.Rate
		}
		assert.Equal(t, got, want, name)
	}
}

// Guards against processes that learn of a rate only from their own answers, and against a process
// that starts without it.
func TestRatesReachAllProcesses(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		joinFleet(n, 30, 3, 99)
		n.run(3 * time.Second)
		x := n.nodes[n.order[17]]
		x.pacer.Observe(pacer.Statement{Server: limitedServer, Named: true, Rate: 6, SentAt: pacer.Now()})
		checkRate(t, n, 6) // at once
		n.run(time.Second)
		late := n.join("late", "domain-1", 192)
		n.introduceAll()
		n.run(3 * time.Second) // the lists of the hubs are 2 s apart
		assert.Equal(t, len(late.pacer.Records()), 1)

		// All datagrams of half a second are lost.
		n.cut = func(string, string) bool { return true }
		x.pacer.Observe(pacer.Statement{Server: limitedServer, SentAt: pacer.Now()})
		n.run(500 * time.Millisecond)
		n.cut = nil
		n.run(time.Second)
		checkRate(t, n, 0)
	})
}

// Guards against an old statement that counts as new because its datagram waited in a process that
// was frozen.
func TestOldDatagramDoesNotEndALimit(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := startTwoDomains(n)
		n.run(3 * time.Second)
		b.pacer.Observe(pacer.Statement{Server: limitedServer, Named: true, Rate: 6, SentAt: pacer.Now()})
		var held [][]byte
		n.capture = func(_, to string, raw []byte) {
			if to == "a" {
				held = append(held, raw)
			}
		}
		b.frozen, n.cut = false, func(_, to string) bool { return to == "a" }
		b.pacer.Observe(pacer.Statement{Server: limitedServer, SentAt: pacer.Now() + time.Millisecond})
		b.membership.ReportRates(b.pacer.Records())
		n.capture = nil
		time.Sleep(3 * time.Second)
		n.cut = nil
		a.pacer.Observe(pacer.Statement{Server: limitedServer, Named: true, Rate: 6, SentAt: pacer.Now()})
		for _, raw := range held {
			a.membership.Receive(raw)
		}
		assert.Assert(t, len(held) > 0)
		assert.Equal(t, a.pacer.Limited(), 1)
	})
}

// Guards against processes that together exceed the rate of a server while some of them start, are
// frozen, cut off or killed.
func TestRateHoldsWhileProcessesComeAndGo(t *testing.T) {
	for seed := range int64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runVirtual(t, func(t *testing.T, n *net) {
				r := rand.New(rand.NewSource(seed))
				rate := []float64{0.1, 0.5, 1, 2, 5, 15, 60}[r.Intn(7)]
				processes := 4 + r.Intn(20)
				joinFleet(n, processes, 1+r.Intn(4), 20)
				n.run(3 * time.Second)
				named := time.Now()
				var sentAt []time.Time
				cutUntil := map[string]time.Time{}
				frozenUntil := map[string]time.Time{}
				n.cut = func(from, to string) bool {
					return time.Now().Before(cutUntil[from]) || time.Now().Before(cutUntil[to]) || r.Float64() < 0.01
				}
				for time.Since(named) < 40*time.Second {
					switch name := n.order[r.Intn(len(n.order))]; r.Intn(60) {
					case 0:
						n.start(n.nodes[name])
						n.introduceAll()
					case 1:
						n.nodes[name].frozen, frozenUntil[name] = true, time.Now().Add(time.Duration(1+r.Intn(8))*time.Second)
					case 2:
						cutUntil[name] = time.Now().Add(time.Duration(1+r.Intn(20)) * time.Second)
					}
					for name, until := range frozenUntil {
						if time.Now().After(until) {
							n.nodes[name].frozen = false
							delete(frozenUntil, name)
						}
					}
					n.run(50 * time.Millisecond)
					for _, name := range n.order {
						x := n.nodes[name]
						for range 3 {
							if x.frozen {
								break
							}
							if _, ok := x.pacer.Reserve(limitedServer, 0); ok {
								sentAt = append(sentAt, time.Now())
								x.pacer.Observe(pacer.Statement{Server: limitedServer, Named: true, Rate: rate, SentAt: pacer.Now()})
							}
						}
					}
				}
				t.Logf("%d processes, rate %v: %d requests in 40 s", processes, rate, len(sentAt))
				checkWindows(t, sentAt, named.Add(3*time.Second), rate)
			})
		})
	}
}

// checkWindows checks that no 4 s from a time on have more requests than one and a half times the
// rate and 5.
func checkWindows(t *testing.T, sentAt []time.Time, from time.Time, rate float64) {
	t.Helper()
	const window = 4 * time.Second
	allowed := int(1.5*rate*window.Seconds()) + 5
	for i, begin := range sentAt {
		if begin.Before(from) {
			continue
		}
		n := 0
		for _, at := range sentAt[i:] {
			if at.Sub(begin) < window {
				n++
			}
		}
		assert.Assert(t, n <= allowed, "%d requests within 4 s at a rate of %v, %d allowed", n, rate, allowed)
	}
}
