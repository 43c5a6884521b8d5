package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// WeightStoreLimits is the answer to GET /weights: how fast all engines together
// may read the weight store.
type WeightStoreLimits struct {
	Rate  int `json:"rate"`  // MB per second
	Burst int `json:"burst"` // MB that may be read at once
}

// WeightStore is a client of the store of model weights.
type WeightStore struct{ client *client }

// NewWeightStore returns a client of the weight store.
func NewWeightStore(cfg Config) *WeightStore { return &WeightStore{client: newClient(cfg)} }

// ReadLimits returns the current limits of the weight store.
func (w *WeightStore) ReadLimits(ctx context.Context) (WeightStoreLimits, error) {
	var out WeightStoreLimits
	status, b, err := w.client.call(ctx, http.MethodGet, "/weights", nil)
	if err != nil {
		return out, fmt.Errorf("read limits of the weight store: %w", err)
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("read limits of the weight store: status %d", status)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, fmt.Errorf("decode limits of the weight store: %w", err)
	}
	if out.Rate < 0 || out.Burst < 0 {
		return out, fmt.Errorf("weight store states a rate of %d MB/s and a burst of %d MB, want none below 0", out.Rate, out.Burst)
	}
	return out, nil
}
