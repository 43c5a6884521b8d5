package seal_test

import (
	"errors"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204") // scripts/soak uses random seeds
}

func newSealer(t testing.TB, keys ...seal.Key) *seal.Sealer {
	t.Helper()
	s := &seal.Sealer{}
	for _, k := range keys {
		assert.NilError(t, s.AddKey(k))
	}
	return s
}

func sealed(t testing.TB, s *seal.Sealer, kind seal.Kind) []byte {
	t.Helper()
	raw, err := s.Seal(kind, &wire.Beat{Sequence: 7})
	assert.NilError(t, err)
	return raw
}

func checkOpen(t *testing.T, s *seal.Sealer, raw []byte, want error) {
	t.Helper()
	var b wire.Beat
	err := s.Open(seal.Beat, raw, &b)
	if want != nil {
		assert.Assert(t, errors.Is(err, want), "%v", err)
		return
	}
	assert.NilError(t, err)
	assert.Equal(t, b.Sequence, uint64(7))
}

// Guards against accepting messages sealed with a foreign key, and against accepting a
// message as another type than it was sent as.
func TestOpen(t *testing.T) {
	k := seal.NewKey(1)
	a, b := newSealer(t, k), newSealer(t, k)
	raw := sealed(t, a, seal.Beat)
	checkOpen(t, b, raw, nil)
	checkOpen(t, b, sealed(t, a, seal.State), seal.ErrForged)
	checkOpen(t, b, sealed(t, newSealer(t, seal.NewKey(1)), seal.Beat), seal.ErrForged)
	checkOpen(t, b, sealed(t, newSealer(t, seal.NewKey(2)), seal.Beat), seal.ErrUnknown)
	checkOpen(t, newSealer(t), raw, seal.ErrNoKey)
	for i := range raw {
		truncated := append([]byte(nil), raw[:i]...)
		assert.Assert(t, b.Open(seal.Beat, truncated, &wire.Beat{}) != nil, "cut at %d", i)
		corrupted := append([]byte(nil), raw...)
		corrupted[i] ^= 1
		var m wire.Beat
		if b.Open(seal.Beat, corrupted, &m) == nil {
			assert.Equal(t, m.Sequence, uint64(7), "byte %d changed", i) // the changed byte is outside the authenticated part
		}
	}
}

// Guards against a key rotation that loses messages, and against accepting an old key for
// ever.
func TestKeyRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := seal.NewKey(1), seal.NewKey(2)
		a, b := newSealer(t, one), newSealer(t, one)
		old := sealed(t, a, seal.Beat)
		assert.NilError(t, b.AddKey(two))
		checkOpen(t, b, old, nil)
		checkOpen(t, a, sealed(t, b, seal.Beat), seal.ErrNewer) // accepted, and a reason to read the new key
		time.Sleep(10 * time.Second)
		assert.NilError(t, a.AddKey(two))
		for range 20 {
			checkOpen(t, a, sealed(t, b, seal.Beat), nil)
			checkOpen(t, b, sealed(t, a, seal.Beat), nil)
			time.Sleep(10 * time.Second)
		}
		checkOpen(t, b, old, seal.ErrUnknown)
		assert.NilError(t, b.AddKey(one)) // learned late
		checkOpen(t, a, sealed(t, b, seal.Beat), nil)
	})
}

// Guards against a process that starts during a key rotation, knows the new key only, and hears no other
// process until the old key is no longer used.
func TestStartDuringAKeyRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := seal.NewKey(1), seal.NewKey(2)
		a, b, started := newSealer(t, one), newSealer(t, one), newSealer(t, two)
		for _, x := range []*seal.Sealer{a, b} {
			assert.NilError(t, x.AddKey(two))
		}
		checkOpen(t, started, sealed(t, a, seal.Beat), seal.ErrUnknown)
		old := sealed(t, b, seal.Beat)
		for _, x := range []*seal.Sealer{a, b} {
			checkOpen(t, x, sealed(t, started, seal.Beat), nil)
			checkOpen(t, started, sealed(t, x, seal.Beat), nil)
		}
		checkOpen(t, a, old, nil) // on its way
	})
}

// Guards against a secret of the wrong length.
func TestShortSecret(t *testing.T) {
	assert.Assert(t, (&seal.Sealer{}).AddKey(seal.Key{Number: 1, Secret: []byte("short")}) != nil)
}

// Guards against accepting a number twice, and against rejecting a new one that is close
// to the highest.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var w seal.ReplayWindow
		accepted := map[uint64]bool{}
		highest := uint64(0)
		for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 300), 1, 200).Draw(rt, "numbers") {
			got := w.Accept(n)
			want := !accepted[n] && (n > highest || highest-n < 64)
			if got != want {
				rt.Fatalf("number %d after %d: accepted %v, want %v", n, highest, got, want)
			}
			accepted[n] = true
			highest = max(highest, n)
		}
	})
}

// Guards against a panic on arbitrary bytes.
func FuzzOpen(f *testing.F) {
	s := newSealer(f, seal.Key{Number: 1, Secret: make([]byte, seal.SecretBytes)})
	f.Add(sealed(f, s, seal.Beat))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_ = s.Open(seal.Beat, raw, &wire.Beat{})
	})
}

func BenchmarkSealAndOpen(b *testing.B) {
	s := newSealer(b, seal.NewKey(1))
	m := &wire.Beat{Loads: &wire.Loads{}}
	for i := range 218 {
		m.Loads.Server = append(m.Loads.Server, uint32(i)<<16)
		m.Loads.Streams = append(m.Loads.Streams, 3)
		m.Loads.Tokens = append(m.Loads.Tokens, 900)
	}
	for b.Loop() {
		raw, err := s.Seal(seal.Beat, m)
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Open(seal.Beat, raw, &wire.Beat{}); err != nil {
			b.Fatal(err)
		}
	}
}
