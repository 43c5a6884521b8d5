package queue

import (
	"math/rand/v2"
	"time"
)

// Jitter lengthens d by up to a quarter, so that callers that were rejected
// together do not come back together.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(r.Float64()*0.25*float64(d))
}
