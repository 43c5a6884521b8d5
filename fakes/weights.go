package fakes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/plat"
)

// WeightStore is a stand-in for the weight store. Its transfers share one rate, and
// it records the first request that exceeds the token bucket of its limits.
type WeightStore struct {
	rate, burst int // MB/s, MB

	mu         sync.Mutex
	down       bool
	available  float64 // tokens in the bucket, MB
	refilledAt time.Time
	busyUntil  time.Time // end of the last transfer
	loads      int
	violation  error
}

// NewWeightStore returns a store with a full bucket.
func NewWeightStore(rate, burst int) *WeightStore {
	return &WeightStore{rate: rate, burst: burst, available: float64(burst), refilledAt: time.Now()}
}

// SetDown starts or ends an outage, in which new transfers fail.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// arrivalSlack is the jitter allowed between the sending and the arrival of orders:
// orders may arrive closer together than they were sent.
const arrivalSlack = 1500 * time.Millisecond

// Load transfers weights of the given size in MB. It returns at the end of the
// transfer.
func (w *WeightStore) Load(ctx context.Context, size int) error {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return fmt.Errorf("weight store is down")
	}
	now := time.Now()
	w.available = min(float64(w.burst), w.available+now.Sub(w.refilledAt).Seconds()*float64(w.rate))
	w.refilledAt = now
	if w.available+arrivalSlack.Seconds()*float64(w.rate) < float64(min(size, w.burst)) && w.violation == nil {
		w.violation = fmt.Errorf("%d MB asked for with %.0f MB in the bucket", size, w.available)
	}
	w.available -= float64(size)
	w.loads++
	if w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(size) / float64(w.rate) * float64(time.Second)))
	end := w.busyUntil
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Loads returns the number of transfers started.
func (w *WeightStore) Loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads
}

// Err returns an error for the first request that exceeded the limits, or nil.
func (w *WeightStore) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violation
}

// Limits returns the limits that GET /weights reports.
func (w *WeightStore) Limits() plat.WeightStoreLimits {
	return plat.WeightStoreLimits{Rate: w.rate, Burst: w.burst}
}

// ServeHTTP serves GET /weights.
func (w *WeightStore) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		http.Error(rw, "outage", http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, w.Limits())
}
