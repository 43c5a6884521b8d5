package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

// world is a set of backend servers whose behaviour a test scripts.
type world struct {
	table  *server.Table
	relay  *relay.Relay
	budget *retry.Budget
	log    lines

	mu       sync.Mutex
	sends    []relay.Attempt
	repaths  int
	reports  int // reads of reports
	alerts   []string
	dead     map[string]bool // by address: do not answer reports
	late     map[string]int  // by address: answers that come too late
	send     func(ctx context.Context, n int, rq *relay.Request, a relay.Attempt) (*relay.Answer, error)
	repathed func(path []relay.Hop) error
}

// lines keeps log lines.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) contains(want string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), want)
}

const repeats = 20

// questionTime is more than the time after which an engine counts as silent.
const questionTime = 40 * time.Millisecond

func newWorld(t *testing.T, entries ...server.Entry) *world {
	t.Helper()
	w, _ := newMeasuredWorld(t, entries...)
	return w
}

func newMeasuredWorld(t *testing.T, entries ...server.Entry) (*world, *measured) {
	t.Helper()
	t.Cleanup(func() { time.Sleep(2 * questionTime) }) // an engine may still be asked
	m := &measured{observed: map[relay.Measure][]float64{}, violated: map[relay.Invariant]int{}}
	w := &world{dead: map[string]bool{}, late: map[string]int{}, budget: retry.New(retry.Config{Share: 0.2, Burst: repeats, Start: repeats})}
	w.table = server.NewTable(server.Config{Log: zerolog.Nop(), OutageGrace: time.Second})
	var all []server.Change
	for _, e := range entries {
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	w.table.Apply(all, true, 0)
	w.relay = relay.New(relay.Config{
		Servers: w.table, Domain: "near", Log: zerolog.New(&w.log), Budget: func(string) *retry.Budget { return w.budget },
		Observe: func(name relay.Measure, v float64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.observed[name] = append(m.observed[name], v)
		},
		Violated: func(i relay.Invariant) {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.violated[i]++
		},
		Alert: func(s *server.Server) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.alerts = append(w.alerts, s.ID())
		},
		Send: func(ctx context.Context, rq *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			w.mu.Lock()
			w.sends = append(w.sends, a)
			n := len(w.sends)
			w.mu.Unlock()
			return w.send(ctx, n, rq, a)
		},
		Report: func(ctx context.Context, address string) (relay.Report, error) {
			w.mu.Lock()
			w.reports++
			dead := w.dead[address] || w.late[address] > 0
			w.late[address]--
			w.mu.Unlock()
			if dead {
				<-ctx.Done()
				return relay.Report{}, ctx.Err()
			}
			return relay.Report{}, nil
		},
		Repath: func(_ context.Context, _, _ string, path []relay.Hop) error {
			w.mu.Lock()
			w.repaths++
			w.mu.Unlock()
			return w.repathed(path)
		},
	})
	return w, m
}

func (w *world) kill(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[address] = true
}

func (w *world) isDead(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[address]
}

func (w *world) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.sends)
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

func (w *world) serve(ctx context.Context, rq *relay.Request) reply {
	var out reply
	var b strings.Builder
	begun := time.Now()
	out.err = w.relay.Serve(ctx, rq, relay.Sink{
		Start: func(status int, _ http.Header, _ int64) { out.status = status },
		Write: func(p []byte) error { b.Write(p); return nil },
		Flush: func() error { return nil },
	})
	out.body, out.took = b.String(), time.Since(begun)
	return out
}

func request(kind config.Kind, attempts int) *relay.Request {
	now := time.Now()
	rq := &relay.Request{
		ID: "r1", Method: "POST", Target: "/x/1", Host: "h", Arrived: now, By: now.Add(10 * time.Second),
		Route: config.NewRoute(config.RouteConfig{
			Name: "r", Host: "h", Prefix: "/x/", Kind: kind, Attempts: attempts, Resumable: kind == config.Stream,
			Target: 100 * time.Millisecond, Gap: 200 * time.Millisecond, Shares: []config.Share{{Service: "s", Weight: 1}},
		}),
		Service: config.Service{Name: "s"}, Prompt: 800, Answer: 220,
	}
	if kind == config.Stream {
		rq.Service.Engine = &config.Engine{
			Layers: 8, LayerMemory: 1750, TokenMemory: 426000, Step: time.Millisecond, ReadRate: 272000, Activation: 21300, Pipe: 9300,
			Cards: map[string]config.Card{"l4": {Name: "l4", Memory: 21600, Pace: 16, Read: 8}, "slow": {Name: "slow", Memory: 21600, Pace: 50, Read: 8}},
		}
	}
	return rq
}

func plain(id string) server.Entry {
	return server.Entry{ID: id, Service: "s", Address: id + ":1", Domain: "near", Slots: 6}
}

func engine(id, domain string, from, to int) server.Entry {
	return server.Entry{ID: id, Service: "s", Address: id + ":1", Domain: domain, Slots: 100, Accelerator: "l4", From: from, To: to}
}

// slow makes an engine one that a path takes only when others are missing.
func slow(e server.Entry) server.Entry {
	e.Accelerator = "slow"
	return e
}

// answer is a signed answer with a body.
func answer(status int, body string) *relay.Answer {
	return &relay.Answer{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body)), Signed: true}
}

func refusedAnswer() *relay.Answer {
	a := answer(http.StatusServiceUnavailable, "")
	a.Refused, a.Signed = true, false
	return a
}

func lost() error {
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "lost", Cause: errors.New("reset")})
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

// stalling is a body that gives some bytes and then nothing until its context
// ends.
type stalling struct {
	ctx  context.Context
	give io.Reader
}

func (s *stalling) Read(b []byte) (int, error) {
	if n, err := s.give.Read(b); n > 0 || err == nil {
		return n, nil
	}
	<-s.ctx.Done()
	return 0, s.ctx.Err()
}

func (s *stalling) Close() error { return nil }

// parts is a body that gives one part with each read.
type parts struct{ all []string }

func (p *parts) Read(b []byte) (int, error) {
	if len(p.all) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.all[0])
	p.all = p.all[1:]
	return n, nil
}

func (p *parts) Close() error { return nil }

func stallingAnswer(ctx context.Context, body string) *relay.Answer {
	a := answer(http.StatusOK, "")
	a.Body, a.Length = &stalling{ctx: ctx, give: strings.NewReader(body)}, -1
	return a
}

func checkServed(t *testing.T, got reply, body string) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, body)
}

func checkVerdict(t *testing.T, got reply, want fault.Verdict) {
	t.Helper()
	assert.Assert(t, got.err != nil)
	assert.Equal(t, fault.Of(got.err), want, "%v", got.err)
	if want == fault.NotRun {
		_, ok := fault.RetryAt(got.err)
		assert.Assert(t, ok, "a refusal without a time to come back: %v", got.err)
	}
}
