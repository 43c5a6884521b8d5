package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// WeightStoreLimits is the answer to GET /weights: how fast the weight store may be
// read by all engines together.
type WeightStoreLimits struct {
	Rate  int `json:"rate"`  // MB a second
	Burst int `json:"burst"` // MB at once
}

// WeightStore reads the limits of the weight store.
type WeightStore struct{ c *client }

// NewWeightStore returns a reader of the limits.
func NewWeightStore(cfg Config) *WeightStore { return &WeightStore{c: newClient(cfg)} }

// ReadLimits returns the limits as they are now.
func (w *WeightStore) ReadLimits(ctx context.Context) (WeightStoreLimits, error) {
	var out WeightStoreLimits
	status, b, err := w.c.call(ctx, http.MethodGet, "/weights", nil)
	if err != nil {
		return out, fmt.Errorf("read weight store: %w", err)
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("read weight store: status %d", status)
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return out, fmt.Errorf("decode weight store: %w", err)
	}
	if out.Rate < 0 || out.Burst < 0 {
		return out, fmt.Errorf("weight store states a rate of %d and a burst of %d", out.Rate, out.Burst)
	}
	return out, nil
}
