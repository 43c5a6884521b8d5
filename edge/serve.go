package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/heads"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/watch"
)

// sharedState breaks dependency cycles between the components of a process: the
// heartbeats need the handler, the placer and the followers, which are created after
// them.
type sharedState struct {
	handler       *Handler
	placer        *Placer
	servers       *server.Table
	packets       net.PacketConn
	onUnknownKey  func() // called when another process uses a message key that this process does not have
	sendHeartbeat func() // sends a heartbeat at once
	// announceSuspects tells the other processes about parts of prompts.
	announceSuspects func(records []poison.Record)
	// announceRates tells the other processes what backend servers said of their rates.
	announceRates func(records []pacer.Record)
	// announceLeavers tells the other processes which backend servers said that they leave.
	announceLeavers func(records []intake.Record)
	fleet           func() pacer.Fleet // the processes that share rates
	onQuarantine    func()             // called when the set of quarantined parts changes
	newerConfig     *newerConfig
	// onStoreRestored is called when the store returned from an older copy.
	onStoreRestored func()

	followers atomic.Pointer[map[string]*watch.Follower] // by table; set once
}

// follower returns the follower of a table, or nil if there is none yet.
func (s *sharedState) follower(table string) *watch.Follower {
	if followers := s.followers.Load(); followers != nil {
		return (*followers)[table]
	}
	return nil
}

// seen returns up to which moment of the platform's clock this process knows all
// changes of each table.
func (s *sharedState) seen() []beat.Watermark {
	followers := s.followers.Load()
	if followers == nil {
		return nil
	}
	var out []beat.Watermark
	for name, f := range *followers {
		if seen, ok := f.Watermark(); ok {
			out = append(out, beat.Watermark{Table: name, Changed: seen.Changed, Clock: seen.Clock})
		}
	}
	return out
}

// cutOff reports whether other processes reach the platform's store and this one does not.
func (s *sharedState) cutOff() bool {
	followers := s.followers.Load()
	if followers == nil {
		return false
	}
	for _, f := range *followers {
		if f.CutOff() {
			return true
		}
	}
	return false
}

// hasConfig reports whether this process has a configuration.
func (s *sharedState) hasConfig() bool { return s.handler != nil && s.handler.tracker.Current() != nil }

// configVersion returns the version of the configuration in effect, or 0 if there is none.
func (s *sharedState) configVersion() uint64 {
	if !s.hasConfig() {
		return 0
	}
	return s.handler.tracker.Current().Version()
}

// clock returns the platform's clock, or 0 if it is not known.
func (s *sharedState) clock() time.Duration {
	f := s.follower(platform.TableConfig)
	if f == nil {
		return 0
	}
	return f.Clock()
}

func (s *sharedState) ready() bool { return s.handler != nil && s.handler.ready() }

// recheck makes held-back requests look again at the configuration and the registry.
func (s *sharedState) recheck() {
	if s.handler != nil {
		s.handler.relay.Recheck()
	}
}

func (s *sharedState) leaving() bool { return s.handler != nil && s.handler.isLeaving() }

// holdsLease reports whether this process holds the placement lease.
func (s *sharedState) holdsLease() bool {
	if s.placer == nil {
		return false
	}
	_, _, held := s.placer.lease.Held()
	return held
}

// lease returns what this process tells the others about its placement lease.
func (s *sharedState) lease() beat.Lease {
	if s.placer == nil {
		return beat.Lease{}
	}
	w, ok := s.placer.lease.Announcement()
	if !ok {
		return beat.Lease{}
	}
	return beat.Lease{Fence: w.Fence, Revision: w.Revision, Until: clock.Now() + time.Until(w.Until), Ended: w.Ended}
}

// behind returns by how much the other processes' knowledge of the configuration is
// newer than this process's own last poll.
func (s *sharedState) behind() time.Duration {
	f := s.follower(platform.TableConfig)
	if f == nil {
		return 0
	}
	return f.Lag()
}

func newHandler(s Settings, tracker *config.Tracker, r *relay.Relay, c *counters, state *sharedState, factory *logs.Factory) *Handler {
	h := &Handler{tracker: tracker, relay: r, keyRevocation: time.Duration(s.Bounds.KeyRevocation) * time.Millisecond, log: factory.ClientLogger("edge"), processLog: factory.Logger("edge"), counters: c, state: state, gracePeriod: s.gracePeriod()}
	state.handler = h
	return h
}

// discardLogger discards the messages of net/http about connections that callers broke.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// serveHTTP runs an HTTP server on an address while the application runs. An account bounds what clients take, and
// wrap changes its listener; it may be nil.
func serveHTTP(lc fx.Lifecycle, log zerolog.Logger, name, address string, srv *http.Server, account *heads.Account, wrap func(ln net.Listener) net.Listener) {
	account.Attach(srv)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			ln, err := account.Listen(ctx, "tcp4", address)
			if err != nil {
				return fmt.Errorf("listen for %s: %w", name, err)
			}
			ln = account.Listener(ln)
			if wrap != nil {
				ln = wrap(ln)
			}
			go func() {
				if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
					log.Error().Err(err).Str("listener", name).Msg("listener ended")
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { return srv.Close() },
	})
}

