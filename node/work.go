package node

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/place"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/pool"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
)

// workers is the size of the pool. Sixteen polls a second, each held for a
// second by a server that does not answer, must leave room for the other tasks.
const workers = 32

func newPool(log *logs.Factory) *pool.Pool {
	l := log.Logger("node")
	return pool.New(pool.Config{Workers: workers, OnPanic: func(v any) { l.Error().Interface("panic", v).Msg("background task panicked") }})
}

func every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

type backgroundParts struct {
	fx.In
	Lifecycle fx.Lifecycle
	Pool      *pool.Pool
	Store     *change.Store
	Claims    *claim.Manager
	Fleet     *fleet.Table
	List      *plat.VMList
	Engines   *engine.Client
	Queues    *queue.Set
	Cache     *route.PrefixIndex
	Limits    *limit.Limiter
	Lease     *lease.Holder
	Placing   *place.Controller
	Pulse     *member.PauseDetector
	Peers     *peers
	Entry     *entry.Handler
	Log       *logs.Factory
}

// background runs the periodic work of the process on the pool.
func background(p backgroundParts) {
	cl, ll := p.Log.Logger("change"), p.Log.Logger("lease")
	p.Pool.Every("change", p.Store.Pause, func(ctx context.Context) {
		if err := p.Store.Step(ctx); err != nil && ctx.Err() == nil {
			cl.Warn().Err(err).Msg("refresh failed")
		}
	})
	w := newWatcher(p.Pool, p.Fleet, p.List, p.Engines, p.Queues, p.Cache, p.Log.Logger("fleet"))
	p.Pool.Every("fleet", every(fleet.StepInterval), w.Step)
	p.Pool.Every("claim", every(claim.MaintenanceInterval), p.Claims.Maintain)
	p.Pool.Every("limit", every(limit.ReportInterval), func(context.Context) {
		p.Limits.SetMembers(p.Peers.names())
		p.Limits.Tick()
	})
	p.Pool.Every("lease", every(leaseStep), func(ctx context.Context) {
		p.Pulse.Check()
		ctx, end := context.WithTimeout(ctx, leaseStep)
		defer end()
		if err := p.Lease.Step(ctx); err != nil && ctx.Err() == nil {
			ll.Info().Err(err).Msg("lease step failed")
		}
	})
	p.Pool.Every("place", every(place.Interval), p.Placing.Step)
	p.Pool.Every("guard", every(time.Second), func(context.Context) { p.Peers.guard(p.Entry) })
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { p.Pool.Start(); return nil },
		OnStop:  func(context.Context) error { p.Pool.Stop(); return nil },
	})
}
