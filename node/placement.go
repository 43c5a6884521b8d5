package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/place"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/table"
)

// Times of the placement lease. With sendTimeout as slack, the clock rates of two
// processes may differ by up to 1/15.
const (
	leaseTerm           = 15 * time.Second
	leaseStepInterval   = leaseTerm / 5 // between renewals, or reads of a lease held elsewhere
	sendTimeout         = time.Second   // of one order
	leaseReleaseTimeout = 5 * time.Second
)

// newLease returns the lease of the placement controller. The holder drops it
// after the process was paused.
func newLease(t *table.Client, i incarnation, pauses *member.PauseDetector, factory *logs.Factory) *lease.Holder {
	log := factory.Logger("lease")
	h := lease.New(lease.Config{
		Table: t, Name: "place", Holder: string(i), Term: leaseTerm, SendTimeout: sendTimeout, OnViolation: logViolation(log),
		OnUnreadable: func(revision uint64, err error) {
			log.Warn().Err(err).Uint64("revision", revision).Msg("row can't be used")
		},
	})
	pauses.OnResume(func(time.Duration) { h.Drop() })
	return h
}

// logViolation logs a broken invariant. The process keeps serving callers; the
// part that detected the violation sends nothing.
func logViolation(log zerolog.Logger) func(string) {
	return func(reason string) { log.Error().Str("reason", reason).Msg("invariant does not hold") }
}

type placementParams struct {
	fx.In
	Lease   *lease.Holder
	Store   *change.Store
	Fleet   *fleet.Table
	Engines *engine.Client
	Weights *plat.WeightStore
	Log     *logs.Factory
}

func newPlacementController(p placementParams) *place.Controller {
	return place.New(place.Config{
		Lease:  p.Lease,
		Wishes: func() []place.Wish { return place.Wishes(p.Store.Tree()) },
		ChecksFencing: func(service string) bool {
			s := p.Store.Tree().Service(service)
			return s != nil && s.Fenced()
		},
		Servers:     func() []place.ListedEngine { return listEngines(p.Store, p.Fleet) },
		ReadHolding: p.Engines.OrderStatus,
		Send:        p.Engines.Order,
		Limits: func(ctx context.Context) (int, int, error) {
			l, err := p.Weights.ReadLimits(ctx)
			return l.Rate, l.Burst, err
		},
		SendTimeout: sendTimeout,
		OnViolation: logViolation(p.Log.Logger("place")),
		Log:         p.Log.Logger("place"),
	})
}

// listEngines returns the engines of the services that have a placement wish.
func listEngines(st *change.Store, f *fleet.Table) []place.ListedEngine {
	wished := map[string]bool{}
	for _, w := range st.Tree().Wishes() {
		wished[w.Service()] = true
	}
	var out []place.ListedEngine
	for _, s := range f.All() {
		if wished[s.Service] {
			out = append(out, place.ListedEngine{Name: s.Name, Address: s.Address, Domain: s.Domain, Service: s.Service, Leaving: s.Leaving})
		}
	}
	return out
}

// releaseLease releases the lease at a stop. Its hook runs after that of the pool,
// so that the placement controller no longer runs.
func releaseLease(lc fx.Lifecycle, h *lease.Holder, log *logs.Factory) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		bounded, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
		defer cancel()
		if err := h.Release(bounded); err != nil {
			l := log.Logger("lease")
			l.Info().Err(err).Msg("lease was not released, it will expire")
		}
		return nil
	}})
}
