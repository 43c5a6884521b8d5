package place

import "time"

// bucket is a token bucket that limits the loading of weights, in MB. A load
// larger than the burst may start when the bucket is full and leaves a negative
// level.
type bucket struct {
	rate, burst float64   // MB/s and MB
	level       float64   // MB that may be loaded now; negative after a load larger than the burst
	updated     time.Time // when level was computed
}

// setLimits changes the rate and the burst.
func (b *bucket) setLimits(rate, burst int) {
	b.refill()
	b.rate, b.burst = float64(rate), float64(burst)
	b.level = min(b.level, b.burst)
}

// refill adds what has accrued since the last call.
func (b *bucket) refill() {
	now := time.Now()
	b.level = min(b.burst, b.level+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
}

// canTake reports whether a load of the given size may start.
func (b *bucket) canTake(size int) bool {
	b.refill()
	return b.rate > 0 && b.level >= min(float64(size), b.burst)
}

// withdraw accounts for a load that is being ordered.
func (b *bucket) withdraw(size int) { b.level -= float64(size) }

// refund returns the size of a load that was not started.
func (b *bucket) refund(size int) { b.level += float64(size) }
