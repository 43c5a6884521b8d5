package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/quota"
)

// countedBody is the body of an answer, until the context of its call ends. Its bytes are numbers that count on.
type countedBody struct {
	ctx   context.Context
	next  byte
	taken *atomic.Int64 // bytes that were read
}

func (b *countedBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	for i := range p {
		p[i] = b.next
		b.next++
	}
	b.taken.Add(int64(len(p)))
	return len(p), nil
}

func (b *countedBody) Close() error { return nil }

// TestEndlessAnswersOfOrders guards against a faulty server whose answers without end take all the memory of a
// process: of each order that it answered, 8 MB were kept.
func TestEndlessAnswersOfOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const orders, quotaBytes = 16, 4 << 20
		var taken atomic.Int64
		s := newSystem(t, 1, 1)
		s.quota = quota.New(quotaBytes)
		s.doCall = func(c *proxy.Client) func(context.Context, string, proxy.Call) (*proxy.Answer, error) {
			return func(ctx context.Context, address string, call proxy.Call) (*proxy.Answer, error) {
				if string(call.Body) == "small" {
					return &proxy.Answer{Status: 200, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader([]byte("booked")))}, nil
				}
				return &proxy.Answer{Status: 200, Header: http.Header{}, Body: &countedBody{ctx: ctx, taken: &taken}}, nil
			}
		}
		n := s.start(t)
		time.Sleep(time.Second)
		var conns []io.ReadCloser
		for i := range orders { // of callers that read nothing
			c, err := s.dial(t.Context(), "", n.name)
			assert.NilError(t, err)
			defer c.Close()
			conns = append(conns, c)
			_, err = fmt.Fprintf(c, "POST /services/desk/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nIdempotency-Key: order-%d\r\nContent-Length: 1\r\n\r\nx", i)
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.Assert(t, taken.Load() <= 2*quotaBytes, "%d answers take %d MB", orders, taken.Load()>>20)

		// A caller that reads gets all bytes in order, also those that were kept at first.
		begin := readAnswerBody(t, conns[0], 1<<20)
		for i, b := range begin {
			assert.Equal(t, b, byte(i), "byte %d", i)
		}
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(time.Minute)
		assert.Assert(t, s.quota.TryAcquire(quotaBytes), "memory of answers is not released")
		s.quota.Release(quotaBytes)
		for range 2 { // the repeat gets the answer that was kept
			_, text, err := s.call(t.Context(), n.name, "POST", "/services/desk/orders", "small", "Idempotency-Key", "last")
			assert.NilError(t, err)
			assert.Equal(t, text, "booked")
		}
		time.Sleep(time.Second)
		assert.Assert(t, s.quota.TryAcquire(quotaBytes), "memory of an answer that was kept is not released")
	})
}

// readAnswerBody reads the first bytes of the body of an answer in chunks.
func readAnswerBody(t *testing.T, c io.Reader, size int) []byte {
	t.Helper()
	rs, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	b := make([]byte, size)
	_, err = io.ReadFull(rs.Body, b)
	assert.NilError(t, err)
	return b
}
