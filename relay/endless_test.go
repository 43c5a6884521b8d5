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

// endless is a body that begins with some bytes and then repeats others until it is
// closed, with a pause before each.
type endless struct {
	begin, unit string
	pause       time.Duration
	next        func() string // in place of unit; may be nil
	until       time.Time     // reads fail after it; zero for never
	read        int
	closed      bool
}

func (e *endless) Read(b []byte) (int, error) {
	if e.closed {
		return 0, errors.New("read after close")
	}
	if !e.until.IsZero() && time.Now().Add(e.pause).After(e.until) {
		time.Sleep(time.Until(e.until))
		return 0, os.ErrDeadlineExceeded
	}
	text := e.unit
	if e.begin != "" {
		text, e.begin = e.begin, ""
	} else {
		time.Sleep(e.pause)
		if e.next != nil {
			text = e.next()
		}
	}
	n := copy(b, text)
	e.read += n
	return n, nil
}

func (e *endless) Close() error {
	e.closed = true
	return nil
}

// Guards against streams that a server in trouble fills with bytes without end: the
// caller waits, gets them, or takes them for its answer. Another engine goes on.
func TestStreamsWithoutEnd(t *testing.T) {
	at := 3
	for name, body := range map[string]*endless{
		"no event":                           {begin: events(1, 2), unit: strings.Repeat("x", 4000)},
		"no event at first":                  {unit: strings.Repeat("x", 4000)},
		"a byte a second":                    {begin: events(1, 2), unit: "x", pause: time.Second},
		"events without a number":            {begin: events(1, 2), unit: "data: x\n\n"},
		"events with another kind of number": {begin: events(1, 2), unit: "id: next\ndata: x\n\n"},
		"the same event":                     {begin: events(1, 2), unit: events(2, 2)},
		"empty events":                       {begin: events(1, 2), unit: "\n\n"},
		"more events than tokens":            {begin: events(1, 2), next: func() string { at++; return events(at-1, at-1) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, engine("a", "near", 0, 8), slow(engine("b", "near", 0, 8)))
				w.send = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
					if n == 1 {
						ans := answer(http.StatusOK, "")
						ans.Body = body
						return ans, nil
					}
					if name == "more events than tokens" {
						return nil, lost()
					}
					return resumed(ctx, a), nil
				}
				rq := request(config.Stream, 2)
				begun := time.Now()
				got := w.serve(t.Context(), rq)
				assert.Assert(t, body.closed)
				assert.Assert(t, body.read < 200<<10, "%d bytes were read", body.read)
				if name == "more events than tokens" {
					assert.Assert(t, got.err != nil)
					assert.Assert(t, w.log.contains("more events than"))
					return
				}
				checkServed(t, got, events(1, 200))
				assert.Assert(t, time.Since(begun) < 10*time.Second)
				assert.Equal(t, w.count(), 2)
			})
		})
	}
}

// Guards against a plain answer without an end that is delivered as a success, cut at
// the bound, and against an order that is sent again after it.
func TestPlainAnswersWithoutEnd(t *testing.T) {
	send := func(w *world, body *endless) {
		w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n > 1 {
				return answer(http.StatusOK, "good"), nil
			}
			ans := answer(http.StatusOK, "")
			ans.Body, ans.Length = body, -1
			return ans, nil
		}
	}
	t.Run("lookup", func(t *testing.T) {
		// In virtual time, so that no second question overtakes the first on a busy machine.
		synctest.Test(t, func(t *testing.T) {
			w, body := newWorld(t, plain("a"), plain("b")), &endless{unit: strings.Repeat("x", 60<<10)}
			send(w, body)
			checkServed(t, w.serve(t.Context(), request(config.Idempotent, 2)), "good")
			assert.Assert(t, w.log.contains(quota.ErrTooLong.Error()))
		})
	})
	t.Run("order", func(t *testing.T) {
		w, body := newWorld(t, plain("a"), plain("b")), &endless{unit: strings.Repeat("x", 60<<10)}
		send(w, body)
		checkVerdict(t, w.serve(t.Context(), request(config.Once, 2)), fault.MayHaveRun)
		assert.Equal(t, w.count(), 1)
		assert.Assert(t, body.closed)
	})
}

// Guards against a refusal whose body has no end, or comes a byte a second: the next
// server is tried at once.
func TestRefusalWithoutEnd(t *testing.T) {
	for name, body := range map[string]*endless{"fast": {unit: strings.Repeat("x", 4000)}, "slow": {unit: "x", pause: time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, plain("a"), plain("b"))
				w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
					if n > 1 {
						return answer(http.StatusOK, "good"), nil
					}
					ans := refusedAnswer()
					ans.Body = body
					ans.SetReadDeadline = func(at time.Time) error {
						body.until = at
						return nil
					}
					return ans, nil
				}
				begun := time.Now()
				checkServed(t, w.serve(t.Context(), request(config.Once, 2)), "good")
				assert.Assert(t, time.Since(begun) < 500*time.Millisecond, "%v", time.Since(begun))
				assert.Assert(t, body.closed)
			})
		})
	}
}
