package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/watch"
)

// newerConfigDelay is how long a process waits for a configuration that another one has in effect,
// before it fetches it from there. The pollers share changes within milliseconds.
const newerConfigDelay = 500 * time.Millisecond

// newerConfig fetches the configuration from a process that has a newer one. A process that was cut off
// or frozen when it changed does not find it in a store that has returned from an older copy since.
type newerConfig struct {
	tracker  *config.Tracker
	fetch    func(ctx context.Context, address string, wait bool) (snapshot, error)
	offer    func(rows []watch.Row)
	log      zerolog.Logger
	fetching atomic.Bool
}

// observe takes the version that another process has in effect. It never blocks.
func (n *newerConfig) observe(version uint64, from beat.Peer) {
	if !n.isNewer(version) || n.fetching.Swap(true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		time.Sleep(newerConfigDelay)
		if !n.isNewer(version) {
			return
		}
		s, err := n.fetch(context.Background(), from.Address, false)
		n.log.Info().Err(err).Str("peer", from.Name).Uint64("version", version).Msg("fetched a newer configuration from another process")
		if err == nil {
			n.offer(s.tables[platform.TableConfig].Rows)
		}
	}()
}

// isNewer reports whether a version is newer than that of the configuration in effect.
func (n *newerConfig) isNewer(version uint64) bool {
	c := n.tracker.Current()
	return c != nil && version > c.Version()
}
