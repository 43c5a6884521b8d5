package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/heads"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/socket"
	"github.com/cranberrybay/cranberrybay/watch"
)

const (
	// missingEntryGrace is how long a missing registry entry may take to reappear
	// after an outage of the registry. The platform states about two seconds.
	missingEntryGrace = 2200 * time.Millisecond
	// pollWait is the long-poll wait on a table's feed of changes. It bounds the age
	// of the configuration while nothing changes.
	pollWait = time.Second
	// pollSlack is added to pollWait until a poll counts as lost. A slow store takes
	// about 0.3 s; a connection that went silent is detected only by this timeout.
	pollSlack = 700 * time.Millisecond
	// registrySettle is the pause after a change of the registry, to batch changes:
	// engines change one by one when they start or load. It is short compared with
	// the bound on drains.
	registrySettle = 250 * time.Millisecond
	// expireInterval is the interval between checks for entries that did not
	// reappear.
	expireInterval = 200 * time.Millisecond
	// idleCheckInterval is the interval between checks of idle connections to backend
	// servers. It is shorter than the margin before the idle timeout of a server.
	idleCheckInterval = 250 * time.Millisecond
	// addressTTL is how long callers may cache a list of addresses. They go on using
	// the address of a process that died for this time.
	addressTTL = time.Second
	// stopMargin is the part of the time between SIGTERM and SIGKILL that is not
	// used for draining.
	stopMargin = 700 * time.Millisecond
	// listenerLinger keeps the listener of a stopping process open for callers that
	// have cached its address.
	listenerLinger = 3200 * time.Millisecond
	// sendTimeout bounds every message that is sent under the lease.
	sendTimeout = time.Second
)

// incarnation identifies one run of a process.
type incarnation struct {
	text   string
	number uint64
}

// New returns the application of an entry process on the platform, which writes its
// log to out.
func New(s Settings, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.gracePeriod()),
		fx.Supply(s, incarnation{text: s.Name + "/" + uuid.NewString(), number: rand.Uint64()}),
		fx.Provide(
			func() *logs.AsyncWriter { return logs.NewAsyncWriter(out) },
			func(q *logs.AsyncWriter) (*logs.Factory, error) {
				return logs.New(logs.Config{Out: q, Node: s.Name, Level: s.Log.Level, Levels: s.Log.Parts})
			},
			func() *quota.Quota { return quota.ForVM(s.Limits.Memory) },
			newStore,
			func() *config.Tracker { return &config.Tracker{} },
			newConnShares,
			func(c *connShares) *link.Client {
				return link.New(link.Config{Limit: c.limit, Receive: s.headLimits().Receive(), Loans: s.headLimits().ServerLoans()})
			},
			func(c *link.Client, q *quota.Quota) *platform.Backend { return &platform.Backend{Client: c, Quota: q} },
			func() *sharedState { return &sharedState{} },
			func() *seal.Sealer { return &seal.Sealer{} },
			self,
			newCounters,
			newPoisonTracker,
			newPacer,
			newIntake,
			newServerTable,
			newRegistry,
			newMembers,
			newStateFetcher,
			newProcessRegistrar,
			newRetryBudgets,
			newRelay,
			newHandler,
			newPlacer,
		),
		fx.Invoke(logStart, followTables, exchangeHeartbeats, closeConnections, placeLayers, listen, registerGauges, watchImbalance),
	)
}

func logStart(s Settings, i incarnation, factory *logs.Factory, queue *logs.AsyncWriter, lc fx.Lifecycle) {
	log := factory.Logger("edge")
	log.Info().Str("incarnation", i.text).Str("domain", s.Domain).Str("callers", s.Listen.Callers).
		Str("store", s.Store.Address).Int64("memory", s.Limits.Memory).Msg("process starts")
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		log.Info().Msg("process stops")
		queue.Close(logFlushTimeout)
		return nil
	}})
}

// logFlushTimeout bounds the writing of queued log lines when the process stops.
const logFlushTimeout = 200 * time.Millisecond

func newPoisonTracker(state *sharedState, factory *logs.Factory) *poison.Tracker {
	return poison.New(poison.Config{
		Log:          factory.Logger("poison"),
		Announce:     func(records []poison.Record) { state.announceSuspects(records) },
		OnQuarantine: func() { state.onQuarantine() },
	})
}

