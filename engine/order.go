package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Part is a layer range of one version of a model, with an adapter.
type Part struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	First   int    `json:"first"`          // first layer, inclusive
	Last    int    `json:"last"`           // last layer, exclusive
	Size    int    `json:"size,omitempty"` // weights in MB; not part of the identity
}

// Key returns the part without its size, for comparisons.
func (p Part) Key() Part {
	p.Size = 0
	return p
}

// Order is the body of POST /order. It states all that the engine is to hold
// and what it is to serve, so that a repeated order changes nothing and a
// later order corrects an earlier one. Parts that are not held yet are loaded,
// parts that are not named are unloaded. The role of an engine is the part
// that it serves; a part that is still loading is served once it is ready. An
// engine finishes the requests that run on a part before it unloads the part.
type Order struct {
	Fence uint64 `json:"fence"` // fencing number of the sender's lease
	Hold  []Part `json:"hold"`
	Serve *Part  `json:"serve,omitempty"`
}

// PartState is one part on an engine.
type PartState struct {
	Part
	Ready bool `json:"ready"` // false while it is loading
}

// OrderStatus is the answer to POST /order and to GET /order.
type OrderStatus struct {
	Memory  int         `json:"memory"` // MB for weights
	Parts   []PartState `json:"parts"`
	Serve   *Part       `json:"serve,omitempty"` // part that requests run on now
	Fence   uint64      `json:"fence"`           // highest fencing number received
	Running int         `json:"running"`         // requests that run now
}

// OrderStatus reads what an engine holds.
func (c *Client) OrderStatus(ctx context.Context, address string) (OrderStatus, error) {
	var h OrderStatus
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/order", nil)
	if err != nil {
		return h, fmt.Errorf("build holding request: %w", err)
	}
	rs, err := c.http.Do(rq)
	if err != nil {
		return h, fmt.Errorf("read holding of %s: %w", address, err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return h, fmt.Errorf("read holding of %s: status %d", address, rs.StatusCode)
	}
	return decodeHolding(rs.Body)
}

// maxHolding bounds the answer to an order.
const maxHolding = 1 << 20

func decodeHolding(r io.Reader) (OrderStatus, error) {
	var h OrderStatus
	if err := json.NewDecoder(io.LimitReader(r, maxHolding)).Decode(&h); err != nil {
		return h, fmt.Errorf("decode holding: %w", err)
	}
	return h, nil
}

// Order sends an order. check runs when the connection is open and the body is
// about to be written; when it fails nothing of the order takes effect, so
// that a sender which was paused while it connected sends nothing.
func (c *Client) Order(ctx context.Context, address string, o Order, check func() error) (OrderStatus, error) {
	var h OrderStatus
	body, err := json.Marshal(o)
	if err != nil {
		return h, fmt.Errorf("encode order: %w", err)
	}
	checked := &checkedBody{body: bytes.NewReader(body), check: check}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", checked)
	if err != nil {
		return h, fmt.Errorf("build order: %w", err)
	}
	rq.ContentLength = int64(len(body))
	rq.Header.Set("Content-Type", "application/json")
	rs, err := c.http.Do(rq)
	if err != nil {
		v := sendVerdict(err)
		if errors.Is(err, errUnchecked) {
			v = fault.NotRun
		}
		return h, fault.New(fault.Config{Verdict: v, Code: fault.Unavailable, Reason: "engine does not answer the order", Cause: err})
	}
	defer rs.Body.Close()
	if rs.StatusCode == http.StatusOK {
		return decodeHolding(rs.Body)
	}
	text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: fmt.Sprintf("engine answered %d to an order: %s", rs.StatusCode, bytes.TrimSpace(text))}
	if rs.Header.Get(NotRunHeader) == "true" {
		cfg.Verdict = fault.NotRun
	}
	if rs.StatusCode == http.StatusConflict {
		cfg.Code = fault.Conflict // an old fencing number
	}
	return h, fault.New(cfg)
}

// errUnchecked marks an order that its check held back.
var errUnchecked = errors.New("order was held back")

// checkedBody runs a check before its first byte is read.
type checkedBody struct {
	body  *bytes.Reader
	check func() error
	done  bool
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if !b.done {
		if err := b.check(); err != nil {
			return 0, fmt.Errorf("%w: %w", errUnchecked, err)
		}
		b.done = true
	}
	return b.body.Read(p)
}
