package beat_test

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
)

// large adds the fleet of docs/CAPACITY.md, which takes a minute with the race
// detector: go test ./beat -run Fleets -v -args -large
var large = flag.Bool("large", false, "also simulate 980 processes")

// joinFleet adds processes in several failure domains, each with a few larger ones, and
// gives them streams at some of the servers.
func joinFleet(n *net, processes, domains, servers int) {
	for i := range processes {
		weight := uint32(192)
		if i/domains < 3 {
			weight = 800
		}
		x := n.join(fmt.Sprintf("front-%04d", i), fmt.Sprintf("domain-%d", i%domains), weight)
		for j := range 3 {
			x.work = append(x.work, beat.Work{Server: fmt.Sprintf("i-%d", (i*31+j*977)%servers), Streams: 1 + i%2, Tokens: 9000})
		}
	}
	n.introduceAll()
}

// agreesOn reports whether every running process knows their number, and each failure
// domain has one hub.
func (n *net) agreesOn(want int) bool {
	hubs := map[string]int{}
	for _, x := range n.nodes {
		if x.frozen {
			continue
		}
		if x.membership.Size() != want {
			return false
		}
		if x.membership.IsHub() {
			hubs[x.peer.Domain]++
		}
	}
	for _, k := range hubs {
		if k != 1 {
			return false
		}
	}
	return true
}

// awaitAgreement returns the time until the running processes agree on their number.
func (n *net) awaitAgreement(t *testing.T, want int, timeout time.Duration) time.Duration {
	t.Helper()
	begun := time.Now()
	for !n.agreesOn(want) {
		assert.Assert(t, time.Since(begun) < timeout, "no agreement on %d processes after %v", want, timeout)
		n.run(tick)
	}
	return time.Since(begun)
}

// Guards against heartbeat traffic that grows with the square of the number of processes,
// and against a fleet that does not converge after losses, freezes, a partition and
// restarts. A process may use 13 KB/s for control traffic.
func TestFleets(t *testing.T) {
	sizes := []struct{ processes, domains, servers int }{{30, 3, 99}, {300, 5, 218}}
	if *large {
		sizes = append(sizes, struct{ processes, domains, servers int }{980, 9, 4000})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.processes), func(t *testing.T) {
			runVirtual(t, func(t *testing.T, n *net) {
				r := rand.New(rand.NewSource(int64(size.processes)))
				joinFleet(n, size.processes, size.domains, size.servers)
				lossy := func(string, string) bool { return r.Float64() < 0.01 }
				n.cut = lossy
				n.run(2 * time.Second)
				assert.Assert(t, n.agreesOn(size.processes))

				for _, x := range n.nodes {
					x.sent = 0
				}
				const watched = 4
				n.run(watched * time.Second)
				members, hubs, busiest := 0, 0, 0
				for _, x := range n.nodes {
					switch {
					case x.membership.IsHub():
						hubs += x.sent
						busiest = max(busiest, x.sent)
					default:
						members = max(members, x.sent)
					}
				}
				t.Logf("%d processes: a member sends %d B/s at most, a hub %d B/s, the busiest %d B/s",
					size.processes, members/watched, hubs/size.domains/watched, busiest/watched)
				assert.Assert(t, members/watched < 13_000)
				assert.Assert(t, hubs/watched/size.processes < 13_000, "what a member receives")

				check := func(what string, want int) {
					t.Helper()
					took := n.awaitAgreement(t, want, 8*time.Second)
					t.Logf("%s: %v", what, took)
				}
				gone := 0
				for i, name := range n.order {
					if i < size.domains || r.Float64() < 0.1 { // all hubs, and a tenth of the rest
						n.nodes[name].frozen = true
						gone++
					}
				}
				check("the hubs and a tenth of the others gone", size.processes-gone)
				for _, x := range n.nodes {
					x.frozen = false
				}
				check("back, with their old state", size.processes)
				n.cut = func(from, to string) bool {
					return lossy(from, to) || (n.nodes[from].peer.Domain == "domain-1") != (n.nodes[to].peer.Domain == "domain-1")
				}
				n.run(5 * time.Second)
				n.cut = lossy
				check("a failure domain partitioned and reconnected", size.processes)
				seeds := n.nodes[n.order[len(n.order)-1]].membership.Peers()
				for i, name := range n.order {
					if i%2 == 0 {
						n.start(n.nodes[name])
						n.nodes[name].membership.AddPeers(seeds)
					}
				}
				check("half restarted", size.processes)
			})
		})
	}
}
