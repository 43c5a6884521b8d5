package limit

import "time"

// burstTime is how much of a rate may be saved up.
const burstTime = time.Second

// bucket is a token bucket. Its level may fall below zero, as the cost of a
// request is known only at its end.
type bucket struct {
	rate  float64 // a second; 0 for no limit
	level float64
	at    time.Time
}

// most is what the bucket holds when full. It holds at least one, so that a
// rate below one a second still admits.
func (b *bucket) most() float64 { return max(1, b.rate*burstTime.Seconds()) }

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.most(), b.level+d*b.rate)
		b.at = now
	}
}

// set changes the rate. What was saved at a higher rate is lost, so that a
// share that moved to another process is not spent here as well.
func (b *bucket) set(now time.Time, rate float64) {
	if b.at.IsZero() {
		// A new bucket is full. With a level of one, the second of two requests
		// that arrived together was rejected at any rate.
		b.at, b.rate = now, rate
		b.level = b.most()
		return
	}
	b.fill(now)
	b.rate = rate
	b.level = min(b.level, b.most())
}

// wait returns the time until the level reaches need.
func (b *bucket) wait(need float64) time.Duration {
	if b.rate <= 0 || b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / b.rate * float64(time.Second))
}
