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
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/watch"
)

// deskState is what the desk shares with the heartbeats, which are made first.
type deskState struct {
	desk    *Handler
	placer  *Placer
	packets net.PacketConn
	newer   func() // is told that there is a key of messages that this process does not know
	left    func() // tells the other processes at once that this one leaves

	followers atomic.Pointer[map[string]*watch.Follower] // by table; set once
}

// follower returns the follower of a table, or nil.
func (d *deskState) follower(name string) *watch.Follower {
	if all := d.followers.Load(); all != nil {
		return (*all)[name]
	}
	return nil
}

// seen returns what this process's polls of the platform showed.
func (d *deskState) seen() []beat.Seen {
	all := d.followers.Load()
	if all == nil {
		return nil
	}
	var out []beat.Seen
	for name, f := range *all {
		if s, ok := f.Seen(); ok {
			out = append(out, beat.Seen{Table: name, Changed: s.Changed, Clock: s.Clock})
		}
	}
	return out
}

// settled tells whether this process has a configuration.
func (d *deskState) settled() bool { return d.desk != nil && d.desk.holder.Current() != nil }

// clock returns the platform's clock; 0 when it is not known.
func (d *deskState) clock() time.Duration {
	f := d.follower(platform.TableConfig)
	if f == nil {
		return 0
	}
	return f.Clock()
}

func (d *deskState) ready() bool { return d.desk != nil && d.desk.ready() }

func (d *deskState) leaving() bool { return d.desk != nil && d.desk.isLeaving() }

// holds tells whether this process holds the lease for placing layers.
func (d *deskState) holds() bool {
	if d.placer == nil {
		return false
	}
	_, _, held := d.placer.lease.Held()
	return held
}

// lease returns what this process says of the lease for placing layers.
func (d *deskState) lease() beat.Lease {
	if d.placer == nil {
		return beat.Lease{}
	}
	w, ok := d.placer.lease.Say()
	if !ok {
		return beat.Lease{}
	}
	return beat.Lease{Fence: w.Fence, Revision: w.Revision, Until: clock.Now() + time.Until(w.Until), Ended: w.Ended}
}

// behind returns how much newer what other processes know of the configuration is
// than this process's own last poll.
func (d *deskState) behind() time.Duration {
	f := d.follower(platform.TableConfig)
	if f == nil {
		return 0
	}
	return f.Behind()
}

func newDesk(s Settings, h *config.Tracker, r *relay.Relay, c *counters, st *deskState, l *logs.Maker) *Handler {
	d := &Handler{holder: h, relay: r, revoke: time.Duration(s.Bounds.KeyRevocation) * time.Millisecond, log: l.Part("edge"), count: c, state: st, grace: s.grace()}
	st.desk = d
	return d
}

// silent takes the messages of net/http about connections that callers broke.
func silent() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// serve listens on an address while the application runs.
func serve(lc fx.Lifecycle, log zerolog.Logger, name, address string, s *http.Server) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var c net.ListenConfig
			ln, err := c.Listen(ctx, "tcp4", address)
			if err != nil {
				return fmt.Errorf("listen for %s: %w", name, err)
			}
			go func() {
				if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
					log.Error().Err(err).Str("listener", name).Msg("listener ended")
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { return s.Close() },
	})
}

// maxAddresses bounds an answer to callers, as the platform states it.
const maxAddresses = 64

// addresses returns where a caller of a failure domain should connect: to the
// ready processes of its own domain, or to all when that has none.
func (d *Handler) addresses(s Settings, g *beat.Ring, domain string) []string {
	all, local := g.Callers(domain)
	if d.ready() {
		if s.Domain == domain {
			all = append([]string{s.Listen.Callers}, all...)
			local++
		} else {
			all = append(all, s.Listen.Callers)
		}
	}
	if local > 0 {
		all = all[:local]
	}
	return all[:min(len(all), maxAddresses)]
}

// drain stops the process without cutting a request off: callers are told to go
// elsewhere, requests still come in for a while, and the listener closes when
// none is in flight.
func (d *Handler) drain(ctx context.Context, callers *http.Server) error {
	begun := time.Now()
	end := begun.Add(d.grace - stopMargin)
	d.leaving.Store(begun.UnixNano())
	d.log.Info().Int64("inflight", d.inflight.Load()).Time("until", end).Msg("stopping; callers are told to go elsewhere")
	if d.state.left != nil {
		d.state.left()
	}
	if d.state.placer != nil {
		go d.state.placer.release(ctx)
	}
	time.Sleep(time.Until(begun.Add(lingerWhileLeaving)))
	for d.inflight.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
	d.log.Info().Int64("inflight", d.inflight.Load()).Dur("took", time.Since(begun)).Msg("listener closes")
	sctx, cancel := context.WithDeadline(ctx, end.Add(closeTime))
	defer cancel()
	if err := callers.Shutdown(sctx); err != nil {
		return callers.Close()
	}
	return nil
}

const (
	drainPoll = 20 * time.Millisecond  // between looks at the requests in flight
	closeTime = 200 * time.Millisecond // for connections that have just got their answer
)

func gauges(h *config.Tracker, g *beat.Ring, p *Placer, c *counters, d *Handler, u *budgets, q *logs.Queue, st *platform.Store, t *server.Table, lk *link.Client) {
	for result, name := range []string{platform.CallDone: "done", platform.CallConflict: "conflict", platform.CallRefused: "refused", platform.CallLost: "lost"} {
		c.gauge(fmt.Sprintf("store_calls_total{result=%q}", name), func() float64 { return float64(st.Calls(result)) })
	}
	c.gauge("connections_opened_total", func() float64 { return float64(lk.Opened()) })
	c.more = func(w io.Writer) { writeServers(w, t.All()); u.write(w) }
	c.gauge("config_version", func() float64 {
		if conf := h.Current(); conf != nil {
			return float64(conf.Version())
		}
		return 0
	})
	c.gauge("config_age_seconds", func() float64 { return h.Age().Seconds() })
	c.gauge("processes", func() float64 { return float64(g.Size()) })
	c.gauge("inflight", func() float64 { return float64(d.inflight.Load()) })
	c.gauge("log_lines_lost", func() float64 { return float64(q.Lost()) })
	c.gauge("lease_held", func() float64 {
		if _, _, ok := p.lease.Held(); ok {
			return 1
		}
		return 0
	})
}
