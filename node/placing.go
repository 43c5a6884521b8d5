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

// Times of the placement lease. With the send timeout as slack, the clocks of
// two processes may differ in rate by a fifteenth.
const (
	leaseTerm    = 15 * time.Second
	leaseStep    = leaseTerm / 5 // between renewals, or looks at the row
	sendTimeout  = time.Second   // of one order
	releaseLimit = 5 * time.Second
)

// newLease returns the lease of the placement controller. A pause drops it.
func newLease(rows *table.Client, i incarnation, p *member.PauseDetector, log *logs.Factory) *lease.Holder {
	h := lease.New(lease.Config{
		Table: rows, Name: "place", Holder: string(i), Term: leaseTerm, SendTimeout: sendTimeout,
		OnViolation: violated(log.Logger("lease")),
	})
	p.OnResume(func(time.Duration) { h.Drop() })
	return h
}

// violated reports a broken invariant. A process that serves callers does not
// end because of one; the part that found it sends nothing.
func violated(log zerolog.Logger) func(string) {
	return func(reason string) { log.Error().Str("reason", reason).Msg("invariant does not hold") }
}

type placeParts struct {
	fx.In
	Lease   *lease.Holder
	Store   *change.Store
	Fleet   *fleet.Table
	Engines *engine.Client
	Weights *plat.Weights
	Log     *logs.Factory
}

func newPlacer(p placeParts) *place.Controller {
	return place.New(place.Config{
		Lease:  p.Lease,
		Wishes: func() []place.Wish { return place.Wishes(p.Store.Tree()) },
		ChecksFencing: func(service string) bool {
			s := p.Store.Tree().Service(service)
			return s != nil && s.Fenced()
		},
		Servers:     func() []place.ListedEngine { return listed(p.Store, p.Fleet) },
		ReadHolding: p.Engines.Holding,
		Send:        p.Engines.Order,
		Limits: func(ctx context.Context) (int, int, error) {
			l, err := p.Weights.Read(ctx)
			return l.Rate, l.Burst, err
		},
		SendTimeout: sendTimeout,
		OnViolation: violated(p.Log.Logger("place")),
		Log:         p.Log.Logger("place"),
	})
}

// listed returns the engines of services that have a placement wish.
func listed(st *change.Store, f *fleet.Table) []place.ListedEngine {
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

// releaseLease releases the lease at a stop. Its hook runs after that of the
// pool, so that the controller has ended.
func releaseLease(lc fx.Lifecycle, h *lease.Holder, log *logs.Factory) {
	lc.Append(fx.Hook{OnStop: func(stop context.Context) error {
		bounded, end := context.WithTimeout(stop, releaseLimit)
		defer end()
		if err := h.Release(bounded); err != nil {
			l := log.Logger("lease")
			l.Info().Err(err).Msg("lease was not released, it runs out")
		}
		return nil
	}})
}
