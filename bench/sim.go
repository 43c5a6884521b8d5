package bench

import (
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

// Variant is one way to admit and place requests.
type Variant struct {
	Name string
	// Policy is the queue's policy; nil for a variant without a queue.
	Policy *queue.Policy
	// Choose is the balancing choice among servers.
	Choose func(p *Process, all []queue.Option) int
}

// Variants returns the baselines, the previous version of the policy and the
// current one, in the order of the table; with all, every version.
func Variants(all bool) []Variant {
	lowest := func(_ *Process, all []queue.Option) int { return queue.LeastLoaded(all) }
	out := []Variant{
		{Name: "fifo+rr", Choose: func(p *Process, all []queue.Option) int { p.turn++; return p.turn % len(all) }},
		{Name: "least", Choose: func(_ *Process, all []queue.Option) int { return leastOwn(all) }},
	}
	versions := queue.Versions()
	if !all {
		versions = versions[len(versions)-2:]
	}
	for _, p := range versions {
		out = append(out, Variant{Name: p.Name, Policy: &p, Choose: lowest})
	}
	return out
}

// leastOwn chooses the server with the fewest outstanding requests of this
// process.
func leastOwn(all []queue.Option) int {
	best := 0
	for i, o := range all {
		if o.OwnRequests < all[best].OwnRequests {
			best = i
		}
	}
	return best
}

// Intervals of load reports, as in package node.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = time.Second
	// reportLag is how often an engine renews its report: the lag is up to this.
	reportLag = 200 * time.Millisecond
)

// snapshot is a published load report.
type snapshot struct{ running, waiting int }

// sim is one run of a scene.
type sim struct {
	clock     clock
	shape     Deployment
	scene     Scenario
	variant   Variant
	requests  []*request
	lanes     []*lane // pipelines, then plain workers
	published []snapshot
	hidden    []bool // replaced servers that the VM list does not show yet
	idle      []int  // free slots of all pipelines, sampled
	worked    float64
	processes []*Process
	predicted queue.PredictionErrors
}

// Process is one entry process.
type Process struct {
	sim    *sim
	number int
	domain int
	turn   int // of round robin
	keeper *limit.Limiter
	model  *service
	plain  *service
}

// service is what a process knows of the servers of one service.
type service struct {
	process *Process
	lanes   []int // indexes of lanes
	queue   *queue.Queue
	known   map[int]bool
	own     map[int]int
}

func newSim(s Deployment, sc Scenario, v Variant) *sim {
	m := &sim{shape: s, scene: sc, variant: v, requests: s.requests(sc)}
	m.lanes = append(s.newLanes(&m.clock, false), s.newLanes(&m.clock, true)...)
	m.published = make([]snapshot, len(m.lanes))
	m.hidden = make([]bool, len(m.lanes))
	for i := range s.Processes {
		m.processes = append(m.processes, m.newProcess(i))
	}
	return m
}

func (m *sim) newProcess(i int) *Process {
	p := &Process{sim: m, number: i, domain: i % len(m.shape.Domains)}
	n := m.shape.pipelines()
	if v := m.variant.Policy; v != nil && v.DivideWeights {
		p.keeper = m.newKeeper(i)
	}
	p.model = p.newService("model", 0, n)
	p.plain = p.newService("plain", n, len(m.lanes))
	return p
}

// newKeeper returns the limits of a process. Messages between processes take
// the time between failure domains.
func (m *sim) newKeeper(i int) *limit.Limiter {
	name := func(i int) string { return fmt.Sprintf("e%d", i) }
	var members []string
	index := map[string]int{}
	for j := range m.shape.Processes {
		members = append(members, name(j))
		index[name(j)] = j
	}
	weights := map[string]float64{}
	for _, a := range m.shape.Accounts {
		weights[a.Name] = a.Weight
	}
	k := limit.New(limit.Config{
		Self: name(i), Incarnation: name(i) + "/1", Now: m.clock.time, Rand: seeded(m.scene.Seed, uint64(100+i)),
		Limits: func(a string) (limit.Limits, bool) { return limit.Limits{Weight: weights[a]}, true },
		SendReport: func(home string, r limit.Report) {
			m.clock.after(m.shape.InterDomainLatency, func() { m.processes[index[home]].keeper.HandleReport(r) })
		},
		SendShare: func(to string, s limit.Share) {
			m.clock.after(m.shape.InterDomainLatency, func() { m.processes[index[to]].keeper.HandleShare(s) })
		},
	})
	k.SetMembers(members)
	return k
}

// tick reports demand, as package node does.
func (p *Process) tick() {
	p.keeper.Tick()
	p.sim.clock.after(limit.ReportInterval, p.tick)
}

