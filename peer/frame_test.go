package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/wire"
)

// TestMessageLimits checks that a receiver allocates no memory for a message over
// the size limit of its kind, and that such a message is not sent.
func TestMessageLimits(t *testing.T) {
	for k := range kindCount {
		var b [headerSize]byte
		b[0] = byte(k)
		binary.BigEndian.PutUint32(b[5:], uint32(messageLimits[k]+1))
		_, payload, err := readFrame(bytes.NewReader(b[:]))
		assert.Assert(t, errors.Is(err, errInvalidFrame), "%s: %v", kindNames[k], err)
		assert.Assert(t, payload == nil)
	}
	_, _, err := readFrame(bytes.NewReader([]byte{byte(kindCount), 0, 0, 0, 0, 0, 0, 0, 0}))
	assert.Assert(t, errors.Is(err, errInvalidFrame))
	var out bytes.Buffer
	err = writeFrame(&out, kindClaim, 0, &wire.Query{Claim: strings.Repeat("c", smallMessageLimit)})
	assert.Assert(t, errors.Is(err, errInvalidFrame))
	assert.Equal(t, out.Len(), 0)
}
