package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/watch"
)

const (
	// lapse is how long a missing entry may take to come back after an outage of
	// the registry: the platform states about two seconds.
	lapse = 2200 * time.Millisecond
	// pollWait is the wait of one poll of the feed. It bounds the age of the
	// configuration while nothing changes.
	pollWait = time.Second
	// pollSlack is added until a poll counts as lost. A slow store takes some
	// 0.3 s; a silent connection shows only by this.
	pollSlack = 700 * time.Millisecond
	// settle is the pause after changes of the registry: engines change one by
	// one when they start or load. It is short beside the bound on drains.
	settle = 250 * time.Millisecond
	// expireEvery is the interval of looking for entries that did not come back.
	expireEvery = 200 * time.Millisecond
	// addressTTL is how long callers keep an answer with addresses. A process
	// that dies is on callers' lists for this time.
	addressTTL = time.Second
	// stopMargin is kept back from the time between SIGTERM and SIGKILL.
	stopMargin = 700 * time.Millisecond
	// lingerWhileLeaving keeps the listener of a stopping process open for
	// callers that use an old answer with its address.
	lingerWhileLeaving = 3200 * time.Millisecond
	// sendTimeout bounds anything that is sent under the lease.
	sendTimeout = time.Second
)

// incarnation names one run of a process.
type incarnation struct {
	text   string
	number uint64
}

// New returns the application of an entry process on the platform. Logs go to
// out.
func New(s Settings, out io.Writer) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.grace()),
		fx.Supply(s, incarnation{text: s.Name + "/" + uuid.NewString(), number: rand.Uint64()}),
		fx.Provide(
			func() *logs.Queue { return logs.NewQueue(out) },
			func(q *logs.Queue) (*logs.Maker, error) {
				return logs.New(logs.Config{Out: q, Node: s.Name, Level: s.Log.Level, Levels: s.Log.Parts})
			},
			func() *quota.Quota { return quota.ForVM(s.Limits.Memory) },
			func(q *quota.Quota) *platform.Store { return platform.NewStore(s.Store.Address, q) },
			func() *config.Holder { return &config.Holder{} },
			func() *link.Client { return link.New(link.Config{}) },
			func(c *link.Client, q *quota.Quota) *platform.Backend { return &platform.Backend{Client: c, Quota: q} },
			func() *deskState { return &deskState{} },
			func() *seal.Sealer { return &seal.Sealer{} },
			self,
			newCounters,
			newServers,
			newRing,
			newFetcher,
			newNodeRows,
			newBudgets,
			newRelay,
			newDesk,
			newPlacer,
		),
		fx.Invoke(logStart, follow, beats, place, listen, gauges),
	)
}

func logStart(s Settings, i incarnation, l *logs.Maker, q *logs.Queue, lc fx.Lifecycle) {
	log := l.Part("edge")
	log.Info().Str("incarnation", i.text).Str("domain", s.Domain).Str("callers", s.Listen.Callers).
		Str("store", s.Store.Address).Int64("memory", s.Limits.Memory).Msg("process starts")
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		log.Info().Msg("process stops")
		q.Close(flushTimeout)
		return nil
	}})
}

// flushTimeout bounds the writing of the last log lines.
const flushTimeout = 200 * time.Millisecond

func newServers(c *link.Client, l *logs.Maker) *server.Table {
	return server.NewTable(server.Config{Log: l.Part("server"), OutageGrace: lapse, OnRemoved: c.Drop})
}

// self describes this process to the others.
func self(s Settings) beat.Peer {
	return beat.Peer{
		Name: s.Name, Address: s.Listen.Beats, CallerAddress: s.Listen.Callers, Domain: s.Domain,
		Weight: uint32(thousand * s.Limits.Share * max(s.Limits.Cores, 1)),
	}
}

func newFetcher(me beat.Peer, x *seal.Sealer, g *beat.Membership, d *deskState, l *logs.Maker) *fetcher {
	return &fetcher{self: me, sealer: x, ring: g, follow: d.follower, tables: []string{platform.TableConfig, platform.TableServers}, log: l.Part("beat")}
}

func newNodeRows(s Settings, me beat.Peer, st *platform.Store, g *beat.Membership, x *seal.Sealer, f *fetcher, u *budgets, d *deskState, l *logs.Maker) *nodes {
	n := newNodes(nodesConfig{
		Self: me, First: s.First, Rows: st.Table(), Ring: g, Sealer: x, Fetch: f.fetch, Size: u.resize, Holds: d.holds, Log: l.Part("beat"),
	})
	d.newer = func() { n.newer.Store(true) }
	return n
}

