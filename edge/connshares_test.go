package edge

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/server"
)

// newTestShares returns the shares of a server of a service that accepts a number of connections.
func newTestShares(t *testing.T, accepted int) *connShares {
	t.Helper()
	c := newConnShares(&config.Tracker{}, &sharedState{servers: server.NewTable(server.Config{Log: zerolog.Nop()})})
	c.state.servers.Apply([]server.Change{{ID: "a", Entry: server.Entry{ID: "a", Service: "s", Address: "10.0.0.1:1", Slots: 6}}}, true, 0)
	c.setAccepted(t, 1, accepted)
	return c
}

// setAccepted makes a configuration take effect.
func (c *connShares) setAccepted(t *testing.T, version uint64, accepted int) {
	t.Helper()
	conf, err := config.New(config.Content{Version: version, Services: []config.Service{{Name: "s", MaxConnections: accepted}}})
	assert.NilError(t, err)
	assert.Assert(t, c.tracker.Apply(conf))
}

// Guards against shares that add up to more than a server accepts: while the processes learn of each other, after one
// has left, and with a new configuration.
func TestConnShares(t *testing.T) {
	c := newTestShares(t, 110)
	assert.Equal(t, c.limit("10.0.0.1:1"), 12)
	c.resize(1) // the others are not known yet
	assert.Equal(t, c.limit("10.0.0.1:1"), 12)
	c.resize(11)
	assert.Equal(t, c.limit("10.0.0.1:1"), 9)
	c.resize(8)
	assert.Equal(t, c.limit("10.0.0.1:1"), 9)
	c.setAccepted(t, 2, 16)
	assert.Equal(t, c.limit("10.0.0.1:1"), 1)
	c.setAccepted(t, 3, 0) // none is stated
	assert.Equal(t, c.limit("10.0.0.1:1"), 0)
}

// Guards against a process that fails, or limits nothing it should, because it knows no configuration or server.
func TestConnSharesWithoutServer(t *testing.T) {
	c := newTestShares(t, 110)
	assert.Equal(t, c.limit("10.0.0.2:1"), 0)
	assert.Equal(t, newConnShares(&config.Tracker{}, &sharedState{}).limit("10.0.0.1:1"), 0)
}