func newStore(s Settings, q *quota.Quota, state *sharedState, factory *logs.Factory) *platform.Store {
	store, log := platform.NewStore(s.Store.Address, q), factory.Logger("watch")
	store.OnEra = func(was, is uint64) {
		if was > 0 {
			log.Warn().Uint64("was", was).Uint64("era", is).Msg("platform store returned from an older copy")
			state.onStoreRestored()
		}
	}
	return store
}

func newPacer(state *sharedState, factory *logs.Factory) *pacer.Pacer {
	return pacer.New(pacer.Config{
		Log:      factory.Logger("pacer"),
		Fleet:    func() pacer.Fleet { return state.fleet() },
		Announce: func(records []pacer.Record) { state.announceRates(records) },
	})
}

func newIntake(s Settings, state *sharedState, factory *logs.Factory) *intake.Tracker {
	return intake.New(intake.Config{
		Log: factory.Logger("intake"), MaxPause: s.maxPause(),
		Announce:  func(records []intake.Record) { state.announceLeavers(records) },
		OnLeaving: func(servers []uint64) { state.servers.MarkLeaving(servers); state.recheck() },
	})
}

func newServerTable(client *link.Client, t *poison.Tracker, in *intake.Tracker, state *sharedState, factory *logs.Factory) *server.Table {
	state.servers = server.NewTable(server.Config{
		Log: factory.Logger("server"), OutageGrace: missingEntryGrace, OnRemoved: client.CloseIdle, Leaves: in.Leaves,
		OnDied: func(s *server.Server) { go t.RecordCrash(s.Incarnation()) }, // announces it, so not under the table's lock
	})
	return state.servers
}

func newRegistry(s Settings, factory *logs.Factory) *platform.Registry {
	return &platform.Registry{AllowLoopback: s.onLoopback(), Odd: watch.NewOddRows(platform.TableServers, factory.Logger("watch"))}
}

// self returns the description of this process that the other processes get.
func self(s Settings) beat.Peer {
	return beat.Peer{
		Name: s.Name, Address: s.Listen.Heartbeats, CallerAddress: s.Listen.Callers, Domain: s.Domain,
		Weight: uint32(weightPerCore * s.Limits.CPUShare * max(s.Limits.Cores, 1)),
	}
}

// newStateFetcher returns a fetcher of the tables that entry processes follow. It logs as
// part "beat", like the rest of the messages between entry processes.
func newStateFetcher(self beat.Peer, sealer *seal.Sealer, members *beat.Membership, t *poison.Tracker, p *pacer.Pacer, in *intake.Tracker, state *sharedState, factory *logs.Factory) *stateFetcher {
	return &stateFetcher{self: self, sealer: sealer, members: members, poison: t, pacer: p, intake: in, follower: state.follower, tables: []string{platform.TableConfig, platform.TableServers}, log: factory.ClientLogger("beat")}
}

func newProcessRegistrar(s Settings, self beat.Peer, store *platform.Store, members *beat.Membership, sealer *seal.Sealer, f *stateFetcher, b *retryBudgets, shares *connShares, t *poison.Tracker, p *pacer.Pacer, in *intake.Tracker, tracker *config.Tracker, state *sharedState, factory *logs.Factory) *registrar {
	onSize := func(processes int) {
		b.resize(processes)
		shares.resize(processes)
	}
	m := newRegistrar(registrarConfig{
		Self: self, Bootstrap: s.Bootstrap, Rows: store.Table(), Members: members, Sealer: sealer, Fetch: f.fetch, OnSize: onSize, HoldsLease: state.holdsLease, Poison: t, Pacer: p, Intake: in,
		Odd: watch.NewOddRows(strings.TrimSuffix(rowPrefix, "/"), factory.Logger("beat")), Log: factory.Logger("beat"),
	})
	state.newerConfig = &newerConfig{tracker: tracker, fetch: f.fetch, log: factory.Logger("watch"), offer: func(rows []watch.Row) {
		if follower := state.follower(platform.TableConfig); follower != nil {
			follower.OfferRows(rows)
		}
	}}
	state.onUnknownKey = func() { m.unknownKey.Store(true) }
	state.onQuarantine, state.onStoreRestored = m.quarantineChanged, m.storeRestored
	return m
}

