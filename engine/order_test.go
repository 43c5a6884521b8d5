package engine_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

var errCheck = errors.New("check failed")

// TestOrder guards against an order that takes effect although its check failed or
// its fencing number is old, and against errors with a wrong verdict.
func TestOrder(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		part := engine.Part{Model: "m", Version: "1", First: 0, Last: 4, Size: 40}
		orders := fakes.NewPartManager(fakes.PartManagerConfig{Memory: 100, Fenced: fenced, Parts: []engine.Part{part}})
		srv := httptest.NewServer(orders)
		address := strings.TrimPrefix(srv.URL, "http://")
		c, ctx := engine.New(engine.Config{}), t.Context()
		pass, fail := func() error { return nil }, func() error { return errCheck }
		order := engine.Order{Fence: 5, Hold: []engine.Part{part}, Serve: &part}
		h, err := c.Order(ctx, address, order, pass)
		assert.NilError(t, err)
		assert.Equal(t, h.Fence, uint64(5))
		assert.Equal(t, *h.Serve, part)
		for range 2 { // on a new connection and on a kept-alive one
			_, err = c.Order(ctx, address, engine.Order{Fence: 6}, fail)
			assert.Assert(t, errors.Is(err, errCheck))
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		}
		_, err = c.Order(ctx, address, engine.Order{Fence: 7, Hold: []engine.Part{{Size: 101}}}, pass)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "more than the memory holds")
		_, err = c.Order(ctx, address, engine.Order{Fence: 4}, pass)
		h, herr := c.OrderStatus(ctx, address)
		assert.NilError(t, herr)
		if fenced {
			assert.Equal(t, fault.CodeOf(err), fault.Conflict)
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Equal(t, len(h.Parts), 1)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, len(h.Parts), 0)
		}
		srv.Close()
		// A new client: on a kept-alive connection the order could be sent before
		// the client notices the close, and the verdict would be MayHaveRun.
		_, err = engine.New(engine.Config{}).Order(ctx, address, order, pass)
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "connection refused")
	}
}
