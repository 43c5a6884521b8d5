package beat_test

import (
	"bytes"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/watch"
)

// net connects rings without a network.
type net struct {
	base   time.Time
	sealer *seal.Sealer
	nodes  map[string]*node // by name, which is the address too
	order  []string
	cut    func(from, to string) bool        // tells which datagrams are lost; nil for none
	tap    func(from, to string, raw []byte) // sees all datagrams; nil for nobody
}

// node is a process with a ring.
type node struct {
	ring   *beat.Membership
	peer   beat.Peer
	state  beat.State
	work   []beat.Work
	frozen bool
	next   time.Time // of its heartbeat
	sent   int       // bytes
	heard  []beat.Page
	dead   []uint64
	drops  map[string]int
}

func (n *net) platform() time.Duration { return time.Hour + time.Since(n.base) }

// join adds a process that is ready and knows the platform's tables.
func (n *net) join(name, domain string, weight uint32) *node {
	x := &node{state: beat.State{Ready: true, Settled: true}, drops: map[string]int{}}
	x.peer = beat.Peer{Name: name, Address: name, Callers: name + ":80", Domain: domain, Weight: weight}
	n.start(x)
	return x
}

// start begins a run of a process: it remembers nothing.
func (n *net) start(x *node) {
	name := x.peer.Name
	x.frozen = false
	x.ring = beat.New(beat.Config{
		Self: x.peer, Incarnation: rand.Uint64(), Sealer: n.sealer, Log: zerolog.Nop(),
		State:     func() beat.State { return x.state },
		Clock:     n.platform,
		Work:      func() []beat.Work { return x.work },
		OnPage:    func(p beat.Page) { x.heard = append(x.heard, p) },
		OnDead:    func(all []uint64) { x.dead = append(x.dead, all...) },
		OnDropped: func(reason string) { x.drops[reason]++ },
		Send: func(address string, b []byte) error {
			x.sent += len(b)
			if n.tap != nil {
				n.tap(name, address, b)
			}
			to := n.nodes[address]
			if to != nil && !to.frozen && !(n.cut != nil && n.cut(name, address)) {
				to.ring.Receive(b)
			}
			return nil
		},
	})
	if n.nodes[name] == nil {
		n.order = append(n.order, name)
	}
	n.nodes[name] = x
}

// acquaint tells each process of all others, as the state fetched at a start does.
func (n *net) acquaint() {
	var all []beat.Peer
	for _, name := range n.order {
		all = append(all, n.nodes[name].peer)
	}
	for _, x := range n.nodes {
		x.ring.AddPeers(all)
	}
}

// tick is the time between two heartbeats of the processes of small failure domains.
const tick = 250 * time.Millisecond

// run lets time pass. Processes send one after the other, at different moments.
func (n *net) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, name := range n.order {
			if x := n.nodes[name]; !x.frozen && !time.Now().Before(x.next) {
				x.ring.SendHeartbeat()
				x.next = time.Now().Add(x.ring.Interval())
			}
		}
		time.Sleep(tick / 5)
	}
}

func (n *net) hubs(domain string) []string {
	var out []string
	for _, name := range n.order {
		if x := n.nodes[name]; !x.frozen && x.peer.Domain == domain && x.ring.IsHub() {
			out = append(out, name)
		}
	}
	return out
}

func (n *net) pollers() int {
	out := 0
	for _, x := range n.nodes {
		if !x.frozen && x.ring.IsPoller() {
			out++
		}
	}
	return out
}

func virtual(t *testing.T, f func(t *testing.T, n *net)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		s := &seal.Sealer{}
		assert.NilError(t, s.AddKey(seal.NewKey(1)))
		f(t, &net{base: base, sealer: s, nodes: map[string]*node{}})
	})
}

// trio is a failure domain of three processes and one of one, which know each other.
func trio(n *net) (a, b, c, x *node) {
	a, b, c, x = n.join("a", "d", 800), n.join("b", "d", 200), n.join("c", "d", 200), n.join("x", "e", 200)
	n.acquaint()
	n.run(time.Second)
	return a, b, c, x
}

func checkCallers(t *testing.T, x *node, domain string, local int, want ...string) {
	t.Helper()
	got, n := x.ring.CallerAddresses(domain)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, n, local)
}

func checkHub(t *testing.T, n *net, domain string, want ...string) {
	t.Helper()
	assert.DeepEqual(t, n.hubs(domain), want)
}

