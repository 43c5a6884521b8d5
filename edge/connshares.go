package edge

import (
	"sync/atomic"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/link"
)

// connShares knows how many connections to each backend server this process may have: its share of those that a
// server accepts from all processes together.
type connShares struct {
	tracker   *config.Tracker
	state     *sharedState
	processes atomic.Int64
}

func newConnShares(tracker *config.Tracker, state *sharedState) *connShares {
	c := &connShares{tracker: tracker, state: state}
	c.processes.Store(initialProcesses)
	return c
}

// resize sets the number of entry processes. The shares never grow by it while a process runs, because a process
// that left may come back, and one that is cut off still has its connections.
func (c *connShares) resize(processes int) {
	for n := c.processes.Load(); int64(processes) > n; n = c.processes.Load() {
		if c.processes.CompareAndSwap(n, int64(processes)) {
			return
		}
	}
}

// limit returns the share of the connections to the server at an address; 0 for no limit.
func (c *connShares) limit(address string) int {
	conf, table := c.tracker.Current(), c.state.servers
	if conf == nil || table == nil {
		return 0
	}
	srv := table.ByAddress(address)
	if srv == nil {
		return 0
	}
	service, _ := conf.Service(srv.Entry().Service)
	return link.Share(service.MaxConnections, int(c.processes.Load()))
}
