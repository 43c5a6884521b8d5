package stream

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/route"
)

// Costs for the decision between an import of the KV cache and a prefill.
const (
	importBytesPerSecond   = 1e9                    // assumed rate of an import
	importOverhead         = 5 * time.Millisecond   // of two calls
	defaultPrefillPerToken = 200 * time.Microsecond // of one stage, until it is measured
	exportTimeout          = 400 * time.Millisecond // a longer export costs more than the prefill
)

// cacheMove describes the KV cache that a run on another route needs.
type cacheMove struct {
	from, to  route.Route
	number    int             // of the run
	tokens    int             // accepted tokens
	reachable map[string]bool // stages of from that still answer
}

// importCaches imports the KV cache into the stages that are new in a route, where
// there is an export of their layer range, or the replaced stage can make one, and
// the import costs less than the prefill.
func (st *requestState) importCaches(ctx context.Context, m cacheMove) {
	if st.runner.cfg.Import == nil || m.tokens == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range m.to.Stages {
		if m.from.Contains(s.Name) {
			continue
		}
		wg.Go(func() {
			x, ok := st.findExport(ctx, m, s)
			if !ok || !st.importIsCheaper(x) {
				return
			}
			if st.runner.cfg.Import(ctx, s.Address, engine.Import{Request: st.req.ID, Attempt: m.number, Handle: x.Handle}) == nil {
				countImports.Inc()
			}
		})
	}
	wg.Wait()
}

// findExport returns an export of the KV cache for the layer range of a new stage. It
// asks the replaced stage for one if that still answers, and otherwise uses the last
// checkpoint.
func (st *requestState) findExport(ctx context.Context, m cacheMove, s route.Stage) (engine.Export, bool) {
	for _, o := range m.from.Stages {
		if o.First != s.First || o.Last != s.Last || !m.reachable[o.Name] || st.runner.cfg.Export == nil {
			continue
		}
		if x, err := st.runner.cfg.Export(ctx, o.Address, st.req.ID); err == nil {
			return x, true
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	x, ok := st.exports[[2]int{s.First, s.Last}]
	return x, ok
}

// importIsCheaper tells whether an import takes less time than the prefill of the
// tokens that it contains.
func (st *requestState) importIsCheaper(x engine.Export) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	perToken := st.prefillPerToken
	if perToken == 0 {
		perToken = defaultPrefillPerToken
	}
	cost := importOverhead + time.Duration(float64(x.Bytes)/importBytesPerSecond*float64(time.Second))
	return cost < time.Duration(st.promptTokens+x.Position)*perToken
}

// exportCheckpoint exports the KV cache of every stage in the background.
func (st *requestState) exportCheckpoint() {
	if st.runner.cfg.Export == nil {
		return
	}
	for _, s := range st.route.Stages {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
			defer cancel()
			x, err := st.runner.cfg.Export(ctx, s.Address, st.req.ID)
			if err != nil {
				return
			}
			st.mu.Lock()
			defer st.mu.Unlock()
			if st.exports == nil {
				st.exports = map[[2]int]engine.Export{}
			}
			st.exports[[2]int{s.First, s.Last}] = x
		}()
	}
}
