package edge

import (
	"fmt"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/clock"
)

// admissionMaxAge is the age from which the last decision on a stream of a service no longer describes the load
// of its engines, so that the gauge of the load is 0.
const admissionMaxAge = 5 * time.Second

// admissionMetrics holds the metrics of the decisions on streams that compete for engines.
type admissionMetrics struct {
	counters *counters

	mu       sync.Mutex
	services map[string]*serviceAdmission
}

// serviceAdmission is what the metrics state about a service. Its fields are guarded by admissionMetrics.mu.
type serviceAdmission struct {
	load   admit.Load // of the last decision
	at     time.Duration
	limits map[int]float64 // of the last refusal of each rank
}

func newAdmissionMetrics(c *counters) *admissionMetrics {
	return &admissionMetrics{counters: c, services: map[string]*serviceAdmission{}}
}

// observe records a decision on a stream of a service.
func (m *admissionMetrics) observe(service string, d admit.Demand, x admit.Decision) {
	m.mu.Lock()
	s := m.services[service]
	isNew := s == nil
	if isNew {
		s = &serviceAdmission{limits: map[int]float64{}}
		m.services[service] = s
	}
	s.load, s.at = d.Load, clock.Now()
	isNewRank := false
	if !x.Admitted {
		_, known := s.limits[d.Rank]
		s.limits[d.Rank], isNewRank = x.Limit, !known
	}
	m.mu.Unlock()
	// A scrape holds the lock of the metrics while it reads gauges, which take mu.
	if isNew {
		m.loadGauge(s, service, admit.BoundMemory, func(l admit.Load) float64 { return l.Memory })
		m.loadGauge(s, service, admit.BoundPause, func(l admit.Load) float64 { return l.Pause })
	}
	if isNewRank {
		m.counters.gauge(fmt.Sprintf("admission_limit{service=%q,rank=\"%d\"}", service, d.Rank), func() float64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return s.limits[d.Rank]
		})
	}
	if !x.Admitted {
		m.counters.refusedStream(service, d.Rank, x.Bound)
	}
}

// loadGauge registers the gauge of the load that one bound limits.
func (m *admissionMetrics) loadGauge(s *serviceAdmission, service string, bound admit.Bound, of func(admit.Load) float64) {
	m.counters.gauge(fmt.Sprintf("admission_load{service=%q,bound=%q}", service, bound), func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		if clock.Now()-s.at > admissionMaxAge {
			return 0
		}
		return of(s.load)
	})
}
