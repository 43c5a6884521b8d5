package beat_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// net delivers datagrams between memberships in memory.
type net struct {
	base    time.Time
	sealer  *seal.Sealer
	nodes   map[string]*node // by name, which is the address too
	order   []string
	cut     func(from, to string) bool        // reports which datagrams are lost; nil for none
	capture func(from, to string, raw []byte) // receives a copy of each datagram; may be nil
}

// node is a simulated entry process.
type node struct {
	membership *beat.Membership
	peer       beat.Peer
	state      beat.State
	work       []beat.Work
	frozen     bool
	next       time.Time // when its next heartbeat is due
	sent       int       // bytes sent
	pages      []beat.Page
	watermarks []beat.Watermark
	follower   *platformFollower // nil in most tests
	dead       []uint64
	drops      map[string]int
	poison     *poison.Tracker
	pacer      *pacer.Pacer
	intake     *intake.Tracker
}

func (n *net) platform() time.Duration { return time.Hour + time.Since(n.base) }

// join adds a ready process that has a configuration.
func (n *net) join(name, domain string, weight uint32) *node {
	x := &node{state: beat.State{Ready: true, Settled: true}, drops: map[string]int{}}
	x.peer = beat.Peer{Name: name, Address: name, CallerAddress: name + ":80", Domain: domain, Weight: weight}
	n.start(x)
	return x
}

// start starts or restarts a process without any knowledge of others.
func (n *net) start(x *node) {
	name := x.peer.Name
	x.frozen = false
	x.poison = poison.New(poison.Config{Log: zerolog.Nop(), Announce: func(all []poison.Record) { x.membership.ReportSuspects(all) }})
	x.pacer = pacer.New(pacer.Config{
		Log: zerolog.Nop(), Fleet: func() pacer.Fleet { return x.membership.Fleet() }, Announce: func(all []pacer.Record) { x.membership.ReportRates(all) },
	})
	x.intake = intake.New(intake.Config{Log: zerolog.Nop(), Announce: func(all []intake.Record) { x.membership.ReportLeavers(all) }})
	x.membership = beat.New(beat.Config{
		Self: x.peer, Incarnation: rand.Uint64(), Sealer: n.sealer, Log: zerolog.Nop(),
		State: func() beat.State {
			s := x.state
			s.Watermarks = append(s.Watermarks, x.follower.watermarks()...)
			return s
		},
		Clock: n.platform,
		Work:  func() []beat.Work { return x.work },
		OnPage: func(p beat.Page) {
			x.pages = append(x.pages, p)
			x.follower.offer(p)
		},
		OnWatermark: func(w beat.Watermark) {
			x.watermarks = append(x.watermarks, w)
			x.follower.observe(w)
		},
		OnDead:    func(all []uint64) { x.dead = append(x.dead, all...) },
		OnDropped: func(reason string) { x.drops[reason]++ },
		Suspects: func() beat.Suspects {
			return beat.Suspects{Own: x.poison.Recent(true), Changed: x.poison.Recent(false), All: x.poison.Records()}
		},
		Rates: func() beat.Rates {
			return beat.Rates{Own: x.pacer.Recent(true), Changed: x.pacer.Recent(false), All: x.pacer.Records()}
		},
		Leavers: func() beat.Leavers {
			return beat.Leavers{Own: x.intake.Recent(true), Changed: x.intake.Recent(false), All: x.intake.Records()}
		},
		OnRates:    func(all []pacer.Record) { x.pacer.Merge(all) },
		OnLeavers:  func(all []intake.Record) { x.intake.Merge(all) },
		OnSuspects: func(all []poison.Record) { x.poison.Merge(all) },
		Send: func(address string, b []byte) error {
			x.sent += len(b)
			if n.capture != nil {
				n.capture(name, address, b)
			}
			to := n.nodes[address]
			if to != nil && !to.frozen && !(n.cut != nil && n.cut(name, address)) {
				to.membership.Receive(b)
			}
			return nil
		},
	})
	if n.nodes[name] == nil {
		n.order = append(n.order, name)
	}
	n.nodes[name] = x
}

// introduceAll gives each process the addresses of all others, as the state fetched at a
// start does.
func (n *net) introduceAll() {
	var all []beat.Peer
	for _, name := range n.order {
		all = append(all, n.nodes[name].peer)
	}
	for _, x := range n.nodes {
		x.membership.AddPeers(all)
	}
}

// tick is the time between two heartbeats of the processes of small failure domains.
const tick = 250 * time.Millisecond