// Guards against callers that are sent to a process that is silent, leaves or is not
// ready, from whichever process they ask.
func TestCallers(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, c, x := trio(n)
		checkCallers(t, a, "d", 2, "b:80", "c:80", "x:80")
		checkCallers(t, b, "d", 2, "a:80", "c:80", "x:80")
		checkCallers(t, x, "d", 3, "a:80", "b:80", "c:80")
		c.state.Ready = false
		n.run(time.Second)
		checkCallers(t, b, "d", 1, "a:80", "x:80")
		c.state.Ready, b.state.Leaving = true, true
		n.run(time.Second)
		checkCallers(t, c, "d", 1, "a:80", "x:80")
		b.frozen = true
		c.frozen = true
		n.run(2 * time.Second)
		checkCallers(t, a, "d", 0, "x:80")
		c.frozen = false
		n.run(time.Second)
		checkCallers(t, a, "d", 1, "c:80", "x:80")
		checkCallers(t, x, "f", 0, "a:80", "c:80")
	})
}

// Guards against a new process that the others learn of only when they read the
// platform's rows again.
func TestNewProcessMakesItselfKnown(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, _, x := trio(n)
		y := n.join("y", "d", 100)
		y.ring.AddPeers([]beat.Peer{a.peer})
		n.run(time.Second)
		checkCallers(t, b, "d", 3, "a:80", "c:80", "y:80", "x:80")
		for _, z := range []*node{a, b, x, y} {
			assert.Equal(t, z.ring.Size(), 5)
		}
	})
}

// Guards against processes of a failure domain that start together, know only a hub
// elsewhere, and each take themselves for the hub.
func TestStartWithAHubElsewhere(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		x := n.join("x", "e", 800)
		for _, name := range []string{"a", "b", "c", "g"} {
			n.join(name, "d", 200).ring.AddPeers([]beat.Peer{x.peer})
		}
		n.run(time.Second)
		checkHub(t, n, "d", "a")
		n.run(2 * time.Second)
		for _, name := range n.order {
			assert.Equal(t, n.nodes[name].ring.Size(), 5)
		}
	})
}

// Guards against a process that waits for the heartbeats of one that is no hub.
func TestRedirect(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		_, b, _, _ := trio(n)
		y := n.join("y", "d", 100)
		y.ring.AddPeers([]beat.Peer{b.peer})
		n.cut = func(from, to string) bool { return from == "a" && to == "y" && y.ring.Size() == 1 } // has not heard of y
		n.run(500 * time.Millisecond)
		n.cut = nil
		n.run(500 * time.Millisecond)
		checkHub(t, n, "d", "a")
		assert.Equal(t, y.ring.Size(), 5)
	})
}

// Guards against choices that ignore what other processes have at a server, or count
// this process's own work twice, and against work of a process that is gone.
func TestWorkOfOthers(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, c, x := trio(n)
		b.work = []beat.Work{{Server: "s", Streams: 3, Tokens: 6400}}
		c.work = []beat.Work{{Server: "s", Streams: 1, Tokens: 640}}
		x.work = []beat.Work{{Server: "s", Streams: 5, Tokens: 64}, {Server: "t", Streams: 1}}
		n.run(time.Second)
		check := func(x *node, streams int, tokens int64) {
			t.Helper()
			gotStreams, gotTokens := x.ring.PeerLoad("s")
			assert.Equal(t, gotStreams, streams)
			assert.Equal(t, gotTokens, tokens)
		}
		check(a, 9, 7104)
		check(b, 6, 704)
		check(c, 8, 6464)
		check(x, 4, 7040)
		b.frozen = true
		n.run(5 * time.Second)
		check(a, 6, 704)
		check(x, 1, 640)
	})
}

// Guards against a failure domain without a hub, or with one that the others do not
// hear, after the hub ended, was frozen, or lost all its neighbours.
func TestHub(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := trio(n)
		checkHub(t, n, "d", "a")
		checkHub(t, n, "e", "x")
		a.frozen = true
		n.run(1500 * time.Millisecond)
		checkHub(t, n, "d", "b")
		n.run(30 * time.Second)
		a.frozen = false
		n.run(time.Second)
		checkHub(t, n, "d", "a")
		assert.Equal(t, a.ring.Size(), 4)
		assert.Equal(t, b.ring.Size(), 4)
		checkCallers(t, b, "d", 2, "a:80", "c:80", "x:80")

		a.state.Leaving = true
		n.run(time.Second)
		checkHub(t, n, "d", "b")
		a.state = beat.State{Ready: true} // it started again and knows nothing yet
		n.start(a)
		n.run(time.Second)
		checkHub(t, n, "d", "b")
		a.state.Settled = true
		n.run(time.Second)
		checkHub(t, n, "d", "a")
	})
}

