package label_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/label"
)

// Guards against texts that break lines of logs, headers or metrics, and against names that are refused for no reason.
func TestIsValid(t *testing.T) {
	for _, text := range []string{"", "a", "thamel-2/x:1", "São João", "नेपाल", strings.Repeat("x", 200)} {
		assert.Assert(t, label.IsValid(text), "%q", text)
	}
	for _, text := range []string{"a\nb", "a\r", "\x00", "a\tb", "\u202e", "\xff", "\ufffd", "\u2028", strings.Repeat("x", 201)} {
		assert.Assert(t, !label.IsValid(text), "%q", text)
	}
}
