package queue

import (
	"math/rand/v2"
	"time"
)

// Jitter increases d by a random amount of up to 25 %, so that callers that were
// rejected at the same time do not retry at the same time.
func Jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d + time.Duration(r.Float64()*0.25*float64(d))
}
