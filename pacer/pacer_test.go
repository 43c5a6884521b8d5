package pacer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/pacer"
)

const testServer = 7

// Guards against named rates that leave no trace in the logs.
func TestNamedRatesAreLogged(t *testing.T) {
	var log strings.Builder
	p := pacer.New(pacer.Config{Log: zerolog.New(&log)})
	p.Observe(pacer.Statement{Server: testServer, ID: "a", Named: true, Rate: 5, SentAt: pacer.Now()})
	assert.Assert(t, strings.Contains(log.String(), "backend server names a rate"), log.String())
	assert.Equal(t, p.Limited(), 1)
	p.Observe(pacer.Statement{Server: testServer, ID: "a", Unreadable: "many", SentAt: pacer.Now() + time.Second})
	assert.Assert(t, strings.Contains(log.String(), `"value":"many"`), log.String())
	assert.Equal(t, p.Limited(), 1)
	p.Observe(pacer.Statement{Server: testServer, ID: "a", SentAt: pacer.Now() + time.Second})
	assert.Assert(t, strings.Contains(log.String(), "names no rate any more"), log.String())
	assert.Equal(t, p.Limited(), 0)
}
