package bench

import (
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

// Variant is a strategy for admitting requests and choosing servers.
type Variant struct {
	Name string
	// Policy is the policy of the queue, nil for a variant without a queue.
	Policy *queue.Policy
	// Choose is the load balancing strategy. It returns an index in all.
	Choose func(p *Process, all []queue.Candidate) int
}

// Variants returns, in the order of the table, the two baselines without a queue
// (round robin and least outstanding requests), the previous version of the
// policy and the current one. If all is set, it returns every version.
func Variants(all bool) []Variant {
	leastLoaded := func(_ *Process, all []queue.Candidate) int { return queue.LeastLoaded(all) }
	out := []Variant{
		{Name: "fifo+rr", Choose: func(p *Process, all []queue.Candidate) int { p.nextServer++; return p.nextServer % len(all) }},
		{Name: "least", Choose: func(_ *Process, all []queue.Candidate) int { return leastOwnRequests(all) }},
	}
	versions := queue.Versions()
	if !all {
		versions = versions[len(versions)-2:]
	}
	for _, p := range versions {
		out = append(out, Variant{Name: p.Name, Policy: &p, Choose: leastLoaded})
	}
	return out
}

// leastOwnRequests chooses the server with the fewest outstanding requests of
// this entry process.
func leastOwnRequests(all []queue.Candidate) int {
	best := 0
	for i, o := range all {
		if o.OwnRequests < all[best].OwnRequests {
			best = i
		}
	}
	return best
}

// Intervals and timeouts of load reports, as in package node.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// publishInterval is the interval at which an engine renews its load report,
	// and so the largest age of the report when it is read.
	publishInterval = 200 * time.Millisecond
)

// loadReport is the load that a server publishes.
type loadReport struct{ running, waiting int }

// sim is the simulation of one scenario with one variant.
type sim struct {
	clock            clock
	deployment       Deployment
	scenario         Scenario
	variant          Variant
	requests         []*request
	servers          []*server // pipelines, then plain workers
	published        []loadReport
	unlisted         []bool  // servers missing in the VM list, which entry processes cannot poll
	idleSlots        []int   // free slots of all pipelines, one sample each sampleInterval
	measuredSteps    float64 // decoding steps of the pipelines after the warm-up
	processes        []*Process
	predictionErrors queue.PredictionErrors
}

// Process is a simulated entry process.
type Process struct {
	sim        *sim
	index      int
	domain     int
	nextServer int // counter of the round robin variant
	limiter    *limit.Limiter
	model      *service
	plain      *service
}

// service is what an entry process knows about the servers of one service.
type service struct {
	process     *Process
	servers     []int // indexes in sim.servers
	queue       *queue.Queue
	known       map[int]bool
	ownRequests map[int]int
}

// newSim returns a simulation that is ready to run.
func newSim(d Deployment, sc Scenario, v Variant) *sim {
	m := &sim{deployment: d, scenario: sc, variant: v, requests: d.requests(sc)}
	m.servers = append(d.newServers(&m.clock, false), d.newServers(&m.clock, true)...)
	m.published = make([]loadReport, len(m.servers))
	m.unlisted = make([]bool, len(m.servers))
	for i := range d.Processes {
		m.processes = append(m.processes, m.newProcess(i))
	}
	return m
}

// newProcess returns entry process i, with a limiter if the policy needs one.
func (m *sim) newProcess(i int) *Process {
	p := &Process{sim: m, index: i, domain: i % len(m.deployment.Domains)}
	n := m.deployment.pipelines()
	if v := m.variant.Policy; v != nil && v.DivideWeights {
		p.limiter = m.newLimiter(i)
	}
	p.model = p.newService("model", 0, n)
	p.plain = p.newService("plain", n, len(m.servers))
	return p
}

// newLimiter returns the limiter of entry process i. Messages between processes
// take the latency between failure domains.
func (m *sim) newLimiter(i int) *limit.Limiter {
	name := func(i int) string { return fmt.Sprintf("e%d", i) }
	var members []string
	index := map[string]int{}
	for j := range m.deployment.Processes {
		members = append(members, name(j))
		index[name(j)] = j
	}
	weights := map[string]float64{}
	for _, a := range m.deployment.Accounts {
		weights[a.Name] = a.Weight
	}
	l := limit.New(limit.Config{
		Self: name(i), Incarnation: name(i) + "/1", Now: m.clock.time, Rand: newRand(m.scenario.Seed, uint64(100+i)),
		Limits: func(a string) (limit.Limits, bool) { return limit.Limits{Weight: weights[a]}, true },
		SendReport: func(home string, r limit.Report) {
			m.clock.after(m.deployment.InterDomainLatency, func() { m.processes[index[home]].limiter.HandleReport(r) })
		},
		SendShare: func(to string, s limit.Share) {
			m.clock.after(m.deployment.InterDomainLatency, func() { m.processes[index[to]].limiter.HandleShare(s) })
		},
	})
	l.SetMembers(members)
	return l
}

// reportDemand reports the demand of the accounts at every report interval, as
// package node does.
func (p *Process) reportDemand() {
	p.limiter.Tick()
	p.sim.clock.after(limit.ReportInterval, p.reportDemand)
}

