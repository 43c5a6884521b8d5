package spread_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/spread"
)

// The figures of the simulated model and its engines are those of the simulation in relay/crash_test.go.
const (
	simLayers  = 80
	simPrompt  = 800.0
	simAnswer  = 140.0
	simDomains = 3
	simStep    = 5 * time.Millisecond
	simWarmUp  = 3 * time.Second
	simEnd     = 13 * time.Second
	stepTime   = 850e-6
	perStream  = 2.12e-6
	perContext = 2.85e-6
	prefill    = 353000.0
	hopTime    = 150e-6
	domainLink = 16400 * 8 / 4300e6
)

// kinds are the pace and the KV capacity, in streams, of the engines of each range and failure domain.
var kinds = []struct{ factor, streams float64 }{{1.4, 60}, {3.1, 40}, {16, 30}, {15, 20}}

// scenario is a simulated deployment.
type scenario struct {
	choosers int
	active   int           // choosers that get streams; 0 for all
	age      time.Duration // largest age of a report; the least is half of it
	stages   int           // ranges of the model, with each kind of engine in each; 0 for copies as of addCopies
	rate     float64       // streams per second
	room     float64       // factor on the KV capacities of kinds
	restart  bool          // an engine ends at half of the time and is back without streams
	waves    bool          // the load of the failure domains swings by 0.55 with a period of 15 s, out of phase
	lies     bool          // an engine reports no load in its answers
}

// rule changes the candidates that a chooser has built from its view before it takes the best path.
type rule func(s *sim, c int, engines []path.Engine) (excluded map[string]bool)

type simEngine struct {
	path.Engine
	factor, used float64
	streams      int
	busyUntil    time.Duration
	down         bool
}

// simFinish is the end of a stream.
type simFinish struct {
	at      time.Duration
	chooser int
	hops    []path.Hop
}

// ends is a heap of the running streams, the first to end at the top.
type ends []simFinish

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].at < h[j].at }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(simFinish)) }
func (h *ends) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// report is what the choosers of a failure domain know of each other.
type report struct {
	at    time.Duration // when it held
	total []int
	own   [][]int
}

// result has what a simulation measures.
type result struct {
	spread                    float64 // busiest over mean of the KV shares of a range, mean over windows of a second
	idle, over, refused, wide float64 // shares: of time, and of streams that met a full engine, got no path, crossed failure domains
	took                      float64 // mean seconds of a stream
	restarted                 float64 // largest KV share of the restarted engine relative to the mean of its range, within 2 s
}

func (r *result) add(x result) {
	r.spread, r.idle, r.over, r.refused = r.spread+x.spread, r.idle+x.idle, r.over+x.over, r.refused+x.refused
	r.wide, r.took, r.restarted = r.wide+x.wide, r.took+x.took, r.restarted+x.restarted
}

type sim struct {
	scenario
	r         *rand.Rand
	now       time.Duration
	engines   []simEngine
	own       [][]int        // streams by chooser and engine
	sent      [][]sentRecord // streams begun by chooser since the last report
	reports   [][]report     // by failure domain, the oldest first
	seen      [][]answerLoad // by chooser and engine: load in the last answer
	rates     []*spread.Estimator
	ending    ends
	links     path.LinkCosts
	subsets   []map[string]bool
	collector *collector
	local     bool // the next choice stays in a failure domain if it can
}

type sentRecord struct {
	at      time.Duration
	engines []int
}

type answerLoad struct {
	at      time.Duration
	streams int
}

func newSim(sc scenario, seed uint64) *sim {
	s := &sim{scenario: sc, r: rand.New(rand.NewPCG(seed, 1)), links: path.LinkCosts{SameDomain: hopTime, LinkPerToken: domainLink}}
	for i := range simDomains {
		row := make([]float64, simDomains)
		for j := range row {
			if i != j {
				row[j] = 6e-4
			}
		}
		s.links.CrossDomain = append(s.links.CrossDomain, row)
	}
	for d := range simDomains {
		if sc.stages == 0 {
			s.addCopies(d)
		}
		for g := range sc.stages {
			for _, k := range kinds {
				s.add(d, g*simLayers/sc.stages, (g+1)*simLayers/sc.stages, k.factor, k.streams)
			}
		}
	}
	for range sc.choosers {
		s.own = append(s.own, make([]int, len(s.engines)))
		s.seen = append(s.seen, make([]answerLoad, len(s.engines)))
		s.rates = append(s.rates, spread.New(spread.Config{Random: s.r.ExpFloat64}))
		half := map[string]bool{}
		for _, i := range s.r.Perm(len(s.engines)) {
			if kept := s.keptOf(half, i); kept > 2 {
				half[s.engines[i].Name] = true
			}
		}
		s.subsets = append(s.subsets, half)
	}
	s.sent = make([][]sentRecord, sc.choosers)
	s.reports = make([][]report, simDomains)
	s.collector = newCollector(s)
	return s
}