// run lets time pass. Processes send one after the other, at different moments.
func (n *net) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, name := range n.order {
			if x := n.nodes[name]; !x.frozen && !time.Now().Before(x.next) {
				x.membership.SendHeartbeat()
				x.next = time.Now().Add(x.membership.Interval())
			}
		}
		time.Sleep(tick / 5)
	}
}

func (n *net) hubs(domain string) []string {
	var out []string
	for _, name := range n.order {
		if x := n.nodes[name]; !x.frozen && x.peer.Domain == domain && x.membership.IsHub() {
			out = append(out, name)
		}
	}
	return out
}

func (n *net) pollers() int {
	out := 0
	for _, x := range n.nodes {
		if !x.frozen && x.membership.IsPoller() {
			out++
		}
	}
	return out
}

func runVirtual(t *testing.T, f func(t *testing.T, n *net)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		s := &seal.Sealer{}
		assert.NilError(t, s.AddKey(seal.NewKey(1)))
		f(t, &net{base: base, sealer: s, nodes: map[string]*node{}})
	})
}

// startTwoDomains starts three processes in failure domain d and one in e, all of which
// know each other.
func startTwoDomains(n *net) (a, b, c, x *node) {
	a, b, c, x = n.join("a", "d", 800), n.join("b", "d", 200), n.join("c", "d", 200), n.join("x", "e", 200)
	n.introduceAll()
	n.run(time.Second)
	return a, b, c, x
}

func checkCallers(t *testing.T, x *node, domain string, local int, want ...string) {
	t.Helper()
	got, n := x.membership.CallerAddresses(domain)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, n, local)
}

func checkHub(t *testing.T, n *net, domain string, want ...string) {
	t.Helper()
	assert.DeepEqual(t, n.hubs(domain), want)
}

// Guards against sending callers to a process that is silent, leaving or not ready, whichever
// process they ask.
func TestCallers(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
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
func TestNewProcessAnnouncesItself(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, _, x := startTwoDomains(n)
		y := n.join("y", "d", 100)
		y.membership.AddPeers([]beat.Peer{a.peer})
		n.run(time.Second)
		checkCallers(t, b, "d", 3, "a:80", "c:80", "y:80", "x:80")
		for _, z := range []*node{a, b, x, y} {
			assert.Equal(t, z.membership.Size(), 5)
		}
	})
}

// Guards against several hubs when processes of a failure domain start together and know
// only a hub of another domain.
func TestStartWithRemoteHub(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		x := n.join("x", "e", 800)
		for _, name := range []string{"a", "b", "c", "g"} {
			n.join(name, "d", 200).membership.AddPeers([]beat.Peer{x.peer})
		}
		n.run(time.Second)
		checkHub(t, n, "d", "a")
		n.run(2 * time.Second)
		for _, name := range n.order {
			assert.Equal(t, n.nodes[name].membership.Size(), 5)
		}
	})
}

// Guards against a process that sends its heartbeats to a process that is not the hub.
func TestRedirectToHub(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		_, b, _, _ := startTwoDomains(n)
		y := n.join("y", "d", 100)
		y.membership.AddPeers([]beat.Peer{b.peer})
		n.cut = func(from, to string) bool { return from == "a" && to == "y" && y.membership.Size() == 1 } // a does not know y yet
		n.run(500 * time.Millisecond)
		n.cut = nil
		n.run(500 * time.Millisecond)
		checkHub(t, n, "d", "a")
		assert.Equal(t, y.membership.Size(), 5)
	})
}

// Guards against choosing servers without the load of other processes, against counting
// this process's own load twice, and against counting the load of a process that is gone.
func TestPeerLoad(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		b.work = []beat.Work{{Server: "s", Streams: 3, Tokens: 6400}}
		c.work = []beat.Work{{Server: "s", Streams: 1, Tokens: 640}}
		x.work = []beat.Work{{Server: "s", Streams: 5, Tokens: 64}, {Server: "t", Streams: 1}}
		n.run(time.Second)
		check := func(x *node, streams int, tokens int64) {
			t.Helper()
			gotStreams, gotTokens := x.membership.PeerLoad("s")
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

// Guards against an age of the others' load that leaves out its way to this process, or that does not grow while no
// heartbeat of the hub arrives.
func TestPeerReport(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := startTwoDomains(n)
		n.run(time.Second)
		for _, x := range []*node{a, b} {
			age, processes := x.membership.PeerReport()
			assert.Equal(t, processes, 4)
			assert.Assert(t, age >= 250*time.Millisecond && age <= 600*time.Millisecond, "%v", age)
		}
		a.frozen = true
		n.run(900 * time.Millisecond)
		age, _ := b.membership.PeerReport()
		assert.Assert(t, age >= 900*time.Millisecond, "%v", age)
	})
}

