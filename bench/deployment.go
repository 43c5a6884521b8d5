package bench

import "time"

// Accelerator is a kind of accelerator and its speed.
type Accelerator struct {
	Name        string
	StepSeconds float64 // duration of a decoding step for a batch of one
}

// Account is a client account of a deployment.
type Account struct {
	Name           string
	DemandFraction float64 // fraction of all requests
	Weight         float64
	KnownProcesses int // number of entry processes that its callers use, 0 for all
}

// Deployment describes a simulated deployment: servers, entry processes,
// accounts and the distribution of requests.
type Deployment struct {
	Name                                   string
	Domains                                []string
	Processes                              int
	ModelWorkers                           int // workers of the model pipelines
	Stages                                 int // stages of a pipeline, one worker each
	Slots                                  int // requests that a pipeline runs concurrently
	PlainWorkers                           int // workers of the plain service, which runs no model
	PlainSlots                             int // requests that a plain worker runs concurrently
	Accelerators                           []Accelerator
	Accounts                               []Account
	FirstTokenDeadline                     time.Duration // deadline of the first token, counted from the arrival
	PlainDeadline                          time.Duration // deadline of a plain answer, counted from the arrival
	IntraDomainLatency, InterDomainLatency time.Duration // one-way latency within and between failure domains
	ShortTokens                            float64       // mean tokens of a short answer
	LongFraction                           float64       // fraction of the model requests that are long
	LongFactor                             float64       // mean tokens of a long answer relative to a short one
}

// batchSlowdown is the relative increase in the duration of a decoding step from
// a batch of one to a full batch: a step of a full batch takes 1.6 times as long
// and produces Slots tokens.
const batchSlowdown = 0.6

// accelerators are five kinds whose speeds differ by more than a factor of 2. At
// a full batch the slowest takes 46 ms per token, within the target of 47 ms.
var accelerators = []Accelerator{{"k1", 0.0130}, {"k2", 0.0160}, {"k3", 0.0195}, {"k4", 0.0240}, {"k5", 0.0290}}

// accounts returns ten accounts: three large ones with three quarters of the
// demand, and seven small ones whose callers know two entry processes each.
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

// Deployments returns the two reference deployments of the design page.
func Deployments() []Deployment {
	base := Deployment{
		Processes: 8, ModelWorkers: 40, Stages: 4, Slots: 16, PlainWorkers: 3, PlainSlots: 8, Accelerators: accelerators,
		IntraDomainLatency: 200 * time.Microsecond, InterDomainLatency: 600 * time.Microsecond, ShortTokens: 100, LongFraction: 0.02, LongFactor: 30,
	}
	association, qalamrif := base, base
	association.Name, association.Domains = "association", []string{"thamel", "patan", "bhaktapur"}
	association.FirstTokenDeadline, association.PlainDeadline = 3*time.Second, 2*time.Second
	association.Accounts = accounts([10]string{"asan", "lalit", "durbar", "chowk", "tole", "bahal", "marga", "galli", "path", "ghar"})
	qalamrif.Name, qalamrif.Domains = "qalamrif", []string{"tetouan-a", "tanger-b", "fes-c"}
	qalamrif.FirstTokenDeadline, qalamrif.PlainDeadline = 10*time.Second, 4*time.Second
	qalamrif.Accounts = accounts([10]string{"draft", "press", "paper", "desk", "ink", "reed", "page", "quire", "folio", "spine"})
	return []Deployment{association, qalamrif}
}

// pipelines returns the number of complete pipelines.
func (d Deployment) pipelines() int { return d.ModelWorkers / d.Stages }

// batchStep returns the duration of a decoding step for a batch of n, in
// seconds. Base is the duration for a batch of one.
func batchStep(base float64, n, slots int) float64 {
	if slots < 2 {
		return base
	}
	return base * (1 + batchSlowdown*float64(n-1)/float64(slots-1))
}

// tokenRate returns the tokens per second of all pipelines at full batches,
// which is the capacity of the hardware.
func (d Deployment) tokenRate() float64 {
	sum := 0.0
	for i := range d.pipelines() {
		sum += d.pipelineRate(i)
	}
	return sum
}

// pipelineRate returns the tokens per second of pipeline i at a full batch.
func (d Deployment) pipelineRate(i int) float64 {
	return float64(d.Slots) / batchStep(d.Accelerators[i%len(d.Accelerators)].StepSeconds, d.Slots, d.Slots)
}

// meanSteps returns the mean decoding steps of a model request, including its
// prefill.
func (d Deployment) meanSteps() float64 {
	short := d.ShortTokens + shortPromptTokens/prefillTokensPerStep
	long := d.ShortTokens*d.LongFactor + longPromptTokens/prefillTokensPerStep
	return (1-d.LongFraction)*short + d.LongFraction*long
}

// requestRate returns the model requests per second that amount to a load
// relative to the capacity of the hardware.
func (d Deployment) requestRate(load float64) float64 { return load * d.tokenRate() / d.meanSteps() }
