package relay_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/relay"
)

// endlessBody is a body that returns prefix at once and then the same bytes again and again until it
// is closed, with a delay before each repetition.
type endlessBody struct {
	prefix, repeated string
	delay            time.Duration
	next             func() string // replaces repeated; may be nil
	failAfter        time.Time     // reads fail after this time; zero for never
	bytesRead        int
	closed           bool
}

func (e *endlessBody) Read(b []byte) (int, error) {
	if e.closed {
		return 0, errors.New("read after close")
	}
	if !e.failAfter.IsZero() && time.Now().Add(e.delay).After(e.failAfter) {
		time.Sleep(time.Until(e.failAfter))
		return 0, os.ErrDeadlineExceeded
	}
	text := e.repeated
	if e.prefix != "" {
		text, e.prefix = e.prefix, ""
	} else {
		time.Sleep(e.delay)
		if e.next != nil {
			text = e.next()
		}
	}
	n := copy(b, text)
	e.bytesRead += n
	return n, nil
}

func (e *endlessBody) Close() error {
	e.closed = true
	return nil
}

// Guards against a faulty server that fills a stream with bytes without end, so that the caller
// waits, gets them, or takes them for the answer. Another engine must resume the stream.
func TestEndlessStreams(t *testing.T) {
	nextID := 3
	for name, body := range map[string]*endlessBody{
		"no event":                           {prefix: events(1, 2), repeated: strings.Repeat("x", 4000)},
		"no event at first":                  {repeated: strings.Repeat("x", 4000)},
		"a byte a second":                    {prefix: events(1, 2), repeated: "x", delay: time.Second},
		"events without a number":            {prefix: events(1, 2), repeated: "data: x\n\n"},
		"events with another kind of number": {prefix: events(1, 2), repeated: "id: next\ndata: x\n\n"},
		"the same event":                     {prefix: events(1, 2), repeated: events(2, 2)},
		"empty events":                       {prefix: events(1, 2), repeated: "\n\n"},
		"more events than tokens":            {prefix: events(1, 2), next: func() string { nextID++; return events(nextID-1, nextID-1) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, engineEntry("a", "near", 0, 8), slowAccelerator(engineEntry("b", "near", 0, 8)))
				cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
					if n == 1 {
						ans := signedAnswer(http.StatusOK, "")
						ans.Body = body
						return ans, nil
					}
					if name == "more events than tokens" {
						return nil, connectionReset()
					}
					return newResumedAnswer(ctx, a), nil
				}
				req := request(config.Stream, 2)
				start := time.Now()
				got := cl.serve(t.Context(), req)
				assert.Assert(t, body.closed)
				assert.Assert(t, body.bytesRead < 200<<10, "%d bytes were read", body.bytesRead)
				if name == "more events than tokens" {
					assert.Assert(t, got.err != nil)
					assert.Assert(t, cl.log.contains("more events than"))
					return
				}
				checkServed(t, got, events(1, 200))
				assert.Assert(t, time.Since(start) < 10*time.Second)
				assert.Equal(t, cl.attemptCount(), 2)
			})
		})
	}
}

// Guards against a plain answer without end that is delivered as a success, cut at the size
// bound, and against an at-most-once request that is sent again after it.
func TestEndlessPlainAnswers(t *testing.T) {
	script := func(cl *testCluster, body *endlessBody) {
		cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n > 1 {
				return signedAnswer(http.StatusOK, "good"), nil
			}
			ans := signedAnswer(http.StatusOK, "")
			ans.Body, ans.Length = body, -1
			return ans, nil
		}
	}
	t.Run("idempotent", func(t *testing.T) {
		// Virtual time keeps the hedged request from overtaking the first one on a busy machine.
		synctest.Test(t, func(t *testing.T) {
			cl, body := newCluster(t, plainEntry("a"), plainEntry("b")), &endlessBody{repeated: strings.Repeat("x", 60<<10)}
			script(cl, body)
			checkServed(t, cl.serve(t.Context(), request(config.Idempotent, 2)), "good")
			assert.Assert(t, cl.log.contains(quota.ErrTooLong.Error()))
		})
	})
	t.Run("at most once", func(t *testing.T) {
		cl, body := newCluster(t, plainEntry("a"), plainEntry("b")), &endlessBody{repeated: strings.Repeat("x", 60<<10)}
		script(cl, body)
		checkVerdict(t, cl.serve(t.Context(), request(config.AtMostOnce, 2)), fault.MayHaveRun)
		assert.Equal(t, cl.attemptCount(), 1)
		assert.Assert(t, body.closed)
	})
}

// Guards against waiting for a refusal whose body has no end or comes one byte a second: the next
// server must be tried at once.
func TestEndlessRefusal(t *testing.T) {
	for name, body := range map[string]*endlessBody{"fast": {repeated: strings.Repeat("x", 4000)}, "slow": {repeated: "x", delay: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, plainEntry("a"), plainEntry("b"))
				cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
					if n > 1 {
						return signedAnswer(http.StatusOK, "good"), nil
					}
					ans := refusal()
					ans.Body = body
					ans.SetReadDeadline = func(at time.Time) error {
						body.failAfter = at
						return nil
					}
					return ans, nil
				}
				start := time.Now()
				checkServed(t, cl.serve(t.Context(), request(config.AtMostOnce, 2)), "good")
				assert.Assert(t, time.Since(start) < 500*time.Millisecond, "%v", time.Since(start))
				assert.Assert(t, body.closed)
			})
		})
	}
}
