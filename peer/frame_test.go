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

// TestBounds guards against a message that makes the receiver allocate more
// than the bound of its kind, and against one that is sent over the bound.
func TestBounds(t *testing.T) {
	for k := range kinds {
		var b [headerSize]byte
		b[0] = byte(k)
		binary.BigEndian.PutUint32(b[5:], uint32(bounds[k]+1))
		_, payload, err := readFrame(bytes.NewReader(b[:]))
		assert.Assert(t, errors.Is(err, errFrame), "%s: %v", kindNames[k], err)
		assert.Assert(t, payload == nil)
	}
	_, _, err := readFrame(bytes.NewReader([]byte{byte(kinds), 0, 0, 0, 0, 0, 0, 0, 0}))
	assert.Assert(t, errors.Is(err, errFrame))
	var out bytes.Buffer
	err = writeFrame(&out, kindClaim, 0, &wire.Query{Claim: strings.Repeat("c", smallMessage)})
	assert.Assert(t, errors.Is(err, errFrame))
	assert.Equal(t, out.Len(), 0)
}
