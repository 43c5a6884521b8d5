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

// newKeeper returns the limits of client accounts.
func newKeeper(s Settings, i incarnation, st *change.Store, p *peers, m *metrics.Set) *limit.Limiter {
	return limit.New(limit.Config{
		Self: s.Name, Incarnation: string(i), Rand: newRand(), Metrics: limit.NewMetrics(m), SendReport: p.report, SendShare: p.share,
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

// newQueues returns the queues of all services. The processes that send to the
// same servers are the members that the limits know.
func newQueues(k *limit.Limiter, m *metrics.Set) *queue.Set {
	return queue.NewSet(func(service string) *queue.Queue {
		return queue.New(queue.Config{Name: service, Rand: newRand(), Peers: k.Members, Metrics: queue.NewMetrics(m, service)})
	})
}

// admit passes a load report, or its absence, to the queue of a service. The
// first stage of a pipeline drives an answer and holds its slot, so later
// stages don't count.
func admit(q *queue.Queue, name string, l engine.Load, err error, sent time.Time) {
	if l.First != 0 {
		return
	}
	if err != nil || !l.Ready || l.Leaving {
		q.RemoveServer(name)
		return
	}
	q.Observe(queue.Report{Name: name, Slots: max(1, l.Slots), Running: l.Running, Waiting: l.Waiting, MeasuredAt: sent})
}
