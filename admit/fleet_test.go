package admit_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/admit"
)

// The model: engines as one pool with KV cache for fullMemory tokens. A pass writes a token of each running stream and
// takes longer with more streams. Engines start waiting streams while their prompts fit, and preempt the newest
// ones when the answers have grown beyond the memory; these read their prompt again. Times are in seconds.
const (
	step        = 0.02
	processes   = 60
	fullMemory  = 860_000.0
	readRate    = 420_000.0 // prompt tokens per second
	passTime    = 0.008     // with no streams
	streamTime  = 9e-6      // added by each stream
	firstEvent  = 0.5       // that callers accept
	longestGap  = 0.25
	readTime    = 0.6
	deadline    = 20.0
	meanAnswer  = 135.0
	eventTokens = 5
	reportAge   = 0.5
	reportSteps = int(reportAge / step)
	knownFrom   = 5.0 // time in which processes know less
	knownTo     = 15.0
)

var (
	arrivals = []float64{167, 88, 54} // per second, by rank
	values   = []float64{2.7, 1.5, 0.85}
	lateness = []float64{0.26, 0.38, 0.31} // share of the value of a late answer
)

// caller is a request and its stream.
type caller struct {
	rank, process  int
	account        string
	arrived        float64
	prompt, answer float64
	unread         float64 // tokens that the engines have to read before the next event
	written        float64
	lastEvent      float64
	late, retried  bool
}

func (c *caller) held() float64     { return c.prompt + c.written }
func (c *caller) reserved() float64 { return c.prompt + meanAnswer }

// scenario is the load of a run.
type scenario struct {
	seed     uint64
	open     bool                              // without admission
	duration float64                           // of the arrivals
	load     float64                           // factor on all arrivals
	burst    func(rank int, t float64) float64 // factor on the arrivals; nil for none
	engines  func(t float64) float64           // share of the engines that run; nil for all
	knows    func(process int, t float64) bool // whether a process hears from the others; nil if all do
	frozen   func(process int, t float64) bool // whether it keeps the last report; nil if none does
	account  func(u float64) string            // by a random number; nil for none
}

// outcome is what a run served.
type outcome struct {
	worth, offered [3]float64
	streams, ran   [3]int
	second         []float64 // served share of the worth, by second of arrival
	refused        int
	preempted      int
	peak           float64           // largest reserved share of the memory
	byProcess      [processes]int    // streams admitted from knownFrom to knownTo
	byAccount      map[string][2]int // admitted and all streams
}

func (o *outcome) credit(rank int) float64 { return o.worth[rank] / o.offered[rank] }
func (o *outcome) between(from, to int) float64 {
	sum := 0.0
	for _, v := range o.second[from:to] {
		sum += v
	}
	return sum / float64(to-from)
}

// fleet is the state of a run.
type fleet struct {
	scenario
	outcome

	rng                  *rand.Rand
	now                  float64
	up                   float64 // share of the engines that run
	running, waiting     []*caller
	returns              []*caller // refused ones, by the time in lastEvent
	own                  [processes]float64
	reports              [][processes]float64 // loads of earlier steps
	seen                 [processes][processes]float64
	controllers          [processes]*admit.Controller
	secWorth, secOffered []float64
}

// play runs a scenario and returns what it served.
func play(s scenario) *outcome {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 2)), secWorth: make([]float64, int(s.duration)+1), secOffered: make([]float64, int(s.duration)+1)}
	f.byAccount = map[string][2]int{}
	for i := range f.controllers {
		f.controllers[i] = admit.New(admit.Config{Random: f.rng.Float64})
	}
	for ; f.now < s.duration+deadline; f.now += step {
		f.advance()
	}
	for i, v := range f.secOffered {
		f.second = append(f.second, f.secWorth[i]/max(v, 1))
	}
	return &f.outcome
}

func (f *fleet) advance() {
	f.up = 1
	if f.engines != nil {
		f.up = f.engines(f.now)
	}
	f.exchangeReports()
	if f.now < f.duration {
		for rank := range arrivals {
			f.arrive(rank)
		}
	}
	var due []*caller
	f.returns = slices.DeleteFunc(f.returns, func(c *caller) bool {
		if c.lastEvent <= f.now {
			due = append(due, c)
			return true
		}
		return false
	})
	for _, c := range due {
		f.decide(c)
	}
	f.startAndPreempt()
	f.run()
}

