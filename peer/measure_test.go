package peer_test

import (
	"flag"
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
)

// The figures of docs/notes/membership.md come from
// go test -run TestMeasure -v -timeout 10m ./peer -args -measure
var measure = flag.Bool("measure", false, "run the measurements")

// clusterSizes are the numbers of processes to measure.
var clusterSizes = []int{8, 32, 128}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// wireBytes returns the bytes that all processes together sent and received.
func (c *cluster) wireBytes() (n uint64) {
	for _, p := range c.running() {
		for _, direction := range []string{"sent", "received"} {
			n += p.transport.Metrics().GetOrCreateCounter(fmt.Sprintf(`cranberrybay_peer_wire_bytes{way=%q}`, direction)).Get()
		}
	}
	return n
}

// TestMeasureControl measures the load of the membership at rest, in real time.
func TestMeasureControl(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, n := range clusterSizes {
		c := newCluster(t, latency)
		for i := range n {
			c.start(i)
		}
		time.Sleep(10 * time.Second)
		assert.NilError(t, c.checkLists())
		const window = 20 * time.Second
		counts, bytes, cpu := c.table.Counts(), c.wireBytes(), cpuTime()
		time.Sleep(window)
		after, sec := c.table.Counts(), window.Seconds()
		sessions := 0
		for _, p := range c.running() {
			sessions += p.transport.Sessions()
		}
		t.Logf("n=%d: table %.1f writes/s %.1f reads/s together; each process %.0f B/s sent and received, %.2f ms/s processor time, %.1f sessions",
			n, float64(after.Writes-counts.Writes)/sec, float64(after.Reads-counts.Reads)/sec,
			float64(c.wireBytes()-bytes)/sec/float64(n), float64((cpuTime()-cpu).Microseconds())/1000/sec/float64(n), float64(sessions)/float64(n))
		c.killAll()
	}
}

// TestMeasureAnnounce measures, in real time, how long an announcement takes to
// reach the last process.
func TestMeasureAnnounce(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, n := range clusterSizes {
		c := newCluster(t, latency)
		for i := range n {
			c.start(i)
		}
		time.Sleep(10 * time.Second)
		var took []time.Duration
		for v := range 20 {
			from := c.running()[hostName(rand.Intn(n))]
			start := time.Now()
			from.announce(peer.VersionAnnouncement{Version: uint64(v + 1)})
			last := time.Duration(0)
			deadline := time.Now().Add(5 * time.Second)
			for _, p := range c.running() {
				for p != from && time.Now().Before(deadline) {
					p.mu.Lock()
					have, at := p.version, p.at
					p.mu.Unlock()
					if have == uint64(v+1) {
						last = max(last, at.Sub(start))
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			took = append(took, last)
		}
		first := took[0]
		slices.Sort(took)
		t.Logf("n=%d: last process after %v (first of 20, most sessions not open), median %v, longest %v", n, first, took[10], took[19])
		c.killAll()
	}
}

// TestMeasureDetection measures, in virtual time, how long a dead process stays in
// any member list.
func TestMeasureDetection(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	for _, n := range clusterSizes {
		for _, silent := range []bool{false, true} {
			runInBubble(t, func(t *testing.T) {
				c := newCluster(t, 0)
				defer c.killAll()
				for i := range n {
					c.start(i)
				}
				time.Sleep(10 * time.Second)
				r := rand.New(rand.NewSource(1))
				var took []time.Duration
				for range 30 {
					i := r.Intn(n)
					time.Sleep(time.Duration(r.Intn(1000)) * time.Millisecond)
					synctest.Wait()
					if silent { // the VM is lost: nothing answers, connections are not closed
						for k := range n {
							c.net.Cut(hostName(i), hostName(k), true)
							c.net.Cut(hostName(k), hostName(i), true)
						}
					}
					start := time.Now()
					if silent {
						c.mu.Lock()
						p := c.procs[hostName(i)]
						delete(c.procs, hostName(i))
						c.mu.Unlock()
						p.setPaused(true)
						defer func() {
							p.setPaused(false)
							p.members.StopSilently()
							p.transport.Close()
						}()
					} else {
						c.kill(hostName(i))
					}
					for c.checkLists() != nil {
						assert.Assert(t, time.Since(start) < time.Minute)
						time.Sleep(50 * time.Millisecond)
					}
					took = append(took, time.Since(start))
					for k := range n {
						c.net.Cut(hostName(i), hostName(k), false)
						c.net.Cut(hostName(k), hostName(i), false)
					}
					c.net.Kill(hostName(i))
					c.start(i)
					time.Sleep(5 * time.Second)
				}
				slices.Sort(took)
				t.Logf("n=%d silent=%v: %d deaths, gone from all lists after median %v, 99th %v", n, silent, len(took), took[len(took)/2], took[len(took)-1])
			})
		}
	}
}

// TestMeasureSession measures the memory and the goroutines of an open session.
func TestMeasureSession(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	const n = 200
	nw := fakes.NewNetwork(0, 0)
	server := startTransport(t, nw, authority, "hub", "hub/1", pingHandlers(1))
	var clients []*peer.Transport
	for i := range n {
		clients = append(clients, startTransport(t, nw, authority, hostName(i), hostName(i)+"/1", pingHandlers(1)))
	}
	memoryInUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before, goroutines := memoryInUse(), runtime.NumGoroutine()
	for _, s := range clients {
		_, err := s.Ping(t.Context(), target("hub", "hub/1"), member.PingPayload{})
		assert.NilError(t, err)
	}
	time.Sleep(time.Second)
	assert.Equal(t, server.Sessions(), n)
	// The figure includes the four goroutines that fakes.Network runs for each
	// connection to copy its data.
	t.Logf("%d sessions: %.1f KB and %.1f goroutines for each end", n, float64(memoryInUse()-before)/n/2/1024, float64(runtime.NumGoroutine()-goroutines)/n/2)
}