func newMembers(s Settings, self beat.Peer, i incarnation, sealer *seal.Sealer, servers *server.Table, t *poison.Tracker, p *pacer.Pacer, in *intake.Tracker, state *sharedState, c *counters, factory *logs.Factory) (*beat.Membership, error) {
	conn, err := net.ListenPacket("udp4", s.Listen.Heartbeats)
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	state.packets = conn
	members := beat.New(beat.Config{
		Self: self, Incarnation: i.number, Sealer: sealer, Clock: state.clock,
		State: func() beat.State {
			return beat.State{Ready: state.ready(), Leaving: state.leaving(), Settled: state.hasConfig() && !state.cutOff(), Config: state.configVersion(), Lease: state.lease(), Watermarks: state.seen()}
		},
		OnNewerKey: func() {
			if state.onUnknownKey != nil {
				state.onUnknownKey()
			}
		},
		OnDropped:  c.droppedHeartbeat,
		OnSuspects: t.Merge,
		Suspects: func() beat.Suspects {
			return beat.Suspects{Own: t.Recent(true), Changed: t.Recent(false), All: t.Records()}
		},
		OnRates:   p.Merge,
		OnLeavers: in.Merge,
		OnConfig: func(version uint64, from beat.Peer) {
			if state.newerConfig != nil {
				state.newerConfig.observe(version, from)
			}
		},
		Rates: func() beat.Rates {
			return beat.Rates{Own: p.Recent(true), Changed: p.Recent(false), All: p.Records()}
		},
		Leavers: func() beat.Leavers {
			return beat.Leavers{Own: in.Recent(true), Changed: in.Recent(false), All: in.Records()}
		},
		OnWatermark: func(seen beat.Watermark) {
			if f := state.follower(seen.Table); f != nil {
				f.ObserveWatermark(watch.Watermark{Changed: seen.Changed, Clock: seen.Clock})
			}
		},
		OnPage: func(p beat.Page) {
			if f := state.follower(p.Table); f != nil {
				f.OfferRelayed(watch.Page{Rows: p.Rows, Revision: p.Revision, Clock: p.Clock}, p.After, p.Changed)
			}
		},
		Work: func() []beat.Work {
			var out []beat.Work
			for _, srv := range servers.All() {
				if n := srv.Inflight(); n > 0 {
					out = append(out, beat.Work{Server: srv.ID(), Streams: n, Tokens: srv.ReservedTokens()})
				}
			}
			return out
		},
		OnDead: func(hashes []uint64) {
			for _, srv := range servers.All() {
				if state.handler != nil && slices.Contains(hashes, beat.ServerHash(srv.ID())) {
					state.handler.relay.MarkDead(srv)
				}
			}
		},
		Send: func(address string, b []byte) error {
			to, err := netip.ParseAddrPort(address) // a look-up of a name would delay all heartbeats
			if err != nil {
				return err
			}
			_, err = conn.WriteTo(b, net.UDPAddrFromAddrPort(to))
			return err
		},
		Log: factory.Logger("beat"),
	})
	state.announceSuspects, state.announceRates, state.announceLeavers, state.fleet = members.ReportSuspects, members.ReportRates, members.ReportLeavers, members.Fleet
	return members, nil
}

// weightPerCore is the weight of a process that may use one whole core.
const weightPerCore = 1000

func newRelay(s Settings, q *quota.Quota, servers *server.Table, client *link.Client, backend *platform.Backend, members *beat.Membership, budgets *retryBudgets, t *poison.Tracker, p *pacer.Pacer, in *intake.Tracker, c *counters, factory *logs.Factory) *relay.Relay {
	return relay.New(relay.Config{
		Servers: servers, Send: backend.Send, FetchReport: backend.Report, Repath: backend.Repath, Probe: client.Probe, Budget: budgets.of, Quota: q, PeerLoad: members.PeerLoad, PeerReport: members.PeerReport,
		Poison: t, Pacer: p, Intake: in, AnnounceDead: func(srv *server.Server) { members.ReportDead(srv.ID()) },
		Domain: s.Domain, Log: factory.ClientLogger("relay"), Count: c.event, Observe: c.observe, ObserveAdmission: newAdmissionMetrics(c).observe,
		CountViolation: func(i relay.Invariant) { c.violation(string(i)) },
	})
}