// maxAddresses bounds the addresses in an answer to a caller, as the platform states.
const maxAddresses = 64

// addresses returns the addresses to which a caller of a failure domain should connect:
// the ready processes of that domain, or those of all domains if it has none.
func (h *Handler) addresses(s Settings, members *beat.Membership, domain string) []string {
	addresses, local := members.CallerAddresses(domain) // the local ones come first
	if h.ready() {
		if s.Domain == domain {
			addresses = append([]string{s.Listen.Callers}, addresses...)
			local++
		} else {
			addresses = append(addresses, s.Listen.Callers)
		}
	}
	if local > 0 {
		addresses = addresses[:local]
	}
	return addresses[:min(len(addresses), maxAddresses)]
}

// drain stops the process without interrupting requests. It tells callers to use other
// processes, hands over the lease, still accepts requests for a while, and closes the
// listener when none is in flight or the grace period is nearly over.
func (h *Handler) drain(ctx context.Context, callers *http.Server, conns *callerConns) error {
	begun := time.Now()
	stop := stopTimes(begun, h.gracePeriod)
	end := stop.AnswerBy
	h.leavingSince.Store(begun.UnixNano())
	h.relay.Stop(stop)
	h.processLog.Info().Int64("inflight", h.inflight.Load()).Time("until", end).Msg("stopping; callers are told to go elsewhere")
	if h.state.sendHeartbeat != nil {
		h.state.sendHeartbeat()
	}
	if h.state.placer != nil {
		go h.state.placer.release(ctx)
	}
	time.Sleep(min(time.Until(begun.Add(listenerLinger)), time.Until(end)))
	for h.inflight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	h.processLog.Info().Int64("inflight", h.inflight.Load()).Dur("took", time.Since(begun)).Msg("listener closes")
	left, err := conns.shutdown(end.Add(shutdownTimeout))
	if left > 0 {
		h.counters.event(eventStopCut)
		h.processLog.Warn().Int("connections", left).Int64("inflight", h.inflight.Load()).Msg("connections of callers are closed before their answers")
	}
	return errors.Join(err, callers.Close())
}

// stopTimes returns the last moments of a process that begins to stop and is killed after grace. A request is
// sent to a server as long as requests are accepted, or for half of the time if that is less.
func stopTimes(begun time.Time, grace time.Duration) relay.Stop {
	usable := max(grace-stopMargin, 0)
	return relay.Stop{SendBy: begun.Add(min(acceptWhileLeaving, usable/2)), AnswerBy: begun.Add(usable)}
}

const (
	drainPollInterval = 20 * time.Millisecond  // between checks of the requests in flight
	shutdownTimeout   = 200 * time.Millisecond // for connections whose last answer was just written
)

// registerGauges registers the metrics that are read from other components at each
// scrape.
func registerGauges(tracker *config.Tracker, members *beat.Membership, p *Placer, c *counters, h *Handler, budgets *retryBudgets, queue *logs.AsyncWriter, factory *logs.Factory, store *platform.Store, servers *server.Table, registry *platform.Registry, t *poison.Tracker, pace *pacer.Pacer, in *intake.Tracker, client *link.Client) {
	for result, name := range []string{platform.CallDone: "done", platform.CallConflict: "conflict", platform.CallRefused: "refused", platform.CallLost: "lost"} {
		c.gauge(fmt.Sprintf("store_calls_total{result=%q}", name), func() float64 { return float64(store.Calls(result)) })
	}
	c.gauge("connections_opened_total", func() float64 { return float64(client.Opened()) })
	c.gauge("connections_refused_total", func() float64 { return float64(client.Refused()) })
	c.onScrape = func(w io.Writer) { writeServers(w, servers.All()); budgets.writeMetrics(w) }
	c.gauge(fmt.Sprintf("rows_unused{table=%q}", platform.TableServers), func() float64 { return float64(registry.Odd.Count()) })
	c.gauge("store_era", func() float64 { return float64(store.Era()) })
	c.gauge("config_version", func() float64 {
		if conf := tracker.Current(); conf != nil {
			return float64(conf.Version())
		}
		return 0
	})
	c.gauge("config_age_seconds", func() float64 { return tracker.Age().Seconds() })
	c.gauge("processes", func() float64 { return float64(members.Size()) })
	for metric, requests := range map[string]bool{"prompt_parts": false, "deadly_requests": true} {
		c.gauge(metric+`{state="suspected"}`, func() float64 { n, _ := t.Counts(requests); return float64(n) })
		c.gauge(metric+`{state="quarantined"}`, func() float64 { _, n := t.Counts(requests); return float64(n) })
	}
	c.gauge("servers_limited", func() float64 { return float64(pace.Limited()) })
	c.gauge("servers_resting", func() float64 { return float64(in.Resting()) })
	c.gauge("inflight", func() float64 { return float64(h.inflight.Load()) })
	c.gauge("log_lines_lost", func() float64 { return float64(queue.Dropped()) })
	c.gauge("log_lines_left_out", func() float64 { return float64(factory.Unlogged()) })
	c.gauge("lease_held", func() float64 {
		if _, _, ok := p.lease.Held(); ok {
			return 1
		}
		return 0
	})
}
