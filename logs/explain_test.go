package logs_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/logs"
)

// Guards against output that lacks a line of the request, has lines of another
// request, or is out of order.
func TestExplain(t *testing.T) {
	f, err := os.Open("testdata/lines.log")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	other := strings.NewReader(`{"node":"c","part":"edge","id":"r1","time":"2026-06-11T00:32:12.105Z","message":"request ended"}`)
	var b strings.Builder
	n, err := logs.Explain(&b, "r1", f, other)
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
	golden.Assert(t, b.String(), "explain.golden")
}

// Guards against output for a request that no line names.
func TestExplainUnknownRequest(t *testing.T) {
	n, err := logs.Explain(&strings.Builder{}, "r9", strings.NewReader("{}\n"))
	assert.NilError(t, err)
	assert.Equal(t, n, 0)
}

// Guards against timestamps without milliseconds, which do not order the lines
// of a request.
func TestTimestampMilliseconds(t *testing.T) {
	var b strings.Builder
	m, err := logs.New(logs.Config{Out: &b, Node: "a"})
	assert.NilError(t, err)
	log := m.Logger("edge")
	log.Info().Msg("x")
	at := strings.Index(b.String(), `"time":"`)
	assert.Assert(t, at > 0)
	assert.Equal(t, b.String()[at+8+19], byte('.'), b.String())
}

// Guards against an explanation of a refused stream that leaves out which bound refused it, its value, or the time at
// which its caller was told to return.
func TestExplainRefusedStream(t *testing.T) {
	var b strings.Builder
	n, err := logs.Explain(&b, "r1", strings.NewReader(
		refusedStream("r1", "01", `, "service": "llm", "bound": "memory", "load": 0.951, "limit": 0.82, "rank": 2, "account": "shop", "retry": 1200`)+
			refusedStream("r2", "01", `, "service": "llm", "bound": "pause"`)))
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	assert.Equal(t, b.String(), `   +0.000 s  a  relay   stream refused, engines are full account="shop" bound="memory" limit=0.82 load=0.951 rank=2 retry=1200 service="llm"`+"\n")
}