func newPlacer(self beat.Peer, i incarnation, members *beat.Membership, state *sharedState, store *platform.Store, tracker *config.Tracker, servers *server.Table, backend *platform.Backend, in *intake.Tracker, c *counters, factory *logs.Factory) *Placer {
	log := factory.Logger("place")
	unreadable := watch.NewOddRows("lease", log)
	p := &Placer{
		// Besides the lease holder, only hubs read the lease's row.
		leaveToOthers: func() bool {
			hub, since := members.HubPeer()
			return members.LeaseHeldByPeer(overdueRemaining) || hub.Name != self.Name || since < hubMinAge || !state.hasConfig()
		},
		behind: state.behind,
		streams: func(s *server.Server) int {
			n, _ := members.PeerLoad(s.ID())
			return n + s.Inflight()
		},
		lease: lease.New(lease.Config{
			Table: store.Table(), Name: "place", Holder: i.text, Term: leaseTerm, SendTimeout: sendTimeout, Era: store.Era,
			SendsInFlight: func() bool { return state.placer.sending.Load() > 0 },
			PeerAnnouncement: func() (lease.Announcement, bool) {
				l, ok := members.Lease()
				return lease.Announcement{Fence: l.Fence, Revision: l.Revision, Until: time.Now().Add(l.Until - clock.Now()), Ended: l.Ended}, ok
			},
			OnUnreadable: func(revision uint64, err error) {
				unreadable.Reject(watch.Row{Key: "place", Revision: revision}, err)
			},
			OnViolation: func(reason string) {
				log.Error().Str("reason", reason).Msg("lease invariant does not hold")
				c.violation("lease")
			},
		}),
		tracker: tracker, servers: servers, place: backend.Place, acceptedOrders: backend.AcceptedOrders, log: log, counters: c,
		rests: func(s *server.Server) bool { return in.Rests(s.Incarnation()) },
	}
	state.placer = p
	return p
}

// followTables keeps the configuration and the registry of backend servers up to date.
func followTables(s Settings, store *platform.Store, tracker *config.Tracker, servers *server.Table, registry *platform.Registry, in *intake.Tracker, members *beat.Membership, m *registrar, state *sharedState, factory *logs.Factory, lc fx.Lifecycle) {
	log := factory.Logger("watch")
	tableConfig := func(name string) watch.Config {
		return watch.Config{
			Name: name, Wait: pollWait, Slack: pollSlack, Log: log,
			FetchInitial:  func(ctx context.Context) (watch.State, bool) { return m.initialState(ctx, name) },
			PolledByPeers: func() bool { return !members.IsPoller() },
			Rank:          members.Rank,
			ShareWatermark: func(w watch.Watermark) {
				members.ShareWatermark(beat.Watermark{Table: name, Changed: w.Changed, Clock: w.Clock})
			},
			Share: func(p watch.Page, after, changed uint64) {
				members.ShareChanges(beat.Page{Watermark: beat.Watermark{Table: name, Changed: changed, Clock: p.Clock}, After: after, Revision: p.Revision, Rows: p.Rows})
			},
			Read: func(ctx context.Context) (watch.Page, error) { return store.Read(ctx, name) },
			Poll: func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
				return store.Poll(ctx, name, after, wait)
			},
		}
	}
	unusedConfig := watch.NewOddRows(platform.TableConfig, log)
	configTable := tableConfig(platform.TableConfig)
	configTable.Confirm = tracker.Confirm
	configTable.IsNewer, configTable.KeepMissing = platform.IsNewerConfig, true
	configTable.Apply = func(p watch.Page, _ time.Duration) {
		c, err := platform.DecodeConfig(p.Rows)
		switch {
		case err != nil:
			unusedConfig.Reject(watch.Row{Key: platform.KeyConfig, Revision: p.Revision}, err)
		case c != nil:
			unusedConfig.Accept(platform.KeyConfig)
		}
		if c != nil && tracker.Apply(c) {
			log.Info().Uint64("version", c.Version()).Uint64("revision", p.Revision).Msg("configuration in effect")
			state.recheck()
		}
	}
	serverTable := tableConfig(platform.TableServers)
	read, poll := serverTable.Read, serverTable.Poll
	serverTable.Read = func(ctx context.Context) (watch.Page, error) {
		p, err := read(ctx)
		return registry.Trim(p), err
	}
	serverTable.Poll = func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
		p, err := poll(ctx, after, wait)
		return registry.Trim(p), err
	}
	serverTable.BatchDelay = registrySettle
	serverTable.IsNewer, serverTable.CopyGrace = platform.IsNewerServer, s.entryLifetime()+missingEntryGrace
	serverTable.Confirm = func(time.Duration) {}
	serverTable.Apply = func(p watch.Page, outage time.Duration) {
		servers.Apply(registry.Decode(p), p.Whole, outage)
		state.recheck()
	}
	configFollower, serverFollower := watch.New(configTable), watch.New(serverTable)
	state.followers.Store(&map[string]*watch.Follower{platform.TableConfig: configFollower, platform.TableServers: serverFollower})
	runAll(lc, configFollower.Run, serverFollower.Run, every(expireInterval, func(context.Context) {
		servers.Expire()
		in.Expire()
	}))
}

