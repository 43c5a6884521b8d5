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
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/quota"
)

// Part is a layer range of a model version, with an optional adapter.
type Part struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	First   int    `json:"first"`          // first layer, inclusive
	Last    int    `json:"last"`           // last layer, exclusive
	Size    int    `json:"size,omitempty"` // weights in MB; not part of the identity
}

// Key returns the part without its size. Parts with equal keys are the same.
func (p Part) Key() Part {
	p.Size = 0
	return p
}

// Order is the body of POST /order. It states the complete set of parts that the
// engine is to hold and the one that it is to serve, so that repeating an order
// changes nothing and a later order corrects an earlier one.
//
// The engine loads parts in Hold that it lacks and unloads parts that are not in
// Hold, once the requests that run on them have ended. If the part to serve is
// still loading, the engine serves it once it is ready.
type Order struct {
	Fence uint64 `json:"fence"`           // fencing number of the sender's lease
	Hold  []Part `json:"hold"`            // complete set of parts
	Serve *Part  `json:"serve,omitempty"` // part to run requests on
}

// PartState is a part on an engine and whether it is loaded.
type PartState struct {
	Part
	Ready bool `json:"ready"` // false while the part is loading
}

// OrderStatus is the answer to POST /order and GET /order: the parts on an engine and
// what it serves.
type OrderStatus struct {
	Memory  int                   `json:"memory"` // MB available for weights
	Parts   quota.List[PartState] `json:"parts"`
	Serve   *Part                 `json:"serve,omitempty"` // part that requests run on at present
	Fence   uint64                `json:"fence"`           // highest fencing number received in an order
	Running int                   `json:"running"`         // number of requests that run
}

// OrderStatus reads the order status of an engine.
func (c *Client) OrderStatus(ctx context.Context, address string) (OrderStatus, error) {
	var status OrderStatus
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/order", nil)
	if err != nil {
		return status, fmt.Errorf("build order status request: %w", err)
	}
	rs, err := c.http.Do(rq)
	if err != nil {
		return status, fmt.Errorf("read order status of %s: %w", address, err)
	}
	if err := checkHead(rs); err != nil {
		return status, fmt.Errorf("read order status of %s: %w", address, err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return status, fmt.Errorf("read order status of %s: status %d", address, rs.StatusCode)
	}
	return decodeOrderStatus(rs.Body)
}

const (
	// maxOrderStatus bounds an order status, in bytes. A part takes about 100.
	maxOrderStatus = 256 << 10
	// maxParts bounds the parts of an engine: each layer of a model by itself, in several versions. The status of
	// each engine stays in memory.
	maxParts = 1024
)

func decodeOrderStatus(r io.Reader) (OrderStatus, error) {
	var status OrderStatus
	if err := json.NewDecoder(io.LimitReader(r, maxOrderStatus)).Decode(&status); err != nil {
		return status, fmt.Errorf("decode order status: %w", err)
	}
	if !status.valid() {
		return OrderStatus{}, errors.New("order status has impossible values")
	}
	return status, nil
}

// valid reports whether the values are possible.
func (s *OrderStatus) valid() bool {
	if len(s.Parts) > maxParts {
		return false
	}
	for _, p := range s.Parts {
		if !p.valid() {
			return false
		}
	}
	return isCount(s.Memory) && isCount(s.Running) && (s.Serve == nil || s.Serve.valid())
}

// valid reports whether the values are possible.
func (p *Part) valid() bool {
	return label.IsValid(p.Model) && label.IsValid(p.Version) && label.IsValid(p.Adapter) && p.First >= 0 && p.Last >= p.First && p.Last <= maxLayers && isCount(p.Size)
}

// Order sends an order and returns the resulting status. It calls check once the
// connection is open and before it writes the body. If check fails, the body is not
// written and the order has no effect: a sender that was paused while it connected
// must not send.
func (c *Client) Order(ctx context.Context, address string, o Order, check func() error) (OrderStatus, error) {
	var status OrderStatus
	body, err := json.Marshal(o)
	if err != nil {
		return status, fmt.Errorf("encode order: %w", err)
	}
	checked := &checkedBody{body: bytes.NewReader(body), check: check}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", checked)
	if err != nil {
		return status, fmt.Errorf("build order: %w", err)
	}
	rq.ContentLength = int64(len(body))
	rq.Header.Set("Content-Type", "application/json")
	rs, err := c.singleUse.Do(rq)
	if err != nil {
		verdict := sendVerdict(err)
		if errors.Is(err, errCheckFailed) {
			verdict = fault.NotRun
		}
		return status, fault.New(fault.Config{Verdict: verdict, Code: fault.Unavailable, Reason: "engine does not answer the order", Cause: err})
	}
	if err := checkHead(rs); err != nil {
		return status, err
	}
	defer rs.Body.Close()
	if rs.StatusCode == http.StatusOK {
		return decodeOrderStatus(rs.Body)
	}
	text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: fmt.Sprintf("engine answered %d to an order: %s", rs.StatusCode, bytes.TrimSpace(text))}
	if rs.Header.Get(NotRunHeader) == "true" {
		cfg.Verdict = fault.NotRun
	}
	if rs.StatusCode == http.StatusConflict {
		cfg.Code = fault.Conflict // the engine has received a higher fencing number
	}
	return status, fault.New(cfg)
}

// errCheckFailed marks an order that was not sent because its check failed.
var errCheckFailed = errors.New("order was not sent, its check failed")

// checkedBody is a request body that calls check before its first byte is read.
type checkedBody struct {
	body    *bytes.Reader
	check   func() error
	checked bool
}

func (b *checkedBody) Read(p []byte) (int, error) {
	if !b.checked {
		if err := b.check(); err != nil {
			return 0, fmt.Errorf("%w: %w", errCheckFailed, err)
		}
		b.checked = true
	}
	return b.body.Read(p)
}