// Guards against a failure domain without a reachable hub after the hub ended, was frozen
// or lost contact with all other processes.
func TestHubElection(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := startTwoDomains(n)
		checkHub(t, n, "d", "a")
		checkHub(t, n, "e", "x")
		a.frozen = true
		n.run(1500 * time.Millisecond)
		checkHub(t, n, "d", "b")
		n.run(30 * time.Second)
		a.frozen = false
		n.run(time.Second)
		checkHub(t, n, "d", "a")
		assert.Equal(t, a.membership.Size(), 4)
		assert.Equal(t, b.membership.Size(), 4)
		checkCallers(t, b, "d", 2, "a:80", "c:80", "x:80")

		a.state.Leaving = true
		n.run(time.Second)
		checkHub(t, n, "d", "b")
		a.state = beat.State{Ready: true} // restarted, without a configuration
		n.start(a)
		n.run(time.Second)
		checkHub(t, n, "d", "b")
		a.state.Settled = true
		n.run(time.Second)
		checkHub(t, n, "d", "a")
	})
}

// Guards against processes that drop all state when they are cut off from the hub or from
// everyone, and against parts of a failure domain that do not merge again.
func TestPartition(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		n.cut = func(from, to string) bool { return (from == "a") != (to == "a") }
		n.run(5 * time.Second)
		checkHub(t, n, "d", "a", "b")
		assert.Equal(t, a.membership.Size(), 1)
		assert.Equal(t, b.membership.Size(), 3)
		checkCallers(t, c, "d", 1, "b:80", "x:80")
		n.cut = nil
		n.run(3 * time.Second)
		checkHub(t, n, "d", "a")
		for _, y := range []*node{a, b, c, x} {
			assert.Equal(t, y.membership.Size(), 4, y.peer.Name)
		}
	})
}

// Guards against calls to the platform that grow with the number of processes or failure
// domains, and against a fleet without a poller.
func TestPollers(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		for _, domain := range []string{"d", "e", "f", "g"} {
			for _, name := range []string{"1", "2", "3"} {
				n.join(domain+name, domain, 200)
			}
		}
		n.introduceAll()
		n.run(time.Second)
		assert.Equal(t, n.pollers(), 2)
		n.nodes["d1"].frozen = true
		n.run(2 * time.Second)
		assert.Equal(t, n.pollers(), 2)
		for _, x := range n.nodes {
			x.state.Ready = false // during an outage no process is ready
		}
		n.run(2 * time.Second)
		assert.Equal(t, n.pollers(), 2)
	})
}

// Guards against reading the lease row while the holder is alive, against never reading
// it after the holder died, and against waiting although the holder announced the end of
// its lease.
func TestLeaseHolderAnnounced(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		_, b, c, x := startTwoDomains(n)
		b.state.Lease = beat.Lease{Fence: 1, Revision: 7, Until: clock.Now() + 5*time.Second}
		n.run(time.Second)
		assert.Assert(t, c.membership.LeaseHeldByPeer(0))
		assert.Assert(t, x.membership.LeaseHeldByPeer(0))
		b.frozen = true
		n.run(3 * time.Second)
		assert.Assert(t, x.membership.LeaseHeldByPeer(0))
		n.run(2 * time.Second)
		assert.Assert(t, !x.membership.LeaseHeldByPeer(0))
		assert.Assert(t, !c.membership.LeaseHeldByPeer(0))
		b.frozen = false
		b.state.Lease = beat.Lease{Fence: 2, Revision: 9, Until: clock.Now() + time.Minute}
		n.run(time.Second)
		assert.Assert(t, x.membership.LeaseHeldByPeer(0))
		b.state.Lease.Ended = true
		n.run(time.Second)
		assert.Assert(t, !x.membership.LeaseHeldByPeer(0))
	})
}

