package edge

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/spread"
)

const (
	// imbalanceSampleInterval is the time between two samples of the loads, that of heartbeats.
	imbalanceSampleInterval = 250 * time.Millisecond
	// imbalanceLogInterval is the time between two log lines about a service.
	imbalanceLogInterval = 5 * time.Second
)

// imbalanceWatch measures how evenly the servers of each service are loaded, by what this process knows.
type imbalanceWatch struct {
	tracker  *config.Tracker
	servers  *server.Table
	peerLoad func(id string) (streams int, tokens int64)
	isHub    func() bool
	counters *counters
	log      zerolog.Logger

	mu       sync.Mutex
	services map[string]*imbalance
}

// imbalance is what is measured of a service.
type imbalance struct {
	meter    spread.Meter
	spread   float64 // of the last window
	measured time.Duration

	// Since the last log line:
	windows int // with load
	sum     float64
	worst   spread.Imbalance
	logged  time.Duration
}

// watchImbalance measures while the process runs. Hubs log what they measure.
func watchImbalance(tracker *config.Tracker, servers *server.Table, members *beat.Membership, c *counters, factory *logs.Factory, lc fx.Lifecycle) {
	w := &imbalanceWatch{tracker: tracker, servers: servers, peerLoad: members.PeerLoad, isHub: members.IsHub, counters: c, log: factory.Logger("spread")}
	runAll(lc, every(imbalanceSampleInterval, func(context.Context) { w.sample(clock.Now()) }))
}

// sample adds the present loads of all services.
func (w *imbalanceWatch) sample(now time.Duration) {
	conf := w.tracker.Current()
	if conf == nil {
		return
	}
	for name, s := range conf.Services() {
		if loads := w.loads(s); len(loads) > 1 {
			w.add(s, w.imbalanceOf(name, now), now, loads)
		}
	}
}

// loads returns the share of the room of each server of a service that is in use, by its name.
func (w *imbalanceWatch) loads(s config.Service) map[string]float64 {
	out := map[string]float64{}
	for _, srv := range w.servers.Servers(s.Name) {
		e := srv.Entry()
		if srv.Leaving() || (s.Engine != nil && s.Engine.Layers > 0 && e.To <= e.From) {
			continue
		}
		streams, tokens := w.peerLoad(srv.ID())
		streams += srv.Inflight()
		tokens += srv.ReservedTokens()
		room := 0.0
		if s.Engine != nil && s.Engine.Layers > 0 {
			room = relay.KVCapacity(s.Engine, s.Engine.Accelerators[e.Accelerator], e.To-e.From)
		}
		if room > 0 {
			out[srv.ID()] = float64(tokens) / room
		} else {
			out[srv.ID()] = float64(streams) / float64(max(e.Slots, 1))
		}
	}
	return out
}

// imbalanceOf returns the record of a service, whose metric it registers first if it is new.
func (w *imbalanceWatch) imbalanceOf(service string, now time.Duration) *imbalance {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.services[service]
	if m != nil {
		return m
	}
	if w.services == nil {
		w.services = map[string]*imbalance{}
	}
	m = &imbalance{logged: now}
	w.services[service] = m
	w.counters.gauge(fmt.Sprintf("load_spread{service=%q}", service), func() float64 {
		w.mu.Lock()
		defer w.mu.Unlock()
		if clock.Now()-m.measured > imbalanceLogInterval {
			return 0 // the service is gone or has one server left
		}
		return m.spread
	})
	return m
}

// add adds a sample of a service, and logs what was measured if it is time to.
func (w *imbalanceWatch) add(s config.Service, m *imbalance, now time.Duration, loads map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x, ended := m.meter.Add(now, loads); ended {
		m.spread, m.measured = x.Spread, now
		if x.Spread > 0 {
			m.windows++
			m.sum += x.Spread
		}
		if x.Spread > m.worst.Spread {
			m.worst = x
		}
	}
	if now-m.logged < imbalanceLogInterval {
		return
	}
	if m.windows > 0 && (s.Uneven() || s.Competing()) && w.isHub() {
		w.log.Info().Str("service", s.Name).Float64("spread", m.sum/float64(m.windows)).Float64("worst", m.worst.Spread).
			Str("busiest", m.worst.Busiest).Float64("highest", m.worst.Highest).
			Str("idlest", m.worst.Idlest).Float64("lowest", m.worst.Lowest).Int("windows", m.windows).Msg(logs.SpreadMessage)
	}
	m.windows, m.sum, m.worst, m.logged = 0, 0, spread.Imbalance{}, now
}
