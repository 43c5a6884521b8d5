package fakes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/plat"
)

// WeightStore is the stand-in of the weight store. Its transfers share one rate;
// it records when more is asked for than its limits allow.
type WeightStore struct {
	rate, burst int // MB a second, MB

	mu    sync.Mutex
	down  bool
	level float64 // of the bucket, MB
	at    time.Time
	free  time.Time // end of the last transfer
	loads int
	err   error
}

// NewWeightStore returns a store with a full bucket.
func NewWeightStore(rate, burst int) *WeightStore {
	return &WeightStore{rate: rate, burst: burst, level: float64(burst), at: time.Now()}
}

// SetDown switches an outage on or off: transfers that start fail.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// slack is the time by which orders may arrive closer together than they were
// sent.
const slack = 1500 * time.Millisecond

// Load transfers weights of a size in MB.
func (w *WeightStore) Load(ctx context.Context, size int) error {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return fmt.Errorf("weight store is down")
	}
	now := time.Now()
	w.level = min(float64(w.burst), w.level+now.Sub(w.at).Seconds()*float64(w.rate))
	w.at = now
	if w.level+slack.Seconds()*float64(w.rate) < float64(min(size, w.burst)) && w.err == nil {
		w.err = fmt.Errorf("%d MB asked for with %.0f MB in the bucket", size, w.level)
	}
	w.level -= float64(size)
	w.loads++
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(size) / float64(w.rate) * float64(time.Second)))
	end := w.free
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Loads returns the number of transfers that were started.
func (w *WeightStore) Loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads
}

// Err returns the first request that went over the limits.
func (w *WeightStore) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Limits returns what GET /weights answers.
func (w *WeightStore) Limits() plat.WeightsReply {
	return plat.WeightsReply{Rate: w.rate, Burst: w.burst}
}

// ServeHTTP answers GET /weights.
func (w *WeightStore) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		http.Error(rw, "outage", http.StatusServiceUnavailable)
		return
	}
	reply(rw, w.Limits())
}
