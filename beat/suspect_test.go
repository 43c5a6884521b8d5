package beat_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Guards against a process that sends no heartbeats because a caller has chosen an identifier that they can't hold.
func TestHeartbeatWithAnyPart(t *testing.T) {
	sealer := &seal.Sealer{}
	sealer.AddKey(seal.Key{Number: 1, Secret: make([]byte, seal.SecretBytes)})
	for _, id := range []string{"5c1e07a2", "", "\xff\xfe", "a\xc3", "\xed\xa0\x80", "\x00", "=x", "नेपाल"} {
		parts := poison.PartsOf("s", []string{id, "last"})
		assert.Equal(t, len(parts), 1)
		suspects := beat.EncodeSuspects([]poison.Record{{Part: parts[0]}})
		_, err := sealer.Seal(seal.Beat, &wire.Beat{From: &wire.Process{Name: "a"}, Suspects: suspects})
		assert.NilError(t, err, "%q", id)
		other := poison.PartsOf("s", []string{id + "x", "last"})
		assert.Assert(t, other[0] != parts[0], "%q", id)
	}
}
