package limit

import "time"

// burstTime is the time over which an unused rate accumulates, which bounds a
// burst.
const burstTime = time.Second

// bucket is a token bucket. Its level may become negative because the cost of a
// request is known only when it ends.
type bucket struct {
	rate      float64 // per second; 0 if there is no limit or the share is zero
	level     float64
	updatedAt time.Time
}

// capacity returns the level of a full bucket. It is at least 1, so that a rate
// below one per second still admits requests.
func (b *bucket) capacity() float64 { return max(1, b.rate*burstTime.Seconds()) }

// refill adds the tokens that accumulated since the last update.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		b.level = min(b.capacity(), b.level+d*b.rate)
		b.updatedAt = now
	}
}

// setRate changes the rate. Tokens accumulated above the new capacity are dropped,
// so that a share moved to another process is not used here as well.
func (b *bucket) setRate(now time.Time, rate float64) {
	if b.updatedAt.IsZero() {
		// A new bucket starts full. With an initial level of 1, the second of two
		// concurrent requests was rejected at any rate.
		b.updatedAt, b.rate = now, rate
		b.level = b.capacity()
		return
	}
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, b.capacity())
}

// timeUntil returns the time until the level reaches need.
func (b *bucket) timeUntil(need float64) time.Duration {
	if b.rate <= 0 || b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / b.rate * float64(time.Second))
}
