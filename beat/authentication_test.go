package beat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/seal"
)

// recorded collects the datagrams that one process sends to another.
func (n *net) recorded(from, to string) *[][]byte {
	var all [][]byte
	n.capture = func(f, t string, raw []byte) {
		if f == from && t == to {
			all = append(all, append([]byte(nil), raw...))
		}
	}
	return &all
}

// Guards against accepting datagrams that are forged, replayed, truncated, from another
// system or recorded long ago, and against a process that stops taking part because of them.
func TestRejectsUnauthenticDatagrams(t *testing.T) {
	runVirtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := startTwoDomains(n)
		sent := n.recorded("a", "b")
		n.run(time.Second)
		assert.Assert(t, len(*sent) > 3)
		latest := (*sent)[len(*sent)-1]

		otherSystem := &net{base: n.base, sealer: &seal.Sealer{}, nodes: map[string]*node{}}
		assert.NilError(t, otherSystem.sealer.AddKey(seal.NewKey(1)))
		outsider := otherSystem.join("stranger", "d", 1000)
		otherSystem.nodes["b"] = b
		outsider.membership.AddPeers([]beat.Peer{b.peer})
		otherSystem.order = []string{"stranger"}
		otherSystem.run(time.Second)
		assert.Assert(t, b.drops["wrong tag"] > 0)

		check := func(reason string, raw []byte) {
			t.Helper()
			before := b.drops[reason]
			b.membership.Receive(raw)
			assert.Equal(t, b.drops[reason], before+1)
		}
		check("repeated", latest)
		check("malformed", latest[:len(latest)/2])
		corrupted := append([]byte(nil), latest...)
		corrupted[len(corrupted)/2] ^= 1
		check("wrong tag", corrupted)
		a.state.Ready = false
		n.run(10 * time.Second)
		check("old", latest)
		check("old", (*sent)[0])
		checkCallers(t, b, "d", 1, "c:80", "x:80")
		assert.Equal(t, b.membership.Size(), 4)
	})
}

// Guards against a panic on arbitrary bytes.
func FuzzReceive(f *testing.F) {
	s := &seal.Sealer{}
	if err := s.AddKey(seal.Key{Number: 1, Secret: make([]byte, seal.SecretBytes)}); err != nil {
		f.Fatal(err)
	}
	n := &net{base: time.Now(), sealer: s, nodes: map[string]*node{}}
	n.join("a", "d", 100)
	n.join("b", "d", 200)
	n.introduceAll()
	sent := n.recorded("b", "a")
	for range 5 {
		n.nodes["b"].membership.SendHeartbeat()
	}
	for _, raw := range *sent {
		f.Add(raw)
	}
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01b\x10\x01"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		n := &net{base: time.Now(), sealer: s, nodes: map[string]*node{}}
		n.join("a", "d", 100).membership.Receive(raw)
	})
}
