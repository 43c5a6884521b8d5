package queue

import (
	"math"
	"math/bits"
	"sync"
)

// Shape holds the properties of a request that are known before it runs and
// correlate with the length of its answer.
type Shape struct {
	MaxTokens   int // maximum number of tokens, 0 if the caller sets none
	PromptBytes int // size of the prompt
}

// Prediction is the predicted length of an answer.
type Prediction struct {
	Tokens float64 // expected tokens
	Long   bool    // more than longFactor times the typical length
}

const (
	// longFactor is the multiple of the typical length from which an answer is
	// long. Long requests of users run about 30 times longer than others; the
	// geometric mean of 1 and 30 is about 5.
	longFactor = 5.0
	// trustCount is the number of observations at which a bucket has the same
	// weight as the coarser buckets together. At 4, more than half of the long
	// requests in the bench ended before their bucket counted.
	trustCount = 1.0
	// minBucketWeight is the weight of the newest observation in a bucket with
	// many observations.
	minBucketWeight = 0.05
	// maxBuckets limits the memory of the predictor. It is enough for 10,000
	// accounts with a few shapes each.
	maxBuckets = 65536
)

// bucket holds the answer lengths observed for one range of shapes: the running
// mean of their logarithm, and the fraction of long answers.
type bucket struct {
	n         float64
	meanLog   float64
	longShare float64
}

func (b *bucket) add(log, long float64) {
	b.n++
	weight := max(1/b.n, minBucketWeight)
	b.meanLog += weight * (log - b.meanLog)
	b.longShare += weight * (long - b.longShare)
}

// blend combines the bucket's estimate with that of the coarser buckets, weighted
// by its number of observations. A nil bucket returns the coarser estimate.
func (b *bucket) blend(log, long float64) (float64, float64) {
	if b == nil {
		return log, long
	}
	weight := b.n / (b.n + trustCount)
	return weight*b.meanLog + (1-weight)*log, weight*b.longShare + (1-weight)*long
}

// shapeKey identifies the bucket of one account for the size classes of a shape.
type shapeKey struct {
	account   string
	maxTokens uint8
	prompt    uint8
}

// Predictor predicts the length of answers from the shape of the request and from
// the account's history. It is safe for concurrent use.
type Predictor struct {
	mu           sync.Mutex
	typicalLog   float64 // logarithm of the running median of lengths
	observations float64
	shared       map[[2]uint8]*bucket
	byAccount    map[shapeKey]*bucket
	errors       PredictionErrors
}

// PredictionErrors holds statistics of the accuracy of past predictions.
type PredictionErrors struct {
	Count       int     // observed answers
	LongAsShort int     // long answers that were predicted short
	ShortAsLong int     // short answers that were predicted long
	Log2        float64 // sum of absolute errors of the base 2 logarithm
	LongAnswers int     // long answers
}

// NewPredictor returns a predictor without history.
func NewPredictor() *Predictor {
	return &Predictor{typicalLog: math.Log(128), shared: map[[2]uint8]*bucket{}, byAccount: map[shapeKey]*bucket{}}
}

// anySize is the wildcard size class of a bucket key.
const anySize = 255

// sharedKeys returns the keys of the buckets shared by all accounts, from coarse
// to fine.
func (s Shape) sharedKeys() [3][2]uint8 {
	maxTokens, prompt := sizeClass(s.MaxTokens), sizeClass(s.PromptBytes)
	return [3][2]uint8{{anySize, prompt}, {maxTokens, anySize}, {maxTokens, prompt}}
}

// sizeClass returns the number of bits of n, which groups sizes by powers of two.
func sizeClass(n int) uint8 { return uint8(bits.Len(uint(max(n, 0)))) }

// Predict returns the predicted length of the answer to a request.
func (p *Predictor) Predict(account string, s Shape) Prediction {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, long := p.typicalLog, 0.02
	for _, k := range s.sharedKeys() {
		log, long = p.shared[k].blend(log, long)
	}
	maxTokens, prompt := sizeClass(s.MaxTokens), sizeClass(s.PromptBytes)
	log, long = p.byAccount[shapeKey{account, maxTokens, prompt}].blend(log, long)
	prediction := Prediction{Tokens: math.Exp(log), Long: long > 0.5 || log > p.typicalLog+math.Log(longFactor)}
	if s.MaxTokens > 0 {
		prediction.Tokens = min(prediction.Tokens, float64(s.MaxTokens))
		prediction.Long = prediction.Long && float64(s.MaxTokens) > p.longThreshold()
	}
	return prediction
}

// LongThreshold returns the length in tokens from which an answer is long.
func (p *Predictor) LongThreshold() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longThreshold()
}

func (p *Predictor) longThreshold() float64 { return longFactor * math.Exp(p.typicalLog) }

// Observe updates the history and the error statistics with the length of an
// answer and its prediction.
func (p *Predictor) Observe(account string, s Shape, prediction Prediction, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := math.Log(float64(max(tokens, 1)))
	isLong := float64(tokens) >= p.longThreshold()
	p.errors.Count++
	p.errors.Log2 += math.Abs(log-math.Log(max(prediction.Tokens, 1))) / math.Ln2
	if isLong {
		p.errors.LongAnswers++
	}
	if isLong && !prediction.Long {
		p.errors.LongAsShort++
	} else if !isLong && prediction.Long {
		p.errors.ShortAsLong++
	}
	// Moving up or down by the same step for each observation converges to the
	// median.
	p.observations++
	step := max(1/p.observations, 0.02)
	if log < p.typicalLog {
		step = -step
	}
	p.typicalLog += step
	long := 0.0
	if isLong {
		long = 1
	}
	p.learn(account, s, log, long)
}

// learn adds an observation to the shared buckets and to that of the account.
func (p *Predictor) learn(account string, s Shape, log, long float64) {
	for _, k := range s.sharedKeys() {
		updateBucket(p.shared, k, log, long)
	}
	updateBucket(p.byAccount, shapeKey{account, sizeClass(s.MaxTokens), sizeClass(s.PromptBytes)}, log, long)
}

// ObserveLong records that a running request is long, so that similar requests are
// predicted long before this one has ended.
func (p *Predictor) ObserveLong(account string, s Shape) {
	p.mu.Lock()
	defer p.mu.Unlock()
	log := p.typicalLog + math.Log(longFactor)
	p.learn(account, s, log, 1)
}

// updateBucket adds an observation to the bucket of a key. If the map is full, a
// new bucket replaces an arbitrary one.
func updateBucket[K comparable](m map[K]*bucket, k K, log, long float64) {
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

// Errors returns the error statistics so far.
func (p *Predictor) Errors() PredictionErrors {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.errors
}
