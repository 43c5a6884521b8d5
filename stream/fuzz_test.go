package stream

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
)

// FuzzAccept guards against a sequence of frames that delivers a token of another
// request or attempt, at a wrong position or from wrong layer ranges (invariants I1
// and I2), or that makes the process hold an unbounded number of frames.
func FuzzAccept(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 0, 2, 0})
	f.Add([]byte{0, 2, 0, 0, 1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 1})
	f.Add([]byte{0, 200, 0})
	f.Add([]byte{5, 0, 0}) // another request
	f.Add([]byte{6, 0, 0}) // an earlier attempt
	f.Add([]byte{0, 0, 2}) // a layer range is left out
	f.Add([]byte{0, 0, 3}) // layers run twice
	var far []byte
	for i := range 127 {
		far = append(far, 0, byte(i+1), 0)
	}
	f.Add(far)
	f.Fuzz(func(t *testing.T, in []byte) {
		var got []string
		a := &acceptor{runner: New(Config{}), layers: 24, tag: 7, sink: Sink{Token: func(s string) error { got = append(got, s); return nil }}}
		a.beginAttempt(1)
		shapes := [][][2]int{
			{{0, 8}, {8, 16}, {16, 24}}, {{0, 24}}, {{0, 8}, {16, 24}}, {{0, 16}, {8, 24}}, nil, {{0, 24}, {24, 24}}, {{0, 24}, {0, 24}},
		}
		for ; len(in) >= 3; in = in[3:] {
			shape := shapes[int(in[2])%len(shapes)]
			fr := engine.Frame{Tag: 7, Attempt: a.attempt, Position: int(int8(in[1])), Ranges: shape, Token: "bad"}
			good := len(shape) > 0 && coversLayers(shape, a.layers)
			switch in[0] % 8 {
			case 5:
				fr.Tag = 8
			case 6:
				fr.Attempt--
			case 7:
				a.beginAttempt(a.attempt + 1)
				continue
			default:
				if good {
					fr.Token = string(rune('A' + fr.Position))
				}
			}
			before := len(got)
			n, done, err := a.accept(&fr)
			assert.Equal(t, len(got)-before, n)
			assert.Assert(t, len(a.held) <= reorderWindow)
			for i, s := range got {
				assert.Equal(t, s, string(rune('A'+i)), "token %d of %q", i, got)
			}
			if done || err != nil {
				a.beginAttempt(a.attempt + 1)
			}
		}
	})
}
