package beat_test

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/watch"
)

// net connects rings without a network.
type net struct {
	rings map[string]*beat.Ring
	cut   map[string]bool // receives and sends nothing
}

func (n *net) join(name, domain string, state beat.State, work ...beat.Work) *beat.Ring {
	self := beat.Peer{Name: name, Address: name, Callers: name + ":80", Domain: domain}
	r := beat.New(beat.Config{
		Self: self, Incarnation: 1, Log: zerolog.Nop(),
		State: func() beat.State { return state },
		Work:  func() []beat.Work { return work },
		Send: func(address string, b []byte) error {
			if to := n.rings[address]; to != nil && !n.cut[name] && !n.cut[address] {
				to.Receive(b)
			}
			return nil
		},
	})
	n.rings[name] = r
	return r
}

func (n *net) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		for _, r := range n.rings {
			r.Beat()
		}
	}
}

func peers(names ...string) []beat.Peer {
	var out []beat.Peer
	for _, n := range names {
		out = append(out, beat.Peer{Name: n, Address: n, Callers: n + ":80", Domain: "d"})
	}
	return out
}

func virtual(t *testing.T, f func(t *testing.T, n *net)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		f(t, &net{rings: map[string]*beat.Ring{}, cut: map[string]bool{}})
	})
}

func checkCallers(t *testing.T, r *beat.Ring, domain string, local int, want ...string) {
	t.Helper()
	got, n := r.Callers(domain)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, n, local)
}

// Guards against callers that are sent to a process that is silent or not ready.
func TestCallers(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		ready := beat.State{Ready: true}
		a := n.join("a", "d", ready)
		n.join("b", "d", ready)
		n.join("c", "e", ready)
		n.join("x", "d", beat.State{})
		n.join("y", "d", beat.State{Ready: true, Leaving: true})
		for _, r := range n.rings {
			r.Listed(peers("a", "b", "x", "y"))
		}
		n.run(time.Second)
		checkCallers(t, a, "d", 1, "b:80", "c:80")
		n.cut["b"] = true
		n.run(3 * time.Second)
		checkCallers(t, a, "d", 0, "c:80")
		n.cut["b"] = false
		n.run(time.Second)
		checkCallers(t, a, "d", 1, "b:80", "c:80")
	})
}

// Guards against a new process that the others learn of only when they read the
// table again.
func TestNewProcessMakesItselfKnown(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a := n.join("a", "d", beat.State{Ready: true})
		b := n.join("b", "d", beat.State{Ready: true})
		b.Listed(peers("a", "b"))
		n.run(time.Second)
		checkCallers(t, a, "d", 1, "b:80")
		assert.Equal(t, a.Size(), 2)
	})
}

// Guards against choices that ignore what other processes have at a server, and
// against work of a process that is gone.
func TestWorkOfOthers(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a := n.join("a", "d", beat.State{})
		n.join("b", "d", beat.State{}, beat.Work{Server: "s", Streams: 3, Tokens: 900})
		n.join("c", "d", beat.State{}, beat.Work{Server: "s", Streams: 1, Tokens: 100})
		for _, r := range n.rings {
			r.Listed(peers("a", "b", "c"))
		}
		n.run(time.Second)
		streams, tokens := a.Others("s")
		assert.Equal(t, streams, 4)
		assert.Equal(t, tokens, int64(1000))
		n.cut["b"] = true
		n.run(5 * time.Second)
		streams, _ = a.Others("s")
		assert.Equal(t, streams, 1)
	})
}

// Guards against a process that reads the lease row of a holder that lives, against
// one that never does after the holder died, and against one that waits although the
// holder said that it has ended.
func TestHolderIsKnown(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a := n.join("a", "d", beat.State{})
		lease := beat.Lease{Fence: 1, Revision: 7, Until: clock.Now() + 5*time.Second}
		n.rings["b"] = beat.New(beat.Config{
			Self: beat.Peer{Name: "b", Address: "b", Domain: "d"}, Log: zerolog.Nop(),
			State: func() beat.State { return beat.State{Lease: lease} }, Work: func() []beat.Work { return nil },
			Send: func(address string, b []byte) error {
				if !n.cut["b"] {
					n.rings[address].Receive(b)
				}
				return nil
			},
		})
		for _, r := range n.rings {
			r.Listed(peers("a", "b"))
		}
		n.run(time.Second)
		assert.Assert(t, a.Held())
		n.cut["b"] = true
		n.run(3 * time.Second)
		assert.Assert(t, a.Held())
		n.run(2 * time.Second)
		assert.Assert(t, !a.Held())
		lease = beat.Lease{Fence: 2, Revision: 9, Until: clock.Now() + time.Minute}
		n.cut["b"] = false
		n.run(time.Second)
		assert.Assert(t, a.Held())
		lease.Ended = true
		n.run(time.Second)
		assert.Assert(t, !a.Held())
	})
}

