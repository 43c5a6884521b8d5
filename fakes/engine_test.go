package fakes_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
)

// start serves an engine that holds a complete model and returns a client and the
// address.
func start(t *testing.T, cfg fakes.EngineConfig) (*fakes.Engine, *engine.Client, string) {
	t.Helper()
	cfg.Model, cfg.Version, cfg.Last = "m", "1", 4
	e := fakes.NewEngine(cfg)
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	return e, engine.New(engine.Config{}), strings.TrimPrefix(s.URL, "http://")
}

// job returns a job for an engine that holds a complete model.
func job(address, request, prompt string, priority int) engine.Job {
	return engine.Job{
		Request: request, Attempt: 1, Model: "m", Version: "1", Prompt: prompt, Limit: 100, Priority: priority,
		Route: []engine.Stage{{Address: address, First: 0, Last: 4}},
	}
}

// run runs a job to its end and returns the text of its answer.
func run(ctx context.Context, c *engine.Client, j engine.Job) (string, error) {
	a, err := c.Generate(ctx, j)
	if err != nil {
		return "", err
	}
	defer a.Close()
	var f engine.Frame
	text := ""
	for {
		if err := a.Next(&f); err != nil {
			return text, err
		}
		if f.Stop != "" {
			return text, nil
		}
		text += f.Token
	}
}

// TestPriority guards against a queue that ignores priorities.
func TestPriority(t *testing.T) {
	_, c, address := start(t, fakes.EngineConfig{Slots: 1, Pace: 5 * time.Millisecond})
	done := make(chan string, 3)
	for i, p := range []int{0, 0, 5} {
		go func() {
			text, err := run(t.Context(), c, job(address, fmt.Sprintf("r%d", i), "words=10", p))
			assert.Check(t, err)
			assert.Check(t, text == fakes.ExpectedAnswer("m", "words=10", 4, 100))
			done <- fmt.Sprintf("r%d", i)
		}()
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, <-done, "r0")
	assert.Equal(t, <-done, "r2")
	assert.Equal(t, <-done, "r1")
}

// TestEvents guards against an unbounded prefix cache and against cache events
// without the delay and the gaps of real engines.
func TestEvents(t *testing.T) {
	e, c, address := start(t, fakes.EngineConfig{Memory: 64 * 6, EventDelay: 50 * time.Millisecond})
	e.SetFaults(fakes.EngineFaults{LoseEvents: true})
	for i := range 4 {
		_, err := run(t.Context(), c, job(address, fmt.Sprintf("r%d", i), strings.Repeat(fmt.Sprint(i), 4*engine.BlockBytes)+" words=1", 0))
		assert.NilError(t, err)
	}
	early, err := c.Events(t.Context(), address, 0)
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond)
	late, err := c.Events(t.Context(), address, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(late.Events) > len(early.Events))
	gaps, last := 0, uint64(0)
	for _, x := range late.Events {
		if x.Number != last+1 {
			gaps++
		}
		last = x.Number
	}
	assert.Assert(t, gaps > 0)
	l, err := c.Load(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, l.Event > 20, "16 blocks stored and at least 10 evicted, event %d", l.Event)
}

// TestEndedAttemptRefused guards against running an attempt after its cancellation.
func TestEndedAttemptRefused(t *testing.T) {
	e, c, address := start(t, fakes.EngineConfig{})
	assert.NilError(t, c.Cancel(t.Context(), address, engine.AttemptID{Request: "r", Attempt: 1}))
	_, err := run(t.Context(), c, job(address, "r", "words=3", 0))
	assert.ErrorContains(t, err, "attempt has ended")
	j := job(address, "r", "words=3", 0)
	j.Attempt = 2
	_, err = run(t.Context(), c, j)
	assert.NilError(t, err)
	assert.Equal(t, e.UsedSlots(), 0)
}