// add adds an engine that has room for so many streams.
func (s *sim) add(domain, from, to int, factor, streams float64) {
	e := path.Engine{Name: string(rune('A' + len(s.engines))), Domain: domain, From: from, To: to, Slots: 1000}
	e.Capacity = streams * s.room * (simPrompt + simAnswer) * float64(to-from)
	e.LayerPrefill = factor / prefill / simLayers
	s.engines = append(s.engines, simEngine{Engine: e, factor: factor})
}

// addCopies adds three copies of the model to a failure domain, on fast, slow and small engines. Their paces differ
// elevenfold and their ranges have few ends in common. The rooms are those of their memory.
func (s *sim) addCopies(domain int) {
	s.add(domain, 0, 36, 1.4, 65)
	for i := range 3 {
		s.add(domain, 36+44*i/3, 36+44*(i+1)/3, 3.1, 168)
	}
	for i := range 8 {
		s.add(domain, 10*i, 10*i+10, 16, 106)
	}
	for i := range 12 {
		s.add(domain, simLayers*i/12, simLayers*(i+1)/12, 15, 80)
	}
}

// keptOf returns how many engines of the range and failure domain of engine i are not excluded.
func (s *sim) keptOf(excluded map[string]bool, i int) int {
	n := 0
	for _, e := range s.engines {
		if e.From == s.engines[i].From && e.Domain == s.engines[i].Domain && !excluded[e.Name] {
			n++
		}
	}
	return n
}

// layerSeconds returns the seconds of one layer in a pass with so many streams.
func (e *simEngine) layerSeconds(streams float64) float64 {
	return (stepTime + streams*(perStream+perContext*(simPrompt+simAnswer)/1000)) * e.factor / simLayers
}

// report returns the newest report that has reached chooser c.
func (s *sim) report(c int) report {
	all := s.reports[c%simDomains]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].at <= s.now-s.age/2 {
			return all[i]
		}
	}
	return report{total: make([]int, len(s.engines))}
}

// view returns the candidates of chooser c as relay builds them.
func (s *sim) view(c int) []path.Engine {
	out := make([]path.Engine, len(s.engines))
	jitter := [simDomains]float64{}
	for d := range jitter {
		jitter[d] = 1 + 0.15*s.r.Float64()
	}
	for i := range s.engines {
		out[i] = s.candidate(i, s.reported(c, i)+float64(s.own[c][i]))
		out[i].LayerSeconds *= jitter[out[i].Domain]
	}
	return out
}

// viewOf returns what chooser c assumes about the others.
func (s *sim) viewOf(c int) spread.View {
	rep := s.report(c)
	r := spread.Report{Age: s.now - rep.at, Processes: s.choosers}
	for i := range s.engines {
		r.Own += float64(s.own[c][i])
		r.Others += s.reported(c, i)
	}
	return s.rates[c].View("s", s.now, r)
}

// reported returns the streams of the others on engine i that chooser c knows of.
func (s *sim) reported(c, i int) float64 {
	rep := s.report(c)
	if rep.own == nil {
		return 0
	}
	return float64(max(rep.total[i]-rep.own[c][i], 0))
}

// candidate returns the engine i with a load.
func (s *sim) candidate(i int, streams float64) path.Engine {
	e := s.engines[i].Engine
	e.Used = streams * (simPrompt + simAnswer) * float64(e.To-e.From)
	e.LayerSeconds = s.engines[i].layerSeconds(streams)
	if s.engines[i].down {
		e.From, e.To = 0, 0
	}
	return e
}

// run simulates the scenario under a rule.
func run(sc scenario, apply rule, seed uint64) result {
	s := newSim(sc, seed)
	arrivals := 0.0
	for s.now = 0; s.now < simEnd; s.now += simStep {
		for len(s.ending) > 0 && s.ending[0].at <= s.now {
			s.end(heap.Pop(&s.ending).(simFinish))
		}
		s.publish()
		s.restartEngine()
		for arrivals += s.rate * simStep.Seconds() * s.r.ExpFloat64(); arrivals >= 1; arrivals-- {
			s.begin(s.chooser(), apply)
		}
		s.collector.sample()
	}
	return s.collector.result()
}

// chooser returns the chooser of the next stream.
func (s *sim) chooser() int {
	active := s.choosers
	if s.active > 0 {
		active = s.active
	}
	for {
		c := s.r.IntN(active)
		phase := 2 * math.Pi * (s.now.Seconds()/15 + float64(c%simDomains)/simDomains)
		if !s.waves || s.r.Float64()*1.55 < 1+0.55*math.Sin(phase) {
			return c
		}
	}
}

// publish takes the snapshots of the failure domains that are due; each takes one twice in the age of a report.
func (s *sim) publish() {
	period := max(s.age/2, simStep)
	for d := range simDomains {
		if (s.now+time.Duration(d)*period/simDomains)%period >= simStep {
			continue
		}
		rep := report{at: s.now, total: make([]int, len(s.engines)), own: make([][]int, s.choosers)}
		for c := range s.own {
			rep.own[c] = append([]int(nil), s.own[c]...)
			for i, n := range s.own[c] {
				rep.total[i] += n
			}
		}
		s.reports[d] = append(s.reports[d], rep)
		if len(s.reports[d]) > 6 {
			s.reports[d] = s.reports[d][1:]
		}
	}
}

