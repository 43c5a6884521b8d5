package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/pool"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
)

// newWatcher connects the fleet table to the VM list and the engines.
func newWatcher(wp *pool.Pool, t *fleet.Table, l *plat.VMList, e *engine.Client, q *queue.Set, cache *route.PrefixIndex, log zerolog.Logger) *fleet.Watcher {
	return fleet.NewWatcher(fleet.WatchConfig{
		Table: t,
		List: func(ctx context.Context) ([]fleet.State, error) {
			vms, err := l.Read(ctx)
			out := make([]fleet.State, len(vms))
			names := map[string]bool{}
			for _, s := range t.All() { // the table keeps servers that a doubtful list lacks
				names[s.Name] = true
			}
			for i, v := range vms {
				names[v.Name] = true
				out[i] = fleet.State{Name: v.Name, Address: v.Address, Domain: v.Domain, Service: v.Service, Leaving: v.Leaving}
			}
			q.RetainServers(names)
			return out, err
		},
		ReadReport: func(ctx context.Context, address string) (fleet.State, error) {
			sent := time.Now()
			r, err := e.Load(ctx, address)
			if s, ok := t.ByAddress(address); ok {
				admit(q.Queue(s.Service), s.Name, r, err, sent)
			}
			return entry.StateOf(r), err
		},
		OnCacheEvents: func(ctx context.Context, s fleet.State, reborn bool) {
			if reborn {
				cache.Forget(s.Name)
			}
			if ev, err := e.Events(ctx, s.Address, cache.LastEvent(s.Name)); err == nil {
				cache.Merge(s.Name, ev)
			}
		},
		Spawn:       func(run func(context.Context)) { wp.At("poll", time.Now(), run) },
		OnListError: func(err error) { log.Warn().Err(err).Msg("VM list was not read") },
	})
}