// runAll runs each function on a goroutine from the start of the application and
// cancels their context when it stops.
func runAll(lc fx.Lifecycle, funcs ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, f := range funcs {
				go f(ctx)
			}
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

// every returns a function that calls f at an interval until its context ends.
func every(interval time.Duration, f func(ctx context.Context)) func(ctx context.Context) {
	return func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f(ctx)
			}
		}
	}
}

// closeConnections closes the idle connections to backend servers in time.
func closeConnections(client *link.Client, lc fx.Lifecycle) {
	runAll(lc, every(idleCheckInterval, func(context.Context) { client.CloseExpired() }))
}

func placeLayers(p *Placer, lc fx.Lifecycle) { runAll(lc, p.Run) }

// maxDatagram is the size of the longest heartbeat in bytes.
const maxDatagram = 64 << 10

// exchangeHeartbeats receives and sends heartbeats, and answers the state fetches of
// starting processes.
func exchangeHeartbeats(s Settings, members *beat.Membership, m *registrar, f *stateFetcher, state *sharedState, factory *logs.Factory, lc fx.Lifecycle) {
	log := factory.Logger("beat")
	state.sendHeartbeat = members.SendHeartbeat
	receive := func(ctx context.Context) {
		buf := make([]byte, maxDatagram)
		for {
			size, _, err := state.packets.ReadFrom(buf)
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.Warn().Err(err).Msg("failed to receive a heartbeat")
				continue
			}
			members.Receive(buf[:size])
		}
	}
	var ln net.Listener
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			if ln, err = socket.Listen(ctx, "tcp4", s.Listen.Heartbeats, socket.Config{Receive: maxFetchBytes, Queue: maxConcurrentFetches}); err != nil {
				return fmt.Errorf("listen for state fetches: %w", err)
			}
			go f.serve(ln)
			return nil
		},
		OnStop: func(context.Context) error { return errors.Join(ln.Close(), state.packets.Close()) },
	})
	runAll(lc, receive, members.Run, m.run)
}

// listen starts the HTTP servers of the process.
func listen(s Settings, h *Handler, q *quota.Quota, members *beat.Membership, c *counters, factory *logs.Factory, lc fx.Lifecycle) {
	log := factory.Logger("edge")
	forCallers, forOthers := s.headLimits().Split()
	forCallers.Log, forOthers.Log = log, log
	heads, otherHeads := heads.New(forCallers), heads.New(forOthers)
	heads.Gauges("callers", c.gauge)
	otherHeads.Gauges("others", c.gauge)
	front := &platform.CallerHandler{Serve: h.Serve, MaxBody: h.maxBody, Leaving: h.isLeaving, Quota: q, OnPanic: h.logPanic}
	find := func(domain string) ([]string, time.Duration) { return h.addresses(s, members, domain), addressTTL }
	conns := newCallerConns(h.limits, c.event)
	callers := newHTTPServer(conns.handler(front))
	callers.ConnState, callers.ConnContext = conns.observe, withConn
	callers.ReadHeaderTimeout, callers.IdleTimeout = 0, maxIdleTimeout // conns has the shorter bounds
	runAll(lc, every(connCheckInterval, conns.closeExpired))
	serveHTTP(lc, log, "callers", s.Listen.Callers, callers, heads, conns.listener)
	other := func(name, address string, handler http.Handler) {
		serveHTTP(lc, log, name, address, newHTTPServer(handler), otherHeads, nil)
	}
	other("ready", s.Listen.Ready, platform.ReadyHandler(h.ready))
	other("directory", s.Listen.Directory, platform.ResolveHandler(find))
	if s.Listen.Metrics != "" {
		other("metrics", s.Listen.Metrics, c)
	}
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return h.drain(ctx, callers, conns) }})
}

const (
	headerTimeout  = 3 * time.Second  // for the header of a call
	idleTimeout    = 20 * time.Second // above the 15 s that callers may stay idle, so that they close first
	maxIdleTimeout = 10 * time.Minute // of callers, whatever the configuration says
	maxHeaderBytes = 16 << 10
)

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLogger()}
}