// restartedEngine is the engine that restarts.
const restartedEngine = 0

func (s *sim) restartEngine() {
	if !s.restart {
		return
	}
	e := &s.engines[restartedEngine]
	down := s.now >= simEnd/2 && s.now < simEnd/2+3*time.Second // its streams are out of the sums by then
	if down && !e.down {
		e.streams, e.used, e.busyUntil = 0, 0, 0
		for c := range s.own {
			s.own[c][restartedEngine] = 0
		}
		for i := range s.ending {
			for h := range s.ending[i].hops {
				if s.ending[i].hops[h].Engine == restartedEngine {
					s.ending[i].hops[h].Engine = -1
				}
			}
		}
	}
	e.down = down
}

// begin begins a stream of chooser c.
func (s *sim) begin(c int, apply rule) {
	engines := s.view(c)
	excluded := apply(s, c, engines)
	s.rates[c].Begin("s", s.now)
	want := path.Request{Local: s.local, To: simLayers, Domain: c % simDomains, NextDomain: path.NoDomain, Prompt: simPrompt, Answer: simAnswer, Excluded: excluded}
	hops, _, ok := path.Choose(want, engines, s.links)
	if !ok && want.Local {
		want.Local = false
		hops, _, ok = path.Choose(want, engines, s.links)
	}
	s.collector.arrivals++
	if !ok {
		s.collector.refused++
		return
	}
	var chosen []int
	at, pass, over, wide := s.now, 0.0, false, false
	for i, h := range hops {
		e := &s.engines[h.Engine]
		n := float64(h.To - h.From)
		chosen = append(chosen, h.Engine)
		wide = wide || (i > 0 && e.Domain != s.engines[hops[i-1].Engine].Domain)
		s.own[c][h.Engine]++
		e.streams++
		e.used += (simPrompt + simAnswer) * n
		over = over || e.used > e.Capacity
		at = max(at, e.busyUntil) + time.Duration(simPrompt*n*e.LayerPrefill*1e9)
		e.busyUntil = at
		pass += e.layerSeconds(float64(e.streams))*(n+0.5*float64(e.To-e.From)) + hopTime
		answered := answerLoad{at: s.now, streams: e.streams}
		if s.lies && h.Engine == restartedEngine {
			answered.streams = 0
		}
		s.seen[c][h.Engine] = answered
	}
	s.sent[c] = append(s.sent[c], sentRecord{s.now, chosen})
	s.collector.begun(over, wide)
	s.collector.took += (at - s.now).Seconds() + simAnswer*pass
	heap.Push(&s.ending, simFinish{at: at + time.Duration(simAnswer*pass*1e9), chooser: c, hops: hops})
}

func (s *sim) end(x simFinish) {
	for _, h := range x.hops {
		if h.Engine >= 0 {
			s.own[x.chooser][h.Engine]--
			s.engines[h.Engine].streams--
			s.engines[h.Engine].used -= (simPrompt + simAnswer) * float64(h.To-h.From)
		}
	}
}

// collector measures a simulation.
type collector struct {
	s                             *sim
	meters                        map[int]*spread.Meter // of the engines that hold a layer
	spreads, windows              float64
	samples, idle                 float64
	arrivals, refused, over, wide float64
	restarted, took               float64
}

func newCollector(s *sim) *collector {
	return &collector{s: s, meters: map[int]*spread.Meter{}}
}

func (c *collector) begun(over, wide bool) {
	if over {
		c.over++
	}
	if wide {
		c.wide++
	}
}

// sample takes the KV shares of the engines that hold a layer, for some layers. One of them idles while its share is under
// half of their mean, and one is overloaded while its share is over 0.95.
func (c *collector) sample() {
	if c.s.now < simWarmUp {
		c.arrivals, c.refused, c.over, c.wide, c.took = 0, 0, 0, 0, 0
		return
	}
	for from := 0; from < simLayers; from += simLayers / 6 {
		loads, sum, least, most := map[string]float64{}, 0.0, math.Inf(1), 0.0
		for _, e := range c.s.engines {
			if e.From <= from && e.To > from && !e.down {
				x := e.used / e.Capacity
				loads[e.Name] = x
				sum, least, most = sum+x, min(least, x), max(most, x)
			}
		}
		mean := sum / float64(len(loads))
		c.samples++
		if least < mean/2 && most > 0.95 {
			c.idle++
		}
		if c.meters[from] == nil {
			c.meters[from] = &spread.Meter{}
		}
		if im, ok := c.meters[from].Add(c.s.now, loads); ok {
			c.spreads += im.Spread
			c.windows++
		}
		back := c.s.now - simEnd/2 - 3*time.Second
		if c.s.restart && from == 0 && back > 0 && back < 2*time.Second {
			c.restarted = max(c.restarted, loads[c.s.engines[restartedEngine].Name]/mean)
		}
	}
}

func (c *collector) result() result {
	served := c.arrivals - c.refused
	return result{
		spread: c.spreads / c.windows, idle: c.idle / c.samples, over: c.over / served,
		refused: c.refused / c.arrivals, wide: c.wide / served, restarted: c.restarted, took: c.took / served,
	}
}
