package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/table"
)

// stopTimeout bounds a planned stop: the longest answer must fit.
const stopTimeout = 10 * time.Minute

// incarnation names one run of a process.
type incarnation string

// New returns the fx application of one entry process. Logs go to out.
func New(s Settings, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.Supply(s),
		fx.Provide(
			func() zerolog.Logger { return zerolog.New(out).With().Timestamp().Str("node", s.Name).Logger() },
			func() incarnation { return incarnation(s.Name + "/" + uuid.NewString()) },
			func() plat.Config { return plat.Config{Address: s.Platform.Address} },
			plat.Table,
			plat.NewVMList,
			fleet.NewTable,
			func(t *table.Client) *change.Store { return change.NewStore(change.StoreConfig{Table: t}) },
			func() *engine.Client { return engine.New(engine.Config{}) },
			func() *proxy.Client { return proxy.New(proxy.Config{}) },
			func(t *table.Client, i incarnation) *claim.Book {
				return claim.New(claim.Config{Table: t, Holder: string(i)})
			},
			metrics.NewSet,
			newKeeper,
			newQueues,
			newEntry,
			newAdmin,
		),
		fx.Invoke(background, listen, reportDemand),
	)
}

func part(l zerolog.Logger, name string) zerolog.Logger { return l.With().Str("part", name).Logger() }

type entryParts struct {
	fx.In
	Settings Settings
	Store    *change.Store
	Fleet    *fleet.Table
	Engines  *engine.Client
	Services *proxy.Client
	Claims   *claim.Book
	Limits   *limit.Keeper
	Queues   *queue.Set
	Log      zerolog.Logger
}

func newEntry(p entryParts) *entry.Handler {
	return entry.New(entry.Config{
		Store: p.Store, Fleet: p.Fleet, Engines: p.Engines, Services: p.Services, Claims: p.Claims,
		Gate:   &entry.Gate{Limits: p.Limits, Queues: p.Queues, Retries: queue.NewBudget(retryPart, retryBurst)},
		Domain: p.Settings.Domain, Log: part(p.Log, "entry"),
		Addresses: func() entry.Addresses {
			return entry.Addresses{Addresses: []string{p.Settings.Listen.Callers}, Until: time.Now().Add(30 * time.Second).UTC()}
		},
	})
}

func newAdmin(s Settings, st *change.Store, t *table.Client, f *fleet.Table, e *entry.Handler, m *metrics.Set, l zerolog.Logger) *admin.Handler {
	return admin.New(admin.Config{
		Name: s.Name, Domain: s.Domain, Token: s.Token, Store: st, Table: t, Fleet: f,
		Drain: e.Drain, Metrics: m.WritePrometheus, Log: part(l, "admin"),
	})
}

// Intervals of background work.
const (
	refreshInterval = time.Second
	listInterval    = time.Second
	loadInterval    = 500 * time.Millisecond
)

// background runs the loops that keep tables fresh.
func background(lc fx.Lifecycle, st *change.Store, f *fleet.Table, l *plat.VMList, e *engine.Client, q *queue.Set, log zerolog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{fleet: f, list: l, engines: e, queues: q, log: part(log, "fleet")}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			cl := part(log, "change")
			go st.Run(ctx, refreshInterval, func(err error) { cl.Warn().Err(err).Msg("refresh failed") })
			go w.run(ctx)
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

// listen opens both listeners before the process counts as started.
func listen(lc fx.Lifecycle, s Settings, e *entry.Handler, a *admin.Handler, log zerolog.Logger) {
	serveOn(lc, "callers", s.Listen.Callers, e.Server(), e.Drain, log)
	serveOn(lc, "admin", s.Listen.Admin, a.Server(), func() {}, log)
}

func serveOn(lc fx.Lifecycle, name, address string, srv *http.Server, drain func(), log zerolog.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var c net.ListenConfig
			l, err := c.Listen(ctx, "tcp", address)
			if err != nil {
				return fmt.Errorf("listen for %s on %s: %w", name, address, err)
			}
			go func() {
				if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					log.Error().Err(err).Str("listener", name).Msg("listener ended")
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			drain()
			return srv.Shutdown(ctx)
		},
	})
}
