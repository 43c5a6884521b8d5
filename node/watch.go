package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/queue"
)

// watcher keeps the fleet table fresh from the VM list and load reports.
type watcher struct {
	fleet   *fleet.Table
	list    *plat.VMList
	engines *engine.Client
	queues  *queue.Set
	log     zerolog.Logger
}

func (w *watcher) run(ctx context.Context) {
	next := time.Time{}
	for ctx.Err() == nil {
		if now := time.Now(); !now.Before(next) {
			w.readList(ctx)
			next = now.Add(listInterval)
		}
		w.readLoads(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(loadInterval):
		}
	}
}

func (w *watcher) readList(ctx context.Context) {
	vms, err := w.list.Read(ctx)
	if err != nil {
		w.log.Warn().Err(err).Msg("VM list was not read")
		return
	}
	names := map[string]bool{}
	for _, v := range vms {
		names[v.Name] = true
		w.fleet.Listed(fleet.State{Name: v.Name, Address: v.Address, Domain: v.Domain, Service: v.Service, Leaving: v.Leaving})
	}
	w.fleet.Keep(names)
	w.queues.Keep(names)
}

// loadTimeout bounds one load report.
const loadTimeout = time.Second

func (w *watcher) readLoads(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range w.fleet.All() {
		wg.Go(func() { w.readLoad(ctx, s) })
	}
	wg.Wait()
}

func (w *watcher) readLoad(ctx context.Context, s fleet.State) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sent := time.Now()
	l, err := w.engines.Load(ctx, s.Address)
	if err != nil {
		w.fleet.Failed(s.Name)
		w.queues.Of(s.Service).Forget(s.Name)
		return
	}
	admit(w.queues.Of(s.Service), s.Name, l, sent)
	w.fleet.Reported(s.Name, func(st *fleet.State) {
		st.Kind, st.Model, st.Version, st.First, st.Last = l.Kind, l.Model, l.Version, l.First, l.Last
		st.Slots, st.Running, st.Waiting, st.Ready, st.Leaving = l.Slots, l.Running, l.Waiting, l.Ready, l.Leaving
	})
}
