package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrybay/cranberrybay/queue"
)

const (
	shortPromptTokens    = 250.0  // mean tokens of a short prompt
	longPromptTokens     = 1200.0 // mean tokens of a long prompt
	prefillTokensPerStep = 64.0   // prompt tokens processed in one decoding step
	bytesPerToken        = 4      // bytes of prompt text per token
	// plainStepSeconds is the unit in which the length of a plain call is given.
	plainStepSeconds = 0.001
	plainMeanSteps   = 60.0 // mean steps of a plain call
)

// request is a simulated request and its outcome. Times are virtual.
type request struct {
	number   int
	arrival  time.Duration
	account  int
	process  int // entry process that it is sent to
	plain    bool
	long     bool
	shape    queue.Shape
	prefill  float64       // decoding steps that the prefill takes
	tokens   int           // tokens of the answer, or steps of a plain call
	deadline time.Duration // deadline of the first token

	queueTime    time.Duration // time in the queue of the entry process
	startedAt    time.Duration // first start in a slot, -1 if not started
	firstTokenAt time.Duration // first token at the caller, -1 if none
	doneAt       time.Duration // last token at the caller, -1 if not complete
	endedAt      time.Duration // rejection, failure or cancellation, -1 if none
	rejected     string        // reason, empty when not rejected
}

// inTime reports whether the first token arrived by the deadline.
func (r *request) inTime() bool { return r.firstTokenAt >= 0 && r.firstTokenAt <= r.deadline }

// steps returns the decoding steps of the request, including its prefill.
func (r *request) steps() float64 { return r.prefill + float64(r.tokens) }

// Scenario is a load profile together with the failures that are injected.
type Scenario struct {
	Name        string
	End         time.Duration
	Load        func(t time.Duration) float64 // demand relative to the capacity of the hardware
	WithLong    bool                          // the load includes long requests
	ReplaceLong bool                          // long work is replaced by short work of the same total size
	Failures    []Failure
	WarmUp      time.Duration // results count requests that arrive after it
	Seed        uint64
	EqualDemand bool // every account has the same demand
}

// Failure takes down a backend server or the servers of a failure domain.
type Failure struct {
	At         time.Duration
	RecoversAt time.Duration // when the servers answer again, 0 for never
	ListedAt   time.Duration // when the VM list has the servers again, 0 for RecoversAt
	Domain     int           // index in Deployment.Domains, -1 for none
	Server     int           // index in sim.servers, -1 for none
}

// requests draws the requests of a scenario. They depend on the deployment, the
// scenario and its seed but not on the variant, so all variants serve the same
// requests.
func (d Deployment) requests(sc Scenario) []*request {
	r := rand.New(rand.NewPCG(sc.Seed, 1))
	if sc.ReplaceLong {
		d.LongFraction = 0
	}
	var out []*request
	out = d.drawArrivals(out, r, sc, false)
	out = d.drawArrivals(out, r, sc, true)
	return mergeByArrival(out)
}

// drawArrivals appends the arrivals of a Poisson process whose rate follows the
// load, drawn by thinning.
func (d Deployment) drawArrivals(out []*request, r *rand.Rand, sc Scenario, plain bool) []*request {
	maxLoad := 0.0
	for t := time.Duration(0); t < sc.End; t += 100 * time.Millisecond {
		maxLoad = max(maxLoad, sc.Load(t))
	}
	fullRate := d.requestRate(1)
	if plain {
		fullRate = float64(d.PlainWorkers*d.PlainSlots) / (plainStepSeconds * plainMeanSteps)
	}
	if fullRate <= 0 {
		return out
	}
	t := 0.0
	for {
		t += r.ExpFloat64() / (fullRate * maxLoad)
		at := time.Duration(t * float64(time.Second))
		if at >= sc.End {
			return out
		}
		if r.Float64()*maxLoad > sc.Load(at) {
			continue
		}
		if req := d.drawRequest(r, sc, at, plain); !req.long || sc.WithLong {
			out = append(out, req)
		}
	}
}

// drawRequest draws the account, the lengths and the deadline of a request.
func (d Deployment) drawRequest(r *rand.Rand, sc Scenario, at time.Duration, plain bool) *request {
	req := &request{arrival: at, plain: plain, startedAt: -1, firstTokenAt: -1, doneAt: -1, endedAt: -1}
	req.account, req.process = d.drawCaller(r, sc)
	if plain {
		req.tokens = max(1, int(r.ExpFloat64()*plainMeanSteps))
		req.deadline = at + d.PlainDeadline
		return req
	}
	req.deadline = at + d.FirstTokenDeadline
	req.long = r.Float64() < d.LongFraction
	meanPrompt, meanAnswer := shortPromptTokens, d.ShortTokens
	if req.long {
		meanPrompt, meanAnswer = longPromptTokens, d.ShortTokens*d.LongFactor
	}
	// The lengths have log-normal distributions with the given means.
	const sigma = 0.5
	req.tokens = max(1, int(meanAnswer*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
	promptTokens := max(8, meanPrompt*math.Exp(0.4*r.NormFloat64()-0.08))
	req.prefill = promptTokens / prefillTokensPerStep
	req.shape = queue.Shape{PromptBytes: int(promptTokens) * bytesPerToken, MaxTokens: d.drawTokenLimit(r, req)}
	return req
}

// drawTokenLimit draws the token limit that the caller sets: three in ten
// callers set none, which counts as 16384; the others set a power of two that is
// at least 1.5 times the answer and at least 256, or 8192 for a long answer.
func (d Deployment) drawTokenLimit(r *rand.Rand, req *request) int {
	if r.Float64() < 0.3 {
		return 16384
	}
	limit := 256
	for limit < req.tokens*3/2 {
		limit *= 2
	}
	if req.long {
		return max(limit, 8192)
	}
	return limit
}

// drawCaller draws an account by its demand, or uniformly with EqualDemand, and
// an entry process that its callers know.
func (d Deployment) drawCaller(r *rand.Rand, sc Scenario) (account, process int) {
	v := r.Float64()
	if sc.EqualDemand {
		account = int(v * float64(len(d.Accounts)))
	} else {
		for account < len(d.Accounts)-1 && v >= d.Accounts[account].DemandFraction {
			v -= d.Accounts[account].DemandFraction
			account++
		}
	}
	known := d.Accounts[account].KnownProcesses
	if known == 0 {
		return account, r.IntN(d.Processes)
	}
	return account, (account*3 + r.IntN(known)) % d.Processes
}

// mergeByArrival merges the model requests with the plain ones, which follow
// them in the slice, by arrival and numbers them.
func mergeByArrival(all []*request) []*request {
	firstPlain := 0
	for firstPlain < len(all) && !all[firstPlain].plain {
		firstPlain++
	}
	model, plain := all[:firstPlain], all[firstPlain:]
	out := make([]*request, 0, len(all))
	for len(model)+len(plain) > 0 {
		if len(plain) == 0 || len(model) > 0 && model[0].arrival <= plain[0].arrival {
			out, model = append(out, model[0]), model[1:]
		} else {
			out, plain = append(out, plain[0]), plain[1:]
		}
	}
	for i, req := range out {
		req.number = i
	}
	return out
}
