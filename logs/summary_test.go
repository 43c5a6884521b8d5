package logs_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/logs"
)

// Guards against requests that are counted under the wrong outcome or window,
// causes that are counted separately because they name different addresses, and
// other lines that are counted as requests.
func TestSummary(t *testing.T) {
	f, err := os.Open("testdata/day.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	var b strings.Builder
	n, err := logs.Summary(&b, 2*time.Second, f)
	assert.NilError(t, err)
	assert.Equal(t, n, 6)
	golden.Assert(t, b.String(), "summary.golden")
}

// Guards against a division by zero when no line is a log line of this program.
func TestSummaryWithoutRequests(t *testing.T) {
	n, err := logs.Summary(&strings.Builder{}, time.Second, strings.NewReader("text\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, 0)
}
