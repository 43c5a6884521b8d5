package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/route"
)

// Costs that decide between an import and a prefill.
const (
	importRate   = 1e9                    // bytes a second
	importFixed  = 5 * time.Millisecond   // two calls
	defaultFill  = 200 * time.Microsecond // prefill of a token on a stage, unless measured
	exportWindow = 400 * time.Millisecond // an export that takes longer costs more than the prefill
)

// bring imports the KV cache into stages of the new route that lack it, where
// an export exists, or can be made by the replaced stage, and is cheaper than
// the prefill.
func (u *run) bring(ctx context.Context, old route.Route) {
	if u.r.cfg.Import == nil || u.number == 1 || len(u.accept.tokens) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exportWindow)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range u.rt.Stages {
		if old.Contains(s.Name) {
			continue
		}
		wg.Go(func() {
			x, ok := u.exported(ctx, old, s)
			if !ok || !u.cheaper(x) {
				return
			}
			if u.r.cfg.Import(ctx, s.Address, engine.Import{Request: u.rq.ID, Attempt: u.number, Handle: x.Handle}) == nil {
				countImports.Inc()
			}
		})
	}
	wg.Wait()
	for _, s := range u.rt.Stages {
		u.used[s.Address] = true
	}
}

// exported returns an export for the layer range of a new stage: one that the
// replaced stage makes now when it still answers, or the last checkpoint.
func (u *run) exported(ctx context.Context, old route.Route, s route.Stage) (engine.Export, bool) {
	for _, o := range old.Stages {
		if o.First != s.First || o.Last != s.Last || !u.alive[o.Name] || u.r.cfg.Export == nil {
			continue
		}
		if x, err := u.r.cfg.Export(ctx, o.Address, u.rq.ID); err == nil {
			return x, true
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	x, ok := u.exports[[2]int{s.First, s.Last}]
	return x, ok
}

// cheaper compares an import with the prefill of what it contains.
func (u *run) cheaper(x engine.Export) bool {
	fill := u.fill
	if fill == 0 {
		fill = defaultFill
	}
	move := importFixed + time.Duration(float64(x.Bytes)/importRate*float64(time.Second))
	return move < time.Duration(u.prompt+x.Position)*fill
}

// checkpoint exports the KV cache of every stage in the background.
func (u *run) checkpoint() {
	if u.r.cfg.Export == nil {
		return
	}
	for _, s := range u.rt.Stages {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exportWindow)
			defer cancel()
			x, err := u.r.cfg.Export(ctx, s.Address, u.rq.ID)
			if err != nil {
				return
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.exports == nil {
				u.exports = map[[2]int]engine.Export{}
			}
			u.exports[[2]int{s.First, s.Last}] = x
		}()
	}
}