func newRing(s Settings, me beat.Peer, i incarnation, x *seal.Sealer, t *server.Table, d *deskState, c *counters, l *logs.Maker) (*beat.Membership, error) {
	conn, err := net.ListenPacket("udp4", s.Listen.Beats)
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	d.packets = conn
	return beat.New(beat.Config{
		Self: me, Incarnation: i.number, Sealer: x, Clock: d.clock,
		State: func() beat.State {
			return beat.State{Ready: d.ready(), Leaving: d.leaving(), Settled: d.settled(), Lease: d.lease(), Watermarks: d.seen()}
		},
		OnNewerKey: func() {
			if d.newer != nil {
				d.newer()
			}
		},
		OnDropped: c.dropped,
		OnWatermark: func(x beat.Watermark) {
			if f := d.follower(x.Table); f != nil {
				f.ObserveWatermark(watch.Watermark{Changed: x.Changed, Clock: x.Clock})
			}
		},
		OnPage: func(p beat.Page) {
			if f := d.follower(p.Table); f != nil {
				f.OfferRelayed(watch.Page{Rows: p.Rows, Revision: p.Revision, Clock: p.Clock}, p.After, p.Changed)
			}
		},
		Work: func() []beat.Work {
			var out []beat.Work
			for _, x := range t.All() {
				if n := x.Inflight(); n > 0 {
					out = append(out, beat.Work{Server: x.ID(), Streams: n, Tokens: x.ReservedTokens()})
				}
			}
			return out
		},
		OnDead: func(all []uint64) {
			for _, x := range t.All() {
				if d.desk != nil && slices.Contains(all, beat.ServerHash(x.ID())) {
					d.desk.relay.MarkDead(x)
				}
			}
		},
		Send: func(address string, b []byte) error {
			to, err := net.ResolveUDPAddr("udp4", address)
			if err != nil {
				return err
			}
			_, err = conn.WriteTo(b, to)
			return err
		},
		Log: l.Part("beat"),
	}), nil
}

// thousand makes a weight of a share of a core.
const thousand = 1000

func newRelay(s Settings, q *quota.Quota, t *server.Table, b *platform.Backend, g *beat.Membership, u *budgets, c *counters, l *logs.Maker) *relay.Relay {
	return relay.New(relay.Config{
		Servers: t, Send: b.Send, FetchReport: b.Report, Repath: b.Repath, Budget: u.of, Quota: q, PeerLoad: g.PeerLoad, AnnounceDead: func(x *server.Server) { g.ReportDead(x.ID()) },
		Domain: s.Domain, Log: l.Part("relay"), Count: c.event, Observe: c.observe,
		CountViolation: func(i relay.Invariant) { c.violation(string(i)) },
	})
}

func newPlacer(me beat.Peer, i incarnation, g *beat.Membership, d *deskState, st *platform.Store, h *config.Holder, t *server.Table, b *platform.Backend, c *counters, l *logs.Maker) *Placer {
	log := l.Part("place")
	p := &Placer{
		// Besides the holder, only the hubs look at the lease's row.
		others: func() bool {
			hub, since := g.HubPeer()
			return g.LeaseHeldByPeer(doubtLeft) || hub.Name != me.Name || since < hubSteady || !d.settled()
		},
		behind: d.behind,
		streams: func(s *server.Server) int {
			n, _ := g.PeerLoad(s.ID())
			return n + s.Inflight()
		},
		lease: lease.New(lease.Config{
			Table: st.Table(), Name: "place", Holder: i.text, Term: leaseTerm, SendTimeout: sendTimeout,
			SendsInFlight: func() bool { return d.placer.sending.Load() > 0 },
			PeerAnnouncement: func() (lease.Announcement, bool) {
				l, ok := g.Lease()
				return lease.Announcement{Fence: l.Fence, Revision: l.Revision, Until: time.Now().Add(l.Until - clock.Now()), Ended: l.Ended}, ok
			},
			OnViolation: func(reason string) {
				log.Error().Str("reason", reason).Msg("lease invariant does not hold")
				c.violation("lease")
			},
		}),
		holder: h, servers: t, place: b.Place, accepted: b.AcceptedOrders, log: log, count: c,
	}
	d.placer = p
	return p
}

