package beat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/seal"
)

// recorded keeps what a process sends to another one.
func (n *net) recorded(from, to string) *[][]byte {
	var all [][]byte
	n.tap = func(f, t string, raw []byte) {
		if f == from && t == to {
			all = append(all, append([]byte(nil), raw...))
		}
	}
	return &all
}

// Guards against datagrams that are believed although they are forged, sent again,
// cut short, of another system, or recorded long ago, and against a process that falls
// silent over them.
func TestDatagramsAreProved(t *testing.T) {
	virtual(t, func(t *testing.T, n *net) {
		a, b, _, _ := trio(n)
		sent := n.recorded("a", "b")
		n.run(time.Second)
		assert.Assert(t, len(*sent) > 3)
		one := (*sent)[len(*sent)-1]

		foreign := &net{base: n.base, sealer: &seal.Sealer{}, nodes: map[string]*node{}}
		assert.NilError(t, foreign.sealer.AddKey(seal.NewKey(1)))
		stranger := foreign.join("stranger", "d", 1000)
		foreign.nodes["b"] = b
		stranger.ring.AddPeers([]beat.Peer{b.peer})
		foreign.order = []string{"stranger"}
		foreign.run(time.Second)
		assert.Assert(t, b.drops["wrong tag"] > 0)

		check := func(reason string, raw []byte) {
			t.Helper()
			before := b.drops[reason]
			b.ring.Receive(raw)
			assert.Equal(t, b.drops[reason], before+1)
		}
		check("repeated", one)
		check("malformed", one[:len(one)/2])
		bent := append([]byte(nil), one...)
		bent[len(bent)/2] ^= 1
		check("wrong tag", bent)
		a.state.Ready = false
		n.run(10 * time.Second)
		check("old", one)
		check("old", (*sent)[0])
		checkCallers(t, b, "d", 1, "c:80", "x:80")
		assert.Equal(t, b.ring.Size(), 4)
	})
}

// Guards against a panic on bytes of a stranger.
func FuzzReceive(f *testing.F) {
	s := &seal.Sealer{}
	if err := s.AddKey(seal.Key{Number: 1, Secret: make([]byte, seal.SecretBytes)}); err != nil {
		f.Fatal(err)
	}
	n := &net{base: time.Now(), sealer: s, nodes: map[string]*node{}}
	n.join("a", "d", 100)
	n.join("b", "d", 200)
	n.acquaint()
	sent := n.recorded("b", "a")
	for range 5 {
		n.nodes["b"].ring.SendHeartbeat()
	}
	for _, raw := range *sent {
		f.Add(raw)
	}
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01b\x10\x01"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		n := &net{base: time.Now(), sealer: s, nodes: map[string]*node{}}
		n.join("a", "d", 100).ring.Receive(raw)
	})
}