// Guards against polled changes that do not reach the other processes.
func TestShareChanges(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		page := beat.Page{
			Watermark: beat.Watermark{Table: "servers", Changed: 9, Clock: 3 * time.Second}, After: 5, Revision: 11,
			Rows: []watch.Row{{Key: "i-1", Value: []byte("v"), Revision: 9}, {Key: "i-2", Revision: 8, Deleted: true}},
		}
		x.membership.ShareChanges(page)
		for _, y := range []*node{a, b, c} {
			assert.DeepEqual(t, y.pages, []beat.Page{page})
		}
		page.Rows[0].Value = bytes.Repeat([]byte("route"), 20<<10) // a configuration of 100 KB
		b.membership.ShareChanges(page)
		for _, y := range []*node{a, c, x} {
			assert.DeepEqual(t, y.pages[len(y.pages)-1], page)
		}
		count := len(c.pages)
		page.Rows[0].Value = make([]byte, 100<<10)
		_, _ = rand.New(rand.NewSource(1)).Read(page.Rows[0].Value)
		a.membership.ShareChanges(page)
		assert.Equal(t, len(c.pages), count) // too large for a datagram; the others read it from the platform
	})
}

// Guards against every process finding the same dead server by itself (1,167 refused
// attempts in one run with 76 processes), and against a flood of reports.
func TestReportDead(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		b.membership.ReportDead("i-1")
		b.membership.ReportDead("i-1")
		for _, y := range []*node{a, c, x} {
			assert.DeepEqual(t, y.dead, []uint64{beat.ServerHash("i-1")})
		}
		x.membership.ReportDead("i-1") // was just reported
		assert.Equal(t, len(a.dead), 1)
		time.Sleep(2 * time.Second)
		x.membership.ReportDead("i-1")
		for _, y := range []*node{a, b, c} {
			assert.DeepEqual(t, y.dead[len(y.dead)-1], beat.ServerHash("i-1"))
		}
	})
}

// crash lets a server crash on a request at this process.
func (x *node) crash(server uint64) {
	x.poison.RecordCut(server, server, poison.PartsOf("s", []string{"deadly", "own"}))
	x.poison.RecordCrash(server)
}

func checkBlocked(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, x := range nodes {
		_, left, ok := x.poison.Blocked([]poison.Part{{Service: "s", ID: "deadly"}})
		assert.Assert(t, ok, "process %s does not know that the part is quarantined", x.peer.Name)
		assert.Assert(t, left > 9*time.Minute && left <= 10*time.Minute, "%v", left)
	}
}

// Guards against evidence that stays in the process that saw a crash: it must reach all others at
// once, by way of the hubs.
func TestReportSuspects(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		for i, y := range []*node{b, c, x} {
			y.crash(uint64(i))
			time.Sleep(200 * time.Millisecond)
		}
		checkBlocked(t, a, b, c, x)
	})
}

// Guards against evidence that is lost with a datagram, with the hub that should pass it on, or
// because a process was away when it was told.
func TestLostSuspectsAreRepeated(t *testing.T) {
	for name, report := range map[string]func(n *net, hub, member *node, crashes func()){
		"datagrams": func(n *net, _, _ *node, crashes func()) {
			n.cut = func(string, string) bool { return true }
			crashes()
			n.cut = nil
		},
		"hub": func(_ *net, hub, _ *node, crashes func()) {
			hub.frozen = true
			crashes()
		},
		"member away": func(n *net, _, member *node, crashes func()) {
			member.frozen = true
			crashes()
			n.run(10 * time.Second)
			member.frozen = false
		},
		"member started later": func(n *net, hub, member *node, crashes func()) {
			member.frozen = true
			crashes()
			n.run(10 * time.Second)
			n.start(member)
			member.membership.AddPeers([]beat.Peer{hub.peer})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, func(t *testing.T, n *net) {
				a, b, c, x := startTwoDomains(n)
				report(n, a, c, func() {
					for i := range 3 {
						b.crash(uint64(i))
						time.Sleep(200 * time.Millisecond)
					}
				})
				n.run(4 * time.Second)
				checkBlocked(t, b, c, x)
			})
		})
	}
}

// Guards against heartbeats that exceed the traffic of a process: the records of as many parts as a
// message holds, sent every two seconds, must stay under half of its 13 KB a second.
func TestSuspectsFitIntoHeartbeats(t *testing.T) {
	size := func(parts, crashes int) int {
		var all []poison.Record
		for i := range parts {
			r := poison.Record{Part: poison.Part{Service: "dele69a", ID: fmt.Sprintf("%012x", i)}, AnsweredAt: poison.Now(), Since: poison.Now(), Until: poison.Now() + time.Hour, Terms: 1}
			for range crashes {
				r.Crashes = append(r.Crashes, poison.Crash{Server: rand.Uint64(), Request: rand.Uint64(), At: poison.Now() - time.Minute})
			}
			all = append(all, r)
		}
		return proto.Size(&wire.Beat{Suspects: beat.EncodeSuspects(all)})
	}
	t.Logf("bytes of one part with three crashes: %d; of 32 parts with eight: %d", size(1, 3), size(32, 8))
	assert.Assert(t, size(32, 8)/2 < 13_000/2, "%d bytes", size(32, 8))
}

