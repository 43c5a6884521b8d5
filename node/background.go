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
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/place"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/pool"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/route"
)

// workerCount is the size of the pool. 16 polls a second, each blocked for a second
// by a server that does not answer, must leave workers for the other tasks.
const workerCount = 32

func newPool(log *logs.Factory) *pool.Pool {
	l := log.Logger("node")
	return pool.New(pool.Config{Workers: workerCount, OnPanic: func(v any) { l.Error().Interface("panic", v).Msg("background task panicked") }})
}

// lastWriteTime bounds the wait of a planned stop for the outcomes of calls that are
// not in the table yet. When they are lost, a repeat of the call is answered as one that
// may have run. It is a part of endReserve, and longer than a short outage of the table.
const lastWriteTime = endReserve / 3

func fixedInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

type backgroundParams struct {
	fx.In
	Lifecycle   fx.Lifecycle
	Pool        *pool.Pool
	Store       *change.Store
	Claims      *claim.Manager
	Fleet       *fleet.Table
	VMs         *plat.VMList
	Engines     *engine.Client
	Queues      *queue.Set
	PrefixIndex *route.PrefixIndex
	Limits      *limit.Limiter
	Lease       *lease.Holder
	Placement   *place.Controller
	Pauses      *member.PauseDetector
	Peers       *peers
	Entry       *entry.Handler
	Guard       *guard.Guard
	Suspects    *poison.Tracker
	Log         *logs.Factory
}

// startBackgroundTasks runs the periodic tasks of the process on the pool.
func startBackgroundTasks(p backgroundParams) {
	changeLog, leaseLog := p.Log.Logger("change"), p.Log.Logger("lease")
	p.Pool.Every("change", p.Store.StepDelay, func(ctx context.Context) {
		if err := p.Store.Step(ctx); err != nil && ctx.Err() == nil {
			changeLog.Warn().Err(err).Msg("refresh failed")
		}
	})
	w := newFleetWatcher(p.Pool, p.Fleet, p.VMs, p.Engines, p.Queues, p.PrefixIndex, p.Guard, p.Log.Logger("fleet"))
	p.Pool.Every("fleet", fixedInterval(fleet.StepInterval), w.Step)
	p.Pool.Every("claim", fixedInterval(claim.MaintenanceInterval), p.Claims.Maintain)
	p.Pool.Every("limit", fixedInterval(limit.ReportInterval), func(context.Context) {
		p.Limits.SetMembers(p.Peers.liveNames())
		p.Limits.Tick()
	})
	p.Pool.Every("lease", fixedInterval(leaseStepInterval), func(ctx context.Context) {
		p.Pauses.Check()
		ctx, cancel := context.WithTimeout(ctx, leaseStepInterval)
		defer cancel()
		if err := p.Lease.Step(ctx); err != nil && ctx.Err() == nil {
			leaseLog.Info().Err(err).Msg("lease step failed")
		}
	})
	p.Pool.Every("place", fixedInterval(place.Interval), p.Placement.Step)
	p.Pool.Every("suspects", fixedInterval(suspectInterval), func(ctx context.Context) { p.Peers.exchangeSuspects(ctx, p.Suspects) })
	p.Pool.Every("guard", fixedInterval(time.Second), func(context.Context) { p.Peers.drainIfSuperseded(p.Entry) })
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { p.Pool.Start(); return nil },
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, lastWriteTime)
			defer cancel()
			p.Claims.AwaitWrites(ctx)
			p.Pool.Stop()
			return nil
		},
	})
}
