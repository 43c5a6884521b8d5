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

// refusedStream returns the line about a refused stream; rest has further fields.
func refusedStream(id, second, rest string) string {
	return `{"level": "info", "node": "a", "part": "relay", "time": "2026-06-11T00:32:` + second + `.000Z", "message": "stream refused, engines are full", "id": "` + id + `"` + rest + "}\n"
}

// Guards against a summary that leaves out why streams were refused, mixes services, bounds or ranks, or shows another
// range of loads than that of their lines; and against lines that are incomplete.
func TestSummaryOfRefusedStreams(t *testing.T) {
	text := refusedStream("r1", "01", `, "service": "llm", "bound": "memory", "load": 0.95, "limit": 0.92, "rank": 0, "account": "shop", "retry": 1200`) +
		refusedStream("r2", "02", `, "service": "llm", "bound": "memory", "load": 0.85, "limit": 0.82, "rank": 2, "account": "", "retry": 6000`) +
		refusedStream("r3", "03", `, "service": "llm", "bound": "memory", "load": 1.25, "limit": 0.92, "rank": 2, "account": "", "retry": 2500`) +
		refusedStream("r4", "04", `, "service": "llm", "bound": "pause", "load": 1.5, "limit": 0.82, "rank": 2, "account": "", "retry": 4000`) +
		refusedStream("r5", "05", `, "service": "chat", "bound": "memory", "load": 0.9, "limit": 0.87, "rank": 1, "account": "", "retry": 300`) +
		refusedStream("r6", "06", `, "service": 3, "bound": "memory"`) + refusedStream("r7", "07", `, "service": "none"`)
	var b strings.Builder
	n, err := logs.Summary(&b, time.Second, strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, n, 0)
	assert.Assert(t, strings.Contains(b.String(), `
 streams  rank  streams refused because engines were full, by service and bound; rank 0 is the most urgent
       1     1  chat, memory: load 0.90 to 0.90, limit 0.87 to 0.87, told to return after 0.3 to 0.3 s
       1     0  llm, memory: load 0.95 to 0.95, limit 0.92 to 0.92, told to return after 1.2 to 1.2 s
       2     2  llm, memory: load 0.85 to 1.25, limit 0.82 to 0.92, told to return after 2.5 to 6.0 s
       1     2  llm, pause: load 1.50 to 1.50, limit 0.82 to 0.82, told to return after 4.0 to 4.0 s

`), "%s", b.String())
}