// follow keeps the configuration and the registry up to date.
func follow(st *platform.Store, h *config.Holder, t *server.Table, g *beat.Membership, n *nodes, d *deskState, l *logs.Maker, lc fx.Lifecycle) {
	log := l.Part("watch")
	table := func(name string) watch.Config {
		return watch.Config{
			Name: name, Wait: pollWait, Slack: pollSlack, Log: log,
			FetchInitial:  func(ctx context.Context) (watch.State, bool) { return n.firstState(ctx, name) },
			PolledByPeers: func() bool { return !g.IsPoller() },
			DefersToPeer:  func() bool { return !g.IsHub() },
			Share: func(p watch.Page, after, changed uint64) {
				if !g.IsHub() {
					return // the hub polls as well
				}
				g.ShareChanges(beat.Page{Watermark: beat.Watermark{Table: name, Changed: changed, Clock: p.Clock}, After: after, Revision: p.Revision, Rows: p.Rows})
			},
			Read: func(ctx context.Context) (watch.Page, error) { return st.Read(ctx, name) },
			Poll: func(ctx context.Context, after uint64, wait time.Duration) (watch.Page, error) {
				return st.Poll(ctx, name, after, wait)
			},
		}
	}
	c := table(platform.TableConfig)
	c.Confirm = h.Confirm
	c.Apply = func(p watch.Page, _ time.Duration) {
		c, err := platform.DecodeConfig(p.Rows)
		if err != nil {
			log.Error().Err(err).Msg("configuration can't be read; the one in effect stays")
		}
		if c != nil && h.Apply(c) {
			log.Info().Uint64("version", c.Version()).Uint64("revision", p.Revision).Msg("configuration in effect")
		}
	}
	r := table(platform.TableServers)
	r.BatchDelay = settle
	r.Confirm = func(time.Duration) {}
	r.Apply = func(p watch.Page, outage time.Duration) {
		t.Apply(platform.DecodeServers(p.Rows, log), p.Whole, outage)
	}
	conf, registry := watch.New(c), watch.New(r)
	d.followers.Store(&map[string]*watch.Follower{platform.TableConfig: conf, platform.TableServers: registry})
	run(lc, conf.Run, registry.Run, every(expireEvery, func(context.Context) { t.Expire() }))
}

// run starts functions on goroutines that end with the application.
func run(lc fx.Lifecycle, all ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, f := range all {
				go f(ctx)
			}
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

// every returns a function that calls f in an interval until its context ends.
func every(interval time.Duration, f func(ctx context.Context)) func(ctx context.Context) {
	return func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				f(ctx)
			}
		}
	}
}

func place(p *Placer, lc fx.Lifecycle) { run(lc, p.Run) }

// maxDatagram is the longest heartbeat.
const maxDatagram = 64 << 10

// beats exchanges heartbeats with the other processes.
func beats(s Settings, g *beat.Membership, n *nodes, f *fetcher, d *deskState, l *logs.Maker, lc fx.Lifecycle) {
	log := l.Part("beat")
	d.left = g.SendHeartbeat
	receive := func(ctx context.Context) {
		buf := make([]byte, maxDatagram)
		for {
			size, _, err := d.packets.ReadFrom(buf)
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.Warn().Err(err).Msg("read heartbeat")
				continue
			}
			g.Receive(buf[:size])
		}
	}
	var ln net.Listener
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) (err error) {
			var c net.ListenConfig
			if ln, err = c.Listen(ctx, "tcp4", s.Listen.Beats); err != nil {
				return fmt.Errorf("listen for processes that start: %w", err)
			}
			go f.serve(ln)
			return nil
		},
		OnStop: func(context.Context) error { return errors.Join(ln.Close(), d.packets.Close()) },
	})
	run(lc, receive, g.Run, n.run)
}

func listen(s Settings, d *Desk, q *quota.Quota, g *beat.Membership, c *counters, l *logs.Maker, lc fx.Lifecycle) {
	log := l.Part("edge")
	front := &platform.CallerHandler{Serve: d.Serve, MaxBody: d.maxBody, Leaving: d.isLeaving, Quota: q}
	find := func(domain string) ([]string, time.Duration) { return d.addresses(s, g, domain), addressTTL }
	callers := newServer(front)
	serve(lc, log, "callers", s.Listen.Callers, callers)
	serve(lc, log, "ready", s.Listen.Ready, newServer(platform.ReadyHandler(d.ready)))
	serve(lc, log, "directory", s.Listen.Directory, newServer(platform.ResolveHandler(find)))
	if s.Listen.Metrics != "" {
		serve(lc, log, "metrics", s.Listen.Metrics, newServer(c))
	}
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return d.drain(ctx, callers) }})
}

const (
	headerTimeout = 3 * time.Second  // of a caller's header, as the platform states it for its callers
	idleTimeout   = 20 * time.Second // above the 15 s that callers may stay idle, so that they close first
	headerBytes   = 16 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: silent()}
}