// newService returns a service with the servers from an index up to another,
// the latter excluded.
func (p *Process) newService(name string, from, to int) *service {
	s := &service{process: p, known: map[int]bool{}, ownRequests: map[int]int{}}
	for i := from; i < to; i++ {
		s.servers = append(s.servers, i)
		s.known[i] = true
	}
	if v := p.sim.variant; v.Policy != nil {
		s.queue = queue.New(queue.Config{
			Name: name, Now: p.sim.clock.time, Rand: newRand(p.sim.scenario.Seed, uint64(p.index)),
			Policy: *v.Policy, Peers: func() int { return p.sim.deployment.Processes },
			Choose: func(all []queue.Candidate) int { return v.Choose(p, all) },
		})
	}
	return s
}

// run runs the scenario.
func (m *sim) run() {
	for i := range m.servers {
		m.publish(i)
	}
	for _, p := range m.processes {
		offset := pollInterval * time.Duration(p.index) / time.Duration(len(m.processes))
		if p.limiter != nil {
			m.clock.at(offset/2, p.reportDemand)
		}
		for _, s := range []*service{p.model, p.plain} {
			for _, i := range s.servers {
				m.clock.at(offset, func() { s.poll(i) })
			}
		}
	}
	for _, f := range m.scenario.Failures {
		m.scheduleFailure(f)
	}
	m.clock.at(0, m.sampleIdleSlots)
	m.clock.at(m.scenario.WarmUp, func() { m.measuredSteps = -m.jobSteps() })
	m.clock.at(m.scenario.End, func() { m.measuredSteps += m.jobSteps() })
	for _, req := range m.requests {
		p := m.processes[req.process]
		m.clock.at(req.arrival, func() { p.arrive(req) })
	}
	// Requests that arrive shortly before the end get a minute to complete.
	m.clock.run(m.scenario.End + time.Minute)
	for _, p := range m.processes {
		if p.model.queue != nil {
			errs := p.model.queue.Errors()
			m.predictionErrors.Count += errs.Count
			m.predictionErrors.LongAsShort += errs.LongAsShort
			m.predictionErrors.ShortAsLong += errs.ShortAsLong
			m.predictionErrors.LongAnswers += errs.LongAnswers
			m.predictionErrors.Log2 += errs.Log2
		}
	}
}

// publish renews the load report of server i, now and at every
// publishInterval.
func (m *sim) publish(i int) {
	srv := m.servers[i]
	m.published[i] = loadReport{len(srv.running), srv.queueLength()}
	m.clock.after(publishInterval, func() { m.publish(i) })
}

// sampleInterval is the interval at which free slots are sampled.
const sampleInterval = 50 * time.Millisecond

// sampleIdleSlots records the free slots of all pipelines at every
// sampleInterval.
func (m *sim) sampleIdleSlots() {
	free := 0
	for _, srv := range m.servers[:m.deployment.pipelines()] {
		free += max(0, srv.freeSlots())
	}
	m.idleSlots = append(m.idleSlots, free)
	m.clock.after(sampleInterval, m.sampleIdleSlots)
}

// jobSteps returns the decoding steps that the pipelines have done, summed over
// the jobs.
func (m *sim) jobSteps() float64 {
	sum := 0.0
	for _, srv := range m.servers[:m.deployment.pipelines()] {
		srv.advance()
		sum += srv.jobSteps
	}
	return sum
}

// scheduleFailure schedules a failure and the recovery from it.
func (m *sim) scheduleFailure(f Failure) {
	affected := func(srv *server) bool { return srv.index == f.Server || srv.domain == f.Domain }
	m.clock.at(f.At, func() {
		for _, srv := range m.servers {
			if affected(srv) {
				srv.fail()
				m.unlisted[srv.index] = f.ListedAt > f.RecoversAt
			}
		}
	})
	if f.ListedAt > 0 {
		m.clock.at(f.ListedAt, func() { clear(m.unlisted) })
	}
	if f.RecoversAt > 0 {
		m.clock.at(f.RecoversAt, func() {
			for _, srv := range m.servers {
				if affected(srv) {
					srv.restart()
				}
			}
		})
	}
}

// latency returns the one-way latency to a server.
func (p *Process) latency(srv *server) time.Duration {
	if p.domain == srv.domain {
		return p.sim.deployment.IntraDomainLatency
	}
	return p.sim.deployment.InterDomainLatency
}

// poll reads the load report of server i at every pollInterval, as the watcher
// of package node does. A dead or unlisted server is removed after pollTimeout.
func (s *service) poll(i int) {
	c, srv := &s.process.sim.clock, s.process.sim.servers[i]
	sent, latency := c.now, s.process.latency(srv)
	c.after(pollInterval, func() { s.poll(i) })
	c.after(latency, func() {
		if srv.dead || s.process.sim.unlisted[i] {
			c.at(sent+pollTimeout, func() { s.removeServer(i) })
			return
		}
		report := s.process.sim.published[i]
		c.after(latency, func() {
			s.known[i] = true
			if s.queue != nil {
				s.queue.Observe(queue.Report{Name: srv.name, Slots: srv.slots, Running: report.running, Waiting: report.waiting, MeasuredAt: epoch.Add(sent)})
			}
		})
	})
}

// removeServer excludes server i until a poll succeeds again.
func (s *service) removeServer(i int) {
	delete(s.known, i)
	if s.queue != nil {
		s.queue.RemoveServer(s.process.sim.servers[i].name)
	}
}
