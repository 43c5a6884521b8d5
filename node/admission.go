package node

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newLimiter returns the limiter of client accounts.
func newLimiter(s Settings, i incarnation, st *change.Store, p *peers, m *metrics.Set) *limit.Limiter {
	return limit.New(limit.Config{
		Self: s.Name, Incarnation: string(i), Rand: newRand(), Metrics: limit.NewMetrics(m), SendReport: p.sendReport, SendShare: p.sendShare,
		Limits: func(name string) (limit.Limits, bool) {
			a := st.Tree().Account(name)
			if a == nil {
				return limit.Limits{}, false
			}
			return limit.Limits{
				Amounts: limit.Amounts{limit.Rate: a.RequestRate(), limit.Tokens: a.TokenRate(), limit.Inflight: float64(a.MaxInflight())},
				Weight:  float64(a.Weight()),
			}, true
		},
	})
}

// newQueues returns the queues of all services. Each queue assumes that all
// members known to the limiter send to the same backend servers.
func newQueues(l *limit.Limiter, m *metrics.Set) *queue.Set {
	return queue.NewSet(func(service string) *queue.Queue {
		return queue.New(queue.Config{Name: service, Rand: newRand(), Peers: l.Members, Metrics: queue.NewMetrics(m, service)})
	})
}

// updateQueue passes the result of a load request to the queue of a service: a
// report, or the removal of a server that is gone, silent, not ready or leaving. Only
// first stages of a pipeline count, since the first stage drives an answer and
// holds its slot.
func updateQueue(q *queue.Queue, server string, l engine.LoadReport, err error, sentAt time.Time) {
	if l.First != 0 {
		return
	}
	switch {
	case err != nil && !engine.IsGone(err):
		q.RemoveSilent(server)
	case err != nil || !l.Ready || l.Leaving:
		q.RemoveServer(server)
	default:
		q.Observe(queue.Report{Name: server, Slots: max(1, l.Slots), Running: l.Running, Waiting: l.Waiting, MeasuredAt: sentAt})
	}
}
