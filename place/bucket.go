package place

import "time"

// bucket is a token bucket over the weights that engines load, in MB. A load
// larger than the burst may start when the bucket is full and leaves a debt.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

func (b *bucket) set(rate, burst int) {
	b.fill()
	b.rate, b.burst = float64(rate), float64(burst)
	b.level = min(b.level, b.burst)
}

func (b *bucket) fill() {
	now := time.Now()
	b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
}

func (b *bucket) has(size int) bool {
	b.fill()
	return b.rate > 0 && b.level >= min(float64(size), b.burst)
}

func (b *bucket) take(size int) { b.level -= float64(size) }
func (b *bucket) back(size int) { b.level += float64(size) }
