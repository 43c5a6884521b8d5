package beat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/intake"
)

const leavingServer = 4712 // hash of an incarnation

// checkLeaves checks that every running process knows that the server leaves.
func checkLeaves(t *testing.T, n *net) {
	t.Helper()
	for _, name := range n.order {
		if x := n.nodes[name]; !x.frozen {
			assert.Assert(t, x.intake.Leaves(leavingServer), name)
		}
	}
}

// hear makes a process get an answer of a server that leaves.
func hear(x *node) {
	x.intake.Observe(intake.Statement{Server: leavingServer, Said: intake.Said{Leaving: true}})
}

// Guards against processes that learn only from their own answers that a server leaves, against a word
// that ends with the process that heard it, and against a process that starts without it.
func TestLeavingServerIsKnownToAllProcesses(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		joinFleet(n, 30, 3, 99)
		n.run(3 * time.Second)
		x := n.nodes[n.order[17]]
		hear(x)
		checkLeaves(t, n) // at once
		x.frozen = true
		n.run(20 * time.Second)
		n.join("late", "domain-1", 192)
		n.introduceAll()
		n.run(3 * time.Second) // the lists of the hubs are 2 s apart
		checkLeaves(t, n)
	})
}

// Guards against a word that is lost with a datagram.
func TestLostWordOfALeavingServerIsRepeated(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		joinFleet(n, 30, 3, 99)
		n.run(3 * time.Second)
		n.cut = func(string, string) bool { return true }
		hear(n.nodes[n.order[17]])
		n.run(500 * time.Millisecond)
		n.cut = nil
		n.run(time.Second)
		checkLeaves(t, n)
	})
}
