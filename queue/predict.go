package queue

import (
	"math"
	"math/bits"
	"sync"
)

// Shape is what a request shows of its length before it runs.
type Shape struct {
	MaxTokens   int // tokens at most, 0 when the caller names no limit
	PromptBytes int // bytes of the prompt
}

// Prediction is the expected length of an answer.
type Prediction struct {
	Tokens float64 // expected tokens
	Long   bool    // over longFactor times the typical length
}

const (
	// longFactor separates long from short work, in typical lengths. The users'
	// long requests run thirty times longer than the rest; the geometric middle
	// between 1 and 30 is about 5.
	longFactor = 5.0
	// enough is the number of observations at which a bucket is trusted as much
	// as all coarser ones together. With 4, more than half of the long requests
	// of the bench ended before their bucket counted.
	enough = 1.0
	// forget is the weight of the newest observation in a full bucket.
	forget = 0.05
	// maxBuckets bounds the memory of the predictor: 10,000 accounts with a few
	// shapes each.
	maxBuckets = 65536
)

// bucket is the history of one shape: a running mean of the logarithm of the
// length, and the share of long answers.
type bucket struct {
	n    float64
	log  float64
	long float64
}

func (b *bucket) add(log, long float64) {
	b.n++
	a := max(1/b.n, forget)
	b.log += a * (log - b.log)
	b.long += a * (long - b.long)
}

// blend returns the bucket's view, drawn to the coarser view where it has few
// observations.
func (b *bucket) blend(log, long float64) (float64, float64) {
	if b == nil {
		return log, long
	}
	w := b.n / (b.n + enough)
	return w*b.log + (1-w)*log, w*b.long + (1-w)*long
}

type shapeKey struct {
	account string
	limit   uint8
	prompt  uint8
}

// Predictor predicts lengths from the request's shape and the account's
// history. It has one lock.
type Predictor struct {
	mu      sync.Mutex
	typical float64 // logarithm of the typical length (running median)
	seen    float64
	all     map[[2]uint8]*bucket
	account map[shapeKey]*bucket
	errs    PredictionErrors
}

// PredictionErrors measures past predictions.
type PredictionErrors struct {
	Count       int     // answers observed
	LongAsShort int     // predicted short, ran long
	ShortAsLong int     // predicted long, ran short
	Log2        float64 // sum of absolute errors of the logarithm to base 2
	LongAnswers int     // answers that ran long
}

// NewPredictor returns a predictor without history.
func NewPredictor() *Predictor {
	return &Predictor{typical: math.Log(128), all: map[[2]uint8]*bucket{}, account: map[shapeKey]*bucket{}}
}

// anySize stands for every size in a key.
const anySize = 255

// keys returns the keys of the buckets over all accounts, coarse to fine.
func (s Shape) keys() [3][2]uint8 {
	l, r := sizeOf(s.MaxTokens), sizeOf(s.PromptBytes)
	return [3][2]uint8{{anySize, r}, {l, anySize}, {l, r}}
}

func sizeOf(n int) uint8 { return uint8(bits.Len(uint(max(n, 0)))) }

// Predict returns the expected length of an answer.
func (p *Predictor) Predict(account string, s Shape) Prediction {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, long := p.typical, 0.02
	for _, k := range s.keys() {
		log, long = p.all[k].blend(log, long)
	}
	l, r := sizeOf(s.MaxTokens), sizeOf(s.PromptBytes)
	log, long = p.account[shapeKey{account, l, r}].blend(log, long)
	pr := Prediction{Tokens: math.Exp(log), Long: long > 0.5 || log > p.typical+math.Log(longFactor)}
	if s.MaxTokens > 0 {
		pr.Tokens = min(pr.Tokens, float64(s.MaxTokens))
		pr.Long = pr.Long && float64(s.MaxTokens) > p.longFrom()
	}
	return pr
}

// LongThreshold returns the length in tokens from which an answer is long.
func (p *Predictor) LongThreshold() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longFrom()
}

func (p *Predictor) longFrom() float64 { return longFactor * math.Exp(p.typical) }

// Observe learns the length of an answer and the error of its prediction.
func (p *Predictor) Observe(account string, s Shape, pr Prediction, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := math.Log(float64(max(tokens, 1)))
	isLong := float64(tokens) >= p.longFrom()
	p.errs.Count++
	p.errs.Log2 += math.Abs(log-math.Log(max(pr.Tokens, 1))) / math.Ln2
	if isLong {
		p.errs.LongAnswers++
	}
	if isLong && !pr.Long {
		p.errs.LongAsShort++
	} else if !isLong && pr.Long {
		p.errs.ShortAsLong++
	}
	// A step towards the side of each observation settles at the median.
	p.seen++
	step := max(1/p.seen, 0.02)
	if log < p.typical {
		step = -step
	}
	p.typical += step
	long := 0.0
	if isLong {
		long = 1
	}
	p.learn(account, s, log, long)
}

func (p *Predictor) learn(account string, s Shape, log, long float64) {
	for _, k := range s.keys() {
		add(p.all, k, log, long)
	}
	add(p.account, shapeKey{account, sizeOf(s.MaxTokens), sizeOf(s.PromptBytes)}, log, long)
}

// ObserveLong learns from a request in flight that it is long, so that the next
// one like it is predicted long before this one has ended.
func (p *Predictor) ObserveLong(account string, s Shape) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.typical + math.Log(longFactor)
	p.learn(account, s, log, 1)
}

// add updates one bucket and drops an arbitrary other one over the bound.
func add[K comparable](m map[K]*bucket, k K, log, long float64) {
	b := m[k]
	if b == nil {
		if len(m) >= maxBuckets {
			for old := range m {
				delete(m, old)
				break
			}
		}
		b = &bucket{}
		m[k] = b
	}
	b.add(log, long)
}

// Errors returns the measured errors so far.
func (p *Predictor) Errors() PredictionErrors {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.errs
}
