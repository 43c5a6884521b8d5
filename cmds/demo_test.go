package cmds_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/cmds"
)

// TestDemo guards against a request path that is broken end to end, an order
// that runs twice under one idempotency key, and an answer that is cut off when
// a stage fails.
func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	code := cmds.Run([]string{"demo"}, &out, &errOut)
	assert.Equal(t, code, 0, errOut.String())
	for _, want := range []string{"accepted as version 1", "lists the addresses of all 3", "streamed an answer of 37 tokens, whole", "it ran once", "of 300 tokens, whole"} {
		assert.Assert(t, strings.Contains(out.String(), want), "output lacks %q:\n%s", want, out.String())
	}
}
