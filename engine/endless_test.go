package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/quota"
)

// bodies answers calls with bodies, without a network.
type bodies func(ctx context.Context) io.ReadCloser

func (b bodies) RoundTrip(rq *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: b(rq.Context())}, nil
}

func newClient(q *quota.Quota, b bodies) *engine.Client {
	return engine.New(engine.Config{Client: &http.Client{Transport: b}, Quota: q})
}

func readEvents(ctx context.Context, c *engine.Client) error {
	_, err := c.Events(ctx, "a", 0)
	return err
}

func readStatus(ctx context.Context, c *engine.Client) error {
	_, err := c.OrderStatus(ctx, "a")
	return err
}

func readFrame(ctx context.Context, c *engine.Client) error {
	a, err := c.Generate(ctx, engine.Job{Route: make([]engine.Stage, 8)})
	if err != nil {
		return err
	}
	defer a.Close()
	return a.Next(&engine.Frame{})
}

// TestListsOfManyElements guards against a faulty engine whose answers take many times as much memory as bytes on
// the network, since null and {} are short and take as much memory as any element.
func TestListsOfManyElements(t *testing.T) {
	const events, parts, frame = 4 << 20, 250 << 10, 60 << 10 // bytes
	for name, c := range map[string]struct {
		list, element string
		size          int
		most          uint64 // bytes that the call allocates
		call          func(context.Context, *engine.Client) error
	}{
		"events":             {"events", "null", events, 8 * events, readEvents},
		"events, not events": {"events", "0", events, 8 * events, readEvents},
		"parts":              {"parts", "null", parts, 24 * parts, readStatus},
		"loads of a frame":   {"loads", "{}", frame, 8 * frame, readFrame},
		"ranges of a frame":  {"ranges", "[]", frame, 8 * frame, readFrame},
		"times of a frame":   {"took", "0", frame, 8 * frame, readFrame},
	} {
		t.Run(name, func(t *testing.T) {
			body := fmt.Sprintf("{%q:[%s%s]}\n", c.list, strings.Repeat(c.element+",", c.size/(len(c.element)+1)-8), c.element)
			client := newClient(nil, func(context.Context) io.ReadCloser { return io.NopCloser(strings.NewReader(body)) })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := c.call(t.Context(), client)
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated <= c.most, "%d KB of text allocate %d KB, over %d KB", len(body)>>10, allocated>>10, c.most>>10)
			assert.Check(t, err != nil, "the list is taken")
		})
	}
}

// stalledBody has a number of spaces, which may begin any answer, and no end until its call ends.
type stalledBody struct {
	ctx         context.Context
	left, taken int
	held        *atomic.Int64 // bytes that were read of bodies that are open
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.left)
	copy(p, strings.Repeat(" ", n))
	b.left -= n
	b.taken += n
	b.held.Add(int64(n))
	return n, nil
}

func (b *stalledBody) Close() error {
	b.held.Add(-int64(b.taken))
	b.taken = 0
	return nil
}

// TestReportsOfManyFaultyEngines guards against faulty engines whose reports and lists have no end, and together take
// all the memory of a process that asks them.
func TestReportsOfManyFaultyEngines(t *testing.T) {
	const engines, quotaBytes = 32, 4 << 20
	for name, call := range map[string]func(context.Context, *engine.Client) error{
		"events": readEvents,
		"load": func(ctx context.Context, c *engine.Client) error {
			_, err := c.Load(ctx, "a")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held atomic.Int64
				q := quota.New(quotaBytes)
				c := newClient(q, func(ctx context.Context) io.ReadCloser { return &stalledBody{ctx: ctx, left: 2 << 20, held: &held} })
				var wg sync.WaitGroup
				for range engines {
					wg.Go(func() { assert.Check(t, call(t.Context(), c) != nil) })
				}
				synctest.Wait()
				assert.Check(t, held.Load() <= quotaBytes, "answers of %d engines take %d KB", engines, held.Load()>>10)
				wg.Wait()
				assert.Check(t, q.TryAcquire(quotaBytes), "memory of answers is not released")
			})
		})
	}
}