// exchangeReports gives each process the load that the others had reportAge ago.
func (f *fleet) exchangeReports() {
	f.reports = append(f.reports, f.own)
	if len(f.reports) > reportSteps {
		f.reports = f.reports[1:]
	}
	total := 0.0
	for _, v := range f.own {
		total += v
	}
	f.peak = max(f.peak, total/fullMemory/f.up)
	for p := range f.seen {
		switch {
		case f.knows != nil && !f.knows(p, f.now):
			f.seen[p] = [processes]float64{}
		case f.frozen == nil || !f.frozen(p, f.now):
			f.seen[p] = f.reports[0]
		}
	}
}

func (f *fleet) arrive(rank int) {
	rate := arrivals[rank] * f.load * step
	if f.burst != nil {
		rate *= f.burst(rank, f.now)
	}
	n := int(rate)
	if f.rng.Float64() < rate-float64(n) {
		n++
	}
	for range n {
		c := &caller{rank: rank, process: f.rng.IntN(processes), arrived: f.now, prompt: 500 + 600*f.rng.Float64(), answer: meanAnswer * (0.5 + f.rng.Float64())}
		if f.account != nil {
			c.account = f.account(f.rng.Float64())
		}
		f.streams[rank]++
		f.offered[rank] += values[rank]
		f.secOffered[int(f.now)] += values[rank]
		f.decide(c)
	}
}

// decide admits a stream, or lets its caller return once or give up.
func (f *fleet) decide(c *caller) {
	now := time.Unix(0, int64(f.now*1e9))
	load := f.own[c.process]
	for p, v := range f.seen[c.process] {
		if p != c.process {
			load += v
		}
	}
	pause := eventTokens * (passTime + streamTime*float64(len(f.running))/f.up) / longestGap
	counts := f.byAccount[c.account]
	if !c.retried {
		counts[1]++
	}
	x := admit.Decision{Admitted: true}
	if !f.open {
		x = f.controllers[c.process].Decide(now, admit.Demand{
			Rank: c.rank, Ranks: len(arrivals), Account: c.account, Load: admit.Load{Memory: load / fullMemory / f.up, Pause: pause},
		})
	}
	if x.Admitted {
		counts[0]++
		f.ran[c.rank]++
		if f.now >= knownFrom && f.now < knownTo {
			f.byProcess[c.process]++
		}
		f.own[c.process] += c.reserved()
		c.unread, c.lastEvent = c.prompt, f.now
		f.waiting = append(f.waiting, c)
	} else {
		f.refused++
		back := x.RetryAt.Sub(now).Seconds()
		if left := deadline - (f.now - c.arrived); !c.retried && back <= left/3 {
			c.retried, c.lastEvent = true, f.now+back
			f.returns = append(f.returns, c)
		}
	}
	f.byAccount[c.account] = counts
}

// startAndPreempt keeps the running streams within the memory.
func (f *fleet) startAndPreempt() {
	held := 0.0
	for _, c := range f.running {
		held += c.held()
	}
	room := fullMemory * f.up
	for len(f.running) > 0 && held > room {
		c := f.running[len(f.running)-1]
		f.running = f.running[:len(f.running)-1]
		held -= c.held()
		c.unread = c.held()
		f.waiting = slices.Insert(f.waiting, 0, c)
		f.preempted++
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(c *caller) bool {
		if f.now-c.arrived > deadline {
			f.end(c, 0)
			return true
		}
		if held+c.held() > room {
			return false
		}
		held += c.held()
		f.running = append(f.running, c)
		return true
	})
}

// run lets the running streams read and write for a step.
func (f *fleet) run() {
	reading, budget := 0.0, readRate*f.up*step
	for _, c := range f.running {
		reading += c.unread
	}
	share := min(1, budget/max(reading, 1)) // of what is unread
	// Reading takes up to readTime of a pass.
	speed := (1 - readTime*min(1, reading/budget)) / (passTime + streamTime*float64(len(f.running))/f.up)
	f.running = slices.DeleteFunc(f.running, func(c *caller) bool {
		if c.unread *= 1 - share; c.unread > 1 {
			return false
		}
		limit, events := longestGap, int(c.written/eventTokens)
		if events == 0 {
			limit = firstEvent
		}
		if c.written += speed * step; int(c.written/eventTokens) > events {
			c.late = c.late || f.now-c.lastEvent > limit
			c.lastEvent = f.now
		}
		if c.written < c.answer {
			return false
		}
		kept := 1.0
		if c.late {
			kept = lateness[c.rank]
		}
		f.end(c, kept*values[c.rank])
		return true
	})
}

func (f *fleet) end(c *caller, worth float64) {
	f.own[c.process] -= c.reserved()
	f.worth[c.rank] += worth
	f.secWorth[int(c.arrived)] += worth
}
