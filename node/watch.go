package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/pool"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
)

// newFleetWatcher returns the watcher that fills the fleet table from the VM list
// and the load reports of the backend servers. It also passes the reports to the
// queues and the cache events to the prefix index.
func newFleetWatcher(workers *pool.Pool, t *fleet.Table, l *plat.VMList, e *engine.Client, q *queue.Set, prefixes *route.PrefixIndex, g *guard.Guard, log zerolog.Logger) *fleet.Watcher {
	return fleet.NewWatcher(fleet.WatchConfig{
		Table: t,
		List: func(ctx context.Context) ([]fleet.State, error) {
			vms, err := l.Read(ctx)
			out := make([]fleet.State, len(vms))
			names := map[string]bool{}
			for _, s := range t.All() { // a suspect VM list may lack servers that the table keeps
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
			sentAt := time.Now()
			r, err := e.Load(ctx, address)
			if s, ok := t.ByAddress(address); ok {
				if guard.HasCrashed(s.Boot, r, err) {
					g.RecordCrash(guard.Server(s.Name, s.Boot))
				}
				updateQueue(q.Queue(s.Service), s.Name, r, err, sentAt)
			}
			return entry.FleetState(r), err
		},
		OnCacheEvents: func(ctx context.Context, s fleet.State, restarted bool) {
			if restarted {
				prefixes.Forget(s.Name)
			}
			if ev, err := e.Events(ctx, s.Address, prefixes.LastEvent(s.Name)); err == nil {
				prefixes.Merge(s.Name, ev)
			}
		},
		Spawn:       func(run func(context.Context)) { workers.At("poll", time.Now(), run) },
		OnListError: func(err error) { log.Warn().Err(err).Msg("VM list was not read") },
	})
}
