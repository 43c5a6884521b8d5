package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cranberrybay/cranberrybay/queue"
)

const (
	promptShort  = 250.0  // tokens of a typical short prompt
	promptLong   = 1200.0 // tokens of a typical long prompt
	prefillSpeed = 64.0   // prompt tokens computed in the time of one decoding step
	textPerToken = 4      // bytes of prompt text for one token
	// plainStep is the time unit of a plain call.
	plainStep = 0.001
	plainMean = 60.0 // steps of a plain call
)

// request is one request and what became of it.
type request struct {
	number  int
	at      time.Duration
	account int
	process int
	plain   bool
	long    bool
	shape   queue.Shape
	prefill float64 // steps before the first token
	tokens  int
	by      time.Duration // deadline of the first token

	queued   time.Duration // in the entry process
	begun    time.Duration // first start in a slot, -1 before
	first    time.Duration // first token at the caller, -1 before
	done     time.Duration // last token at the caller, -1 before
	ended    time.Duration // rejection or abandonment, -1 before
	rejected string        // reason, "" when not rejected
}

// inTime tells whether the first token arrived by the deadline.
func (r *request) inTime() bool { return r.first >= 0 && r.first <= r.by }

// steps returns the decoding steps of the whole request.
func (r *request) steps() float64 { return r.prefill + float64(r.tokens) }

// Scenario is one course of demand and failures.
type Scenario struct {
	Name        string
	End         time.Duration
	Load        func(t time.Duration) float64 // demand over what the hardware can serve
	WithLong    bool                          // with long work
	ReplaceLong bool                          // long work is replaced by short work of the same size
	Failures    []Failure
	WarmUp      time.Duration // figures count requests from here on
	Seed        uint64
	EqualDemand bool // every account demands the same
}

// Failure removes backend servers.
type Failure struct {
	At         time.Duration
	RecoversAt time.Duration // when it answers again, 0 for never
	ListedAt   time.Duration // when the VM list shows it again, 0 for Back
	Domain     int           // -1 for none
	Server     int           // -1 for none
}

// requests draws the requests of a scene. They depend on the seed alone, so
// that every policy sees the same ones.
func (s Deployment) requests(sc Scenario) []*request {
	r := rand.New(rand.NewPCG(sc.Seed, 1))
	if sc.ReplaceLong {
		s.LongFraction = 0
	}
	var out []*request
	out = s.draw(out, r, sc, false)
	out = s.draw(out, r, sc, true)
	return merge(out)
}

// draw draws arrivals of a Poisson process whose rate follows the load, by
// thinning.
func (s Deployment) draw(out []*request, r *rand.Rand, sc Scenario, plain bool) []*request {
	most := 0.0
	for t := time.Duration(0); t < sc.End; t += 100 * time.Millisecond {
		most = max(most, sc.Load(t))
	}
	unit := s.demand(1)
	if plain {
		unit = float64(s.PlainWorkers*s.PlainSlots) / (plainStep * plainMean)
	}
	if unit <= 0 {
		return out
	}
	t := 0.0
	for {
		t += r.ExpFloat64() / (unit * most)
		at := time.Duration(t * float64(time.Second))
		if at >= sc.End {
			return out
		}
		if r.Float64()*most > sc.Load(at) {
			continue
		}
		if q := s.request(r, sc, at, plain); !q.long || sc.WithLong {
			out = append(out, q)
		}
	}
}

func (s Deployment) request(r *rand.Rand, sc Scenario, at time.Duration, plain bool) *request {
	q := &request{at: at, plain: plain, begun: -1, first: -1, done: -1, ended: -1}
	q.account, q.process = s.caller(r, sc)
	if plain {
		q.tokens = max(1, int(r.ExpFloat64()*plainMean))
		q.by = at + s.PlainDeadline
		return q
	}
	q.by = at + s.FirstTokenDeadline
	q.long = r.Float64() < s.LongFraction
	prompt, mean := promptShort, s.ShortTokens
	if q.long {
		prompt, mean = promptLong, s.ShortTokens*s.LongFactor
	}
	// Log-normal lengths with the given means.
	const sigma = 0.5
	q.tokens = max(1, int(mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
	tokens := max(8, prompt*math.Exp(0.4*r.NormFloat64()-0.08))
	q.prefill = tokens / prefillSpeed
	q.shape = queue.Shape{PromptBytes: int(tokens) * textPerToken, MaxTokens: s.limit(r, q)}
	return q
}

// limit draws the token limit that the caller names: three in ten name none,
// the others a power of two over the answer, long callers a large one.
func (s Deployment) limit(r *rand.Rand, q *request) int {
	if r.Float64() < 0.3 {
		return 16384
	}
	n := 256
	for n < q.tokens*3/2 {
		n *= 2
	}
	if q.long {
		return max(n, 8192)
	}
	return n
}

// caller draws the account and the entry process that its caller knows.
func (s Deployment) caller(r *rand.Rand, sc Scenario) (account, process int) {
	v := r.Float64()
	if sc.EqualDemand {
		account = int(v * float64(len(s.Accounts)))
	} else {
		for account < len(s.Accounts)-1 && v >= s.Accounts[account].DemandFraction {
			v -= s.Accounts[account].DemandFraction
			account++
		}
	}
	n := s.Accounts[account].KnownProcesses
	if n == 0 {
		return account, r.IntN(s.Processes)
	}
	return account, (account*3 + r.IntN(n)) % s.Processes
}

// merge orders requests by arrival and numbers them.
func merge(all []*request) []*request {
	plain := 0
	for plain < len(all) && !all[plain].plain {
		plain++
	}
	a, b := all[:plain], all[plain:]
	out := make([]*request, 0, len(all))
	for len(a)+len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].at <= b[0].at {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	for i, q := range out {
		q.number = i
	}
	return out
}