func (p *Process) newService(name string, from, to int) *service {
	s := &service{process: p, known: map[int]bool{}, own: map[int]int{}}
	for i := from; i < to; i++ {
		s.lanes = append(s.lanes, i)
		s.known[i] = true
	}
	if v := p.sim.variant; v.Policy != nil {
		s.queue = queue.New(queue.Config{
			Name: name, Now: p.sim.clock.time, Rand: seeded(p.sim.scene.Seed, uint64(p.number)),
			Policy: *v.Policy, Peers: func() int { return p.sim.shape.Processes },
			Choose: func(all []queue.Option) int { return v.Choose(p, all) },
		})
	}
	return s
}

// run plays the scene.
func (m *sim) run() {
	for i := range m.lanes {
		m.publish(i)
	}
	for _, p := range m.processes {
		offset := pollInterval * time.Duration(p.number) / time.Duration(len(m.processes))
		if p.keeper != nil {
			m.clock.at(offset/2, p.tick)
		}
		for _, s := range []*service{p.model, p.plain} {
			for _, i := range s.lanes {
				m.clock.at(offset, func() { s.poll(i) })
			}
		}
	}
	for _, f := range m.scene.Failures {
		m.fail(f)
	}
	m.clock.at(0, m.sample)
	m.clock.at(m.scene.WarmUp, func() { m.worked = -m.work() })
	m.clock.at(m.scene.End, func() { m.worked += m.work() })
	for _, q := range m.requests {
		p := m.processes[q.process]
		m.clock.at(q.at, func() { p.arrive(q) })
	}
	// Requests that arrive near the end may still finish.
	m.clock.run(m.scene.End + time.Minute)
	for _, p := range m.processes {
		if p.model.queue != nil {
			e := p.model.queue.Errors()
			m.predicted.Count += e.Count
			m.predicted.LongAsShort += e.LongAsShort
			m.predicted.ShortAsLong += e.ShortAsLong
			m.predicted.LongAnswers += e.LongAnswers
			m.predicted.Log2 += e.Log2
		}
	}
}

// publish renews a server's load report.
func (m *sim) publish(i int) {
	l := m.lanes[i]
	m.published[i] = snapshot{len(l.running), l.queued()}
	m.clock.after(reportLag, func() { m.publish(i) })
}

// sampleInterval is the distance of samples of free slots.
const sampleInterval = 50 * time.Millisecond

func (m *sim) sample() {
	free := 0
	for _, l := range m.lanes[:m.shape.pipelines()] {
		free += max(0, l.free())
	}
	m.idle = append(m.idle, free)
	m.clock.after(sampleInterval, m.sample)
}

// work returns the decoding steps that the pipelines have done.
func (m *sim) work() float64 {
	sum := 0.0
	for _, l := range m.lanes[:m.shape.pipelines()] {
		l.advance()
		sum += l.work
	}
	return sum
}

func (m *sim) fail(f Failure) {
	hit := func(l *lane) bool { return l.number == f.Server || l.domain == f.Domain }
	m.clock.at(f.At, func() {
		for _, l := range m.lanes {
			if hit(l) {
				l.kill()
				m.hidden[l.number] = f.ListedAt > f.RecoversAt
			}
		}
	})
	if f.ListedAt > 0 {
		m.clock.at(f.ListedAt, func() { clear(m.hidden) })
	}
	if f.RecoversAt > 0 {
		m.clock.at(f.RecoversAt, func() {
			for _, l := range m.lanes {
				if hit(l) {
					l.revive()
				}
			}
		})
	}
}

func (p *Process) latency(l *lane) time.Duration {
	if p.domain == l.domain {
		return p.sim.shape.IntraDomainLatency
	}
	return p.sim.shape.InterDomainLatency
}

// poll reads one load report, as the watcher of package node does.
func (s *service) poll(i int) {
	c, l := &s.process.sim.clock, s.process.sim.lanes[i]
	sent, d := c.now, s.process.latency(l)
	c.after(pollInterval, func() { s.poll(i) })
	c.after(d, func() {
		if l.dead || s.process.sim.hidden[i] {
			c.at(sent+pollTimeout, func() { s.forget(i) })
			return
		}
		r := s.process.sim.published[i]
		c.after(d, func() {
			s.known[i] = true
			if s.queue != nil {
				s.queue.Observe(queue.Report{Name: l.name, Slots: l.slots, Running: r.running, Waiting: r.waiting, MeasuredAt: epoch.Add(sent)})
			}
		})
	})
}

func (s *service) forget(i int) {
	delete(s.known, i)
	if s.queue != nil {
		s.queue.RemoveServer(s.process.sim.lanes[i].name)
	}
}
