package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/heads"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/peer"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
)

// stopTimeout is the default bound of a planned stop. It leaves time for the longest
// answer to end.
const stopTimeout = 10 * time.Minute

// incarnation identifies one run of a process: the name of the process and a
// random suffix.
type incarnation string

// New returns the fx application of one entry process. Logs go to out.
func New(s Settings, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.stopLimit()),
		fx.Supply(s),
		fx.Provide(
			func() (*logs.Factory, error) {
				return logs.New(logs.Config{Out: out, Node: s.Name, Level: s.Log.Level, Levels: s.Log.Parts})
			},
			func() incarnation { return incarnation(s.Name + "/" + uuid.NewString()) },
			func(factory *logs.Factory) plat.Config {
				return plat.Config{Address: s.Platform.Address, OddVMs: watch.NewOddRows("vms", factory.Logger("fleet"))}
			},
			plat.NewTableClient,
			plat.NewVMList,
			func() *fleet.Table { return fleet.New(fleet.Config{Self: s.Name, Domain: s.Domain}) },
			route.NewPrefixIndex,
			func(t *fleet.Table, prefixes *route.PrefixIndex) *route.Chooser {
				return route.New(route.Config{Fleet: t, PrefixIndex: prefixes, Rand: rand.New(rand.NewSource(time.Now().UnixNano()))})
			},
			plat.NewObjectClient,
			newPool,
			newConfigSync,
			newStore,
			func() *quota.Quota { return quota.ForVM(s.MemoryMB()) },
			func(q *quota.Quota) *engine.Client {
				return engine.New(engine.Config{Quota: q, Receive: s.headLimits().Receive()})
			},
			newPoisonTracker,
			func(t *poison.Tracker, l *logs.Factory) *guard.Guard {
				return guard.New(guard.Config{Tracker: t, Log: l.Logger("guard")})
			},
			func(t *fleet.Table, e *engine.Client, g *guard.Guard, l *logs.Factory) *proxy.Pool {
				return proxy.NewTablePool(proxy.TablePoolConfig{
					Table: t, Client: proxy.New(proxy.Config{Receive: s.headLimits().Receive()}), Engines: e, Guard: g, Intake: intake.New(intake.Config{Log: l.Logger("intake")}),
				})
			},
			newClaimManager,
			func() *member.PauseDetector { return member.NewPauseDetector(time.Now) },
			plat.NewWeightStore,
			newPeers,
			newLease,
			newPlacementController,
			metrics.NewSet,
			newLimiter,
			newQueues,
			newEntry,
			newDrainer,
			newAdmin,
		),
		// Hooks stop in reverse order: the listeners drain, the pool stops, the lease
		// is released, the process leaves the membership.
		fx.Invoke(connectPeerHandlers, startPeers, releaseLease, startBackgroundTasks, startListeners),
	)
}

// newStore returns the configuration store and sets it in c.
func newStore(t *table.Client, o *object.Client, c *configSync) *change.Store {
	c.store = change.NewStore(change.StoreConfig{
		Table: t, Objects: o, Log: c.log, Live: c.processCount, Announce: c.announce, Offer: c.offer, Peers: c.peerNames, Fetch: c.fetchRecords,
	})
	return c.store
}

func newClaimManager(s Settings, t *table.Client, o *object.Client, i incarnation, p *peers, l *logs.Factory) *claim.Manager {
	return claim.New(claim.Config{
		Table: t, Objects: o, Holder: string(i), Memory: s.claimMB() << 20, Log: l.Logger("claim"), QueryHolder: p.queryClaim, ProcessCount: p.configSync.processCount,
	})
}

// connectPeerHandlers sets the handlers of the calls that peers make.
func connectPeerHandlers(p *peers, claims *claim.Manager, e *entry.Handler, limits *limit.Limiter, t *poison.Tracker, q *quota.Quota) {
	p.setHandlers(peerHandlers{
		Claim: func(_ context.Context, _ peer.Remote, id string) (claim.RunStatus, error) {
			return claims.RunStatus(id), nil
		},
		Forward: forwardHandler(e, q),
		Report:  func(_ context.Context, _ peer.Remote, r limit.Report) error { limits.HandleReport(r); return nil },
		Share:   func(_ context.Context, _ peer.Remote, s limit.Share) error { limits.HandleShare(s); return nil },
		Suspects: func(_ context.Context, from peer.Remote, m peer.SuspectMessage) ([]poison.Record, error) {
			return p.handleSuspects(t, from, m)
		},
	})
}