// Guards against processes that are cut off from their hub, or from all others, and
// believe nothing any more, and against parts of a failure domain that stay apart.
func TestPartition(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, c, x := trio(n)
		n.cut = func(from, to string) bool { return (from == "a") != (to == "a") }
		n.run(5 * time.Second)
		checkHub(t, n, "d", "a", "b")
		assert.Equal(t, a.ring.Size(), 1)
		assert.Equal(t, b.ring.Size(), 3)
		checkCallers(t, c, "d", 1, "b:80", "x:80")
		n.cut = nil
		n.run(3 * time.Second)
		checkHub(t, n, "d", "a")
		for _, y := range []*node{a, b, c, x} {
			assert.Equal(t, y.ring.Size(), 4, y.peer.Name)
		}
	})
}

// Guards against calls to the platform that grow with the processes or the failure
// domains, and against a fleet in which nobody polls.
func TestPollers(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		for _, domain := range []string{"d", "e", "f", "g"} {
			for _, name := range []string{"1", "2", "3"} {
				n.join(domain+name, domain, 200)
			}
		}
		n.acquaint()
		n.run(time.Second)
		assert.Equal(t, n.pollers(), 2)
		n.nodes["d1"].frozen = true
		n.run(2 * time.Second)
		assert.Equal(t, n.pollers(), 2)
		for _, x := range n.nodes {
			x.state.Ready = false // in an outage nobody is
		}
		n.run(2 * time.Second)
		assert.Equal(t, n.pollers(), 2)
	})
}

// Guards against a process that reads the lease row of a holder that lives, against
// one that never does after the holder died, and against one that waits although the
// holder said that it has ended.
func TestHolderIsKnown(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		_, b, c, x := trio(n)
		b.state.Lease = beat.Lease{Fence: 1, Revision: 7, Until: clock.Now() + 5*time.Second}
		n.run(time.Second)
		assert.Assert(t, c.ring.LeaseHeldByPeer(0))
		assert.Assert(t, x.ring.LeaseHeldByPeer(0))
		b.frozen = true
		n.run(3 * time.Second)
		assert.Assert(t, x.ring.LeaseHeldByPeer(0))
		n.run(2 * time.Second)
		assert.Assert(t, !x.ring.LeaseHeldByPeer(0))
		assert.Assert(t, !c.ring.LeaseHeldByPeer(0))
		b.frozen = false
		b.state.Lease = beat.Lease{Fence: 2, Revision: 9, Until: clock.Now() + time.Minute}
		n.run(time.Second)
		assert.Assert(t, x.ring.LeaseHeldByPeer(0))
		b.state.Lease.Ended = true
		n.run(time.Second)
		assert.Assert(t, !x.ring.LeaseHeldByPeer(0))
	})
}

// Guards against changes that a process polled and that do not reach the others.
func TestShare(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, c, x := trio(n)
		page := beat.Page{
			Watermark: beat.Watermark{Table: "servers", Changed: 9, Clock: 3 * time.Second}, After: 5, Revision: 11,
			Rows: []watch.Row{{Key: "i-1", Value: []byte("v"), Revision: 9}, {Key: "i-2", Revision: 8, Deleted: true}},
		}
		x.ring.ShareChanges(page)
		for _, y := range []*node{a, b, c} {
			assert.DeepEqual(t, y.heard, []beat.Page{page})
		}
		page.Rows[0].Value = bytes.Repeat([]byte("route"), 20<<10) // a configuration of 100 KB
		b.ring.ShareChanges(page)
		for _, y := range []*node{a, c, x} {
			assert.DeepEqual(t, y.heard[len(y.heard)-1], page)
		}
		count := len(c.heard)
		page.Rows[0].Value = make([]byte, 100<<10)
		_, _ = rand.New(rand.NewSource(1)).Read(page.Rows[0].Value)
		a.ring.ShareChanges(page)
		assert.Equal(t, len(c.heard), count) // too long for a datagram; the others read it
	})
}

// Guards against each of many processes that finds the same dead server by itself
// (1,167 refused attempts on a day of 76 processes), and against a flood of
// alerts.
func TestAlert(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, c, x := trio(n)
		b.ring.ReportDead("i-1")
		b.ring.ReportDead("i-1")
		for _, y := range []*node{a, c, x} {
			assert.DeepEqual(t, y.dead, []uint64{beat.Hash("i-1")})
		}
		x.ring.ReportDead("i-1") // it has just been told
		assert.Equal(t, len(a.dead), 1)
		time.Sleep(2 * time.Second)
		x.ring.ReportDead("i-1")
		for _, y := range []*node{a, b, c} {
			assert.DeepEqual(t, y.dead[len(y.dead)-1], beat.Hash("i-1"))
		}
	})
}
