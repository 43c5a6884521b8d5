package logs_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/logs"
)

// Guards against a summary that leaves out the imbalance of the load, takes each line for one window, names the servers
// of another window than the worst, or lists the lines a second time; and against lines that are incomplete.
func TestSummaryOfLoadSpread(t *testing.T) {
	line := func(node, second, rest string) string {
		return `{"level": "info", "node": "` + node + `", "part": "spread", "time": "2026-06-11T00:32:` + second + `.000Z", "message": "load spread"` + rest + "}\n"
	}
	text := line("a", "01", `, "service": "llm", "spread": 2, "worst": 2.5, "busiest": "i-1", "highest": 0.9, "idlest": "i-2", "lowest": 0.1, "windows": 3`) +
		line("b", "02", `, "service": "llm", "spread": 4, "worst": 6, "busiest": "i-3", "highest": 0.8, "idlest": "i-4", "lowest": 0, "windows": 1`) +
		line("a", "03", `, "service": "desk", "spread": 1, "worst": 1, "busiest": "i-5", "highest": 0.5, "idlest": "i-6", "lowest": 0.5, "windows": 5`) +
		line("a", "04", `, "service": 3, "windows": "x"`) + line("a", "05", `, "service": "none", "spread": 9`)
	var b strings.Builder
	_, err := logs.Summary(&b, time.Second, strings.NewReader(text))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(b.String(), `
    mean    worst  load spread: busiest over mean in windows of a second, and the share of the room in use in the worst one
    1.00     1.00  desk: busiest i-5 (0.50), idlest i-6 (0.50)
    2.50     6.00  llm: busiest i-3 (0.80), idlest i-4 (0.00)

`), "%s", b.String())
	assert.Equal(t, strings.Count(b.String(), "load spread"), 1, "%s", b.String())
}