type entryParams struct {
	fx.In
	Settings Settings
	Store    *change.Store
	Fleet    *fleet.Table
	Chooser  *route.Chooser
	Engines  *engine.Client
	Services *proxy.Pool
	Claims   *claim.Manager
	Peers    *peers
	Guard    *guard.Guard
	Quota    *quota.Quota
	Limits   *limit.Limiter
	Queues   *queue.Set
	Log      *logs.Factory
}

func newEntry(p entryParams) *entry.Handler {
	return entry.New(entry.Config{
		Store: p.Store, Fleet: p.Fleet, Chooser: p.Chooser, Engines: p.Engines, Services: p.Services, Claims: p.Claims,
		Admission: &entry.AdmissionControl{Limits: p.Limits, Queues: p.Queues},
		Guard:     p.Guard, Quota: p.Quota,
		Domain: p.Settings.Domain, Self: p.Settings.Listen.Callers, Log: p.Log.Logger("entry"),
		Addresses: p.Peers.addresses, Forward: p.Peers.forward,
	})
}

func newAdmin(s Settings, st *change.Store, t *table.Client, f *fleet.Table, d *drainer, p *peers, m *metrics.Set, l *logs.Factory) *admin.Handler {
	return admin.New(admin.Config{
		Name: s.Name, Domain: s.Domain, RootCredentialHash: s.Token, Store: st, Table: t, Fleet: f,
		Drain: d.drainAndStop, Live: p.configSync.liveVersions, Metrics: p.writeMetrics(m), Log: l.Logger("admin"),
	})
}

// startListeners opens both HTTP listeners before the process counts as started.
// At a stop the listener for callers closes once the process is drained; the
// listener for operators closes after it.
func startListeners(lc fx.Lifecycle, s Settings, e *entry.Handler, d *drainer, a *admin.Handler, m *metrics.Set, log *logs.Factory) {
	callers, others := s.headLimits().Split()
	callers.Log, others.Log = log.Logger("entry"), log.Logger("admin")
	callers.ContentType, callers.Body = entry.HeadRefusal()
	account := func(part string, cfg heads.Config) *heads.Account {
		a := heads.New(cfg)
		a.Gauges(part, func(name string, f func() float64) { m.NewGauge("cranberrybay_"+name, f) })
		return a
	}
	addListener(lc, httpListener{name: "admin", address: s.Listen.Admin, server: a.Server(), heads: account("others", others)}, log)
	addListener(lc, httpListener{name: "callers", address: s.Listen.Callers, server: e.Server(), heads: account("callers", callers), entry: e, drain: d}, log)
}

// httpListener is an HTTP server on an address. The one for callers is drained
// before it closes.
type httpListener struct {
	name    string
	address string
	server  *http.Server
	heads   *heads.Account
	entry   *entry.Handler // nil for operators
	drain   *drainer       // nil for operators
}

// addListener opens the listener at the start and closes it at the stop.
func addListener(lc fx.Lifecycle, s httpListener, log *logs.Factory) {
	var l net.Listener
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var err error
			if l, err = s.heads.Listen(ctx, "tcp", s.address); err != nil {
				return fmt.Errorf("listen for %s on %s: %w", s.name, s.address, err)
			}
			s.heads.Attach(s.server)
			l = s.heads.Listener(l)
			if s.entry != nil {
				l = s.entry.Listener(l)
			}
			go func() {
				if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
					l := log.Logger("node")
					l.Error().Err(err).Str("listener", s.name).Msg("listener ended")
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if s.entry == nil {
				return s.server.Shutdown(ctx)
			}
			ctx, cancel := s.drain.bound(ctx)
			defer cancel()
			s.entry.WaitDrained(ctx, s.drain.lingerUntil)
			return s.entry.Shutdown(ctx, s.server, l)
		},
	})
}
