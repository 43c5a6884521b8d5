package bench

import "time"

// Accelerator is one kind of accelerator.
type Accelerator struct {
	Name        string
	StepSeconds float64 // seconds for one decoding step of a batch of one
}

// Account is one client account of a shape.
type Account struct {
	Name           string
	DemandFraction float64 // part of the requests
	Weight         float64
	KnownProcesses int // entry processes that its callers use, 0 for all
}

// Deployment is one user: servers, processes, accounts and requests.
type Deployment struct {
	Name                                   string
	Domains                                []string
	Processes                              int
	ModelWorkers                           int // model workers
	Stages                                 int // workers of one pipeline
	Slots                                  int // requests that a pipeline runs at once
	PlainWorkers                           int // workers of the plain service
	PlainSlots                             int // requests that a plain worker runs at once
	Accelerators                           []Accelerator
	Accounts                               []Account
	FirstTokenDeadline                     time.Duration // deadline of the first token
	PlainDeadline                          time.Duration // deadline of a plain answer
	IntraDomainLatency, InterDomainLatency time.Duration // one-way latency within and between domains
	ShortTokens                            float64       // tokens of a short answer
	LongFraction                           float64       // part of the requests that are long
	LongFactor                             float64       // tokens of a long answer over those of a short one
}

// batchCost is the growth of a decoding step from a batch of one to a full
// batch. A full batch takes 1.6 times as long and produces Slots tokens.
const batchCost = 0.6

// kinds are five accelerators whose speeds differ by more than a factor of 2.
// The full batch of the slowest takes 46 ms a token, inside the 47 ms target.
var kinds = []Accelerator{{"k1", 0.0130}, {"k2", 0.0160}, {"k3", 0.0195}, {"k4", 0.0240}, {"k5", 0.0290}}

// accounts returns ten accounts: three large ones with three quarters of the
// demand, and seven small ones whose callers know two addresses each.
func accounts(names [10]string) []Account {
	out := make([]Account, 0, len(names))
	for i, n := range names {
		a := Account{Name: n, Weight: 1, DemandFraction: 0.25}
		if i >= 3 {
			a.DemandFraction, a.KnownProcesses = 0.25/7, 2
		}
		out = append(out, a)
	}
	return out
}

// Deployments returns the two users of the design page.
func Deployments() []Deployment {
	base := Deployment{
		Processes: 8, ModelWorkers: 40, Stages: 4, Slots: 16, PlainWorkers: 3, PlainSlots: 8, Accelerators: kinds,
		IntraDomainLatency: 200 * time.Microsecond, InterDomainLatency: 600 * time.Microsecond, ShortTokens: 100, LongFraction: 0.02, LongFactor: 30,
	}
	a, q := base, base
	a.Name, a.Domains = "association", []string{"thamel", "patan", "bhaktapur"}
	a.FirstTokenDeadline, a.PlainDeadline = 3*time.Second, 2*time.Second
	a.Accounts = accounts([10]string{"asan", "lalit", "durbar", "chowk", "tole", "bahal", "marga", "galli", "path", "ghar"})
	q.Name, q.Domains = "qalamrif", []string{"tetouan-a", "tanger-b", "fes-c"}
	q.FirstTokenDeadline, q.PlainDeadline = 10*time.Second, 4*time.Second
	q.Accounts = accounts([10]string{"draft", "press", "paper", "desk", "ink", "reed", "page", "quire", "folio", "spine"})
	return []Deployment{a, q}
}

// pipelines returns the number of whole pipelines.
func (s Deployment) pipelines() int { return s.ModelWorkers / s.Stages }

// batchStep returns the seconds of one decoding step for a batch of n.
func batchStep(base float64, n, slots int) float64 {
	if slots < 2 {
		return base
	}
	return base * (1 + batchCost*float64(n-1)/float64(slots-1))
}

// rate returns the tokens a second of all pipelines at full batches: the bound
// that the hardware allows.
func (s Deployment) rate() float64 {
	sum := 0.0
	for i := range s.pipelines() {
		sum += s.laneRate(i)
	}
	return sum
}

// laneRate returns the tokens a second of one pipeline at a full batch.
func (s Deployment) laneRate(i int) float64 {
	return float64(s.Slots) / batchStep(s.Accelerators[i%len(s.Accelerators)].StepSeconds, s.Slots, s.Slots)
}

// units returns the mean decoding steps of a request, with its prefill.
func (s Deployment) units() float64 {
	short := s.ShortTokens + promptShort/prefillSpeed
	long := s.ShortTokens*s.LongFactor + promptLong/prefillSpeed
	return (1-s.LongFraction)*short + s.LongFraction*long
}

// demand returns the requests a second that load the hardware by a factor.
func (s Deployment) demand(load float64) float64 { return load * s.rate() / s.units() }