// Guards against records of a wrong form, which any process of the system could send after a change
// of the format.
func TestMalformedSuspectsAreLeftOut(t *testing.T) {
	got := beat.DecodeSuspects([]*wire.Suspect{
		{Service: "s", Part: "short", Servers: []uint64{1, 2}, Requests: []uint64{1}, Ages: []uint32{1, 2}},
		{Service: "s", Part: "old", Servers: []uint64{1}, Requests: []uint64{1}, Ages: []uint32{math.MaxUint32}, Terms: 1, Left: math.MaxInt32},
	}, 0)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Crashes[0].At > 0)
	assert.Assert(t, got[0].Until-poison.Now() <= poison.MaxTerm)
}

// Guards against one crash that counts as two, since the message about it waited in a process that was
// frozen.
func TestCrashInAnOldDatagramCountsOnce(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		var held [][]byte
		n.capture = func(_, to string, raw []byte) {
			if to == "a" {
				held = append(held, raw)
			}
		}
		n.cut = func(_, to string) bool { return to == "a" }
		b.crash(1)
		n.capture = nil
		time.Sleep(3 * time.Second)
		n.cut = nil
		for _, raw := range held {
			a.membership.Receive(raw)
		}
		b.membership.ReportSuspects(b.poison.Records())
		for _, y := range []*node{a, c, x} {
			records := y.poison.Records()
			assert.Equal(t, len(records), 1)
			assert.Equal(t, len(records[0].Crashes), 1, "process %s", y.peer.Name)
		}
	})
}

// Guards against a crash that is not announced, since the parts of prompts that the server had make the
// message longer than a datagram.
func TestAnnouncementFitsADatagram(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, _ := startTwoDomains(n)
		longest := 0
		n.capture = func(_, _ string, raw []byte) { longest = max(longest, len(raw)) }
		var records []poison.Record
		for i := range 1000 {
			records = append(records, poison.Record{Part: poison.Part{Service: "s", ID: fmt.Sprintf("%064d", i)}, Crashes: []poison.Crash{{Server: 1, Request: 1, At: poison.Now()}}})
		}
		b.membership.ReportSuspects(records)
		assert.Assert(t, longest < maxDatagram, "%d bytes", longest)
		for _, x := range []*node{a, c} {
			suspected, _ := x.poison.Counts(false)
			assert.Equal(t, suspected, 256)
		}
	})
}

// maxDatagram is what UDP carries over IPv4, in bytes.
const maxDatagram = 65507

// Guards against a hub that does not reach the platform and stays the hub.
func TestHubWithoutPlatformIsReplaced(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		checkHub(t, n, "d", "a")
		a.state.Settled = false
		n.run(time.Second)
		checkHub(t, n, "d", "b")
		n.run(2 * time.Second)
		for _, y := range []*node{a, b, c, x} {
			assert.Equal(t, y.membership.Size(), 4)
		}
		a.state.Settled = true
		n.run(time.Second)
		checkHub(t, n, "d", "a")
	})
}

// Guards against two processes that poll the platform at the same time because both come next.
func TestRank(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		check := func(want ...int) {
			t.Helper()
			assert.DeepEqual(t, []int{a.membership.Rank(), b.membership.Rank(), c.membership.Rank(), x.membership.Rank()}, want)
		}
		check(0, 1, 2, 0)
		b.state.Settled = false
		n.run(3 * time.Second)
		check(0, 2, 1, 0)
	})
}

// Guards against answers of the platform that reach the others only through the hub, which may be gone, and
// against datagrams that a hub sends again.
func TestAnswerOfAMember(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, c, x := startTwoDomains(n)
		w := beat.Watermark{Table: "op", Changed: 7, Clock: n.platform()}
		b.membership.ShareWatermark(w)
		b.membership.ShareChanges(beat.Page{Watermark: w, After: 5, Revision: 7})
		assert.Equal(t, len(a.pages), 1)
		assert.Equal(t, len(c.pages), 1)
		assert.Equal(t, len(x.pages), 1)
		assert.DeepEqual(t, c.watermarks, []beat.Watermark{w, w})
		a.frozen = true
		b.membership.ShareChanges(beat.Page{Watermark: w, After: 7, Revision: 8})
		assert.Equal(t, len(c.pages), 2)
	})
}