// Guards against a panic on bytes of a stranger.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01b\x10\x01"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		n := &net{rings: map[string]*beat.Ring{}, cut: map[string]bool{}}
		n.join("a", "d", beat.State{}).Receive(raw)
	})
}

// Guards against a failure domain without a process that polls the platform, and
// against polls of all.
func TestOneReaderForADomain(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		for _, name := range []string{"a", "b", "c"} {
			n.join(name, "d", beat.State{Ready: true})
		}
		n.join("x", "e", beat.State{Ready: true})
		for _, r := range n.rings {
			r.Listed(peers("a", "b", "c"))
		}
		readers := func() (names string) {
			for _, name := range []string{"a", "b", "c", "x"} {
				if !n.cut[name] && n.rings[name].Reader() {
					names += name
				}
			}
			return names
		}
		n.run(time.Second)
		assert.Equal(t, readers(), "ax")
		n.cut["a"] = true
		n.run(3 * time.Second)
		assert.Equal(t, readers(), "bx")
	})
}

// Guards against an outage of the platform in which no process is ready and all
// poll (2,600 calls in 8 s with 76 processes), and against a ready process, which
// the platform still serves, that leaves the polls to others.
func TestOneReaderInAnOutage(t *testing.T) {
	for ready, want := range map[string]string{"": "a", "c": "ac", "b": "ab", "a": "a", "bc": "ab"} {
		virtual(t, func(t *testing.T, n *net) {
			for _, name := range []string{"a", "b", "c"} {
				n.join(name, "d", beat.State{Ready: strings.Contains(ready, name)})
			}
			for _, r := range n.rings {
				r.Listed(peers("a", "b", "c"))
			}
			n.run(time.Second)
			got := ""
			for _, name := range []string{"a", "b", "c"} {
				if n.rings[name].Reader() {
					got += name
				}
			}
			assert.Equal(t, got, want, "ready: %q", ready)
		})
	}
}

// Guards against changes that a reader polled and that do not reach the others.
func TestShare(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		var got []beat.Page
		a := n.join("a", "d", beat.State{Ready: true})
		n.rings["b"] = beat.New(beat.Config{
			Self: beat.Peer{Name: "b", Address: "b", Domain: "d"}, Log: zerolog.Nop(),
			State: func() beat.State { return beat.State{Ready: true} }, Work: func() []beat.Work { return nil },
			Send: func(string, []byte) error { return nil }, Offer: func(p beat.Page) { got = append(got, p) },
		})
		a.Listed(peers("a", "b"))
		n.run(time.Second)
		page := beat.Page{
			Seen: beat.Seen{Table: "servers", Changed: 9, Clock: 3 * time.Second}, After: 5, Revision: 11,
			Rows: []watch.Row{{Key: "i-1", Value: []byte("v"), Revision: 9}, {Key: "i-2", Revision: 8, Deleted: true}},
		}
		a.Share(page)
		assert.DeepEqual(t, got, []beat.Page{page})
		page.Rows[0].Value = bytes.Repeat([]byte("route"), 20<<10) // a configuration of 100 KB
		a.Share(page)
		assert.DeepEqual(t, got[1], page)
		page.Rows[0].Value = make([]byte, 100<<10)
		_, _ = rand.New(rand.NewSource(1)).Read(page.Rows[0].Value)
		a.Share(page)
		assert.Equal(t, len(got), 2) // too long for a datagram; the others read it
	})
}

// Guards against each of many processes that finds the same dead server by itself
// (1,167 refused attempts on a day of 76 processes), and against a flood of
// alerts.
func TestAlert(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		var told []uint64
		sent := 0
		a := n.join("a", "d", beat.State{Ready: true})
		n.rings["b"] = beat.New(beat.Config{
			Self: beat.Peer{Name: "b", Address: "b", Domain: "d"}, Log: zerolog.Nop(),
			State: func() beat.State { return beat.State{Ready: true} }, Work: func() []beat.Work { return nil },
			Send: func(string, []byte) error { sent++; return nil }, Dead: func(all []uint64) { told = append(told, all...) },
		})
		for _, r := range n.rings {
			r.Listed(peers("a", "b"))
		}
		a.Alert("i-1")
		a.Alert("i-1")
		assert.DeepEqual(t, told, []uint64{beat.Hash("i-1")})
		n.rings["b"].Alert("i-1") // it has just been told
		assert.Equal(t, sent, 0)
		time.Sleep(2 * time.Second)
		a.Alert("i-1")
		assert.Equal(t, len(told), 2)
	})
}
