package stream_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// init sets defaults, which the command line can override.
func init() {
	_ = flag.Set("rapid.seed", "20261204") // fixed, so that a failing run can be repeated
	_ = flag.Set("rapid.checks", "6")      // about 15 s for each test with the race detector
}

// network connects HTTP clients and servers by net.Pipe.
type network struct {
	mu      sync.Mutex
	servers map[string]*pipeListener
	down    map[string]bool // addresses that refuse connections
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1} }

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, down := n.servers[address], n.down[address]
	n.mu.Unlock()
	if l == nil || down {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testCluster is a set of fake engines and one process that uses them, over
// in-memory connections.
type testCluster struct {
	tb      testing.TB
	net     *network
	engines map[string]*fakes.Engine
	names   []string
	table   *fleet.Table
	runner  *stream.Runner
	client  *engine.Client
	close   []func()
	crashes atomic.Int32
}

const (
	layers = 24
	pace   = 2 * time.Millisecond // of an engine, per token
)

var domains = []string{"thamel", "patan", "bhaktapur"}

// newTestCluster starts the given number of engines for each of three layer ranges.
// modify may change their configuration.
func newTestCluster(tb testing.TB, copies int, seed int64, modify func(*fakes.EngineConfig)) *testCluster {
	tc := &testCluster{tb: tb, net: &network{servers: map[string]*pipeListener{}, down: map[string]bool{}}, engines: map[string]*fakes.Engine{}}
	tc.table = fleet.New(fleet.Config{Self: "node", Domain: domains[0]})
	depot := fakes.NewExportStore()
	var list []fleet.State
	for r := range 3 {
		for i := range copies {
			name := fmt.Sprintf("e%d-%d", r, i)
			cfg := fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: r * 8, Last: r*8 + 8, Slots: 16, Pace: pace, Client: tc.http(), Exports: depot}
			if modify != nil {
				modify(&cfg)
			}
			cfg.OnCrash = func() { tc.crash(name) }
			tc.engines[name] = fakes.NewEngine(cfg)
			tc.names = append(tc.names, name)
			tc.listen(name+":1", tc.engines[name].Handler())
			list = append(list, fleet.State{Name: name, Address: name + ":1", Domain: domains[i%3], Service: "assistant"})
		}
	}
	tc.client = engine.New(engine.Config{Client: tc.http()})
	tc.watch(list)
	tc.runner = entry.NewRunner(entry.RunnerConfig{
		Fleet: tc.table, Engines: tc.client, Domain: domains[0],
		Chooser: route.New(route.Config{Fleet: tc.table, Rand: rand.New(rand.NewSource(seed))}),
	})
	time.Sleep(time.Second) // until the first load reports
	return tc
}

// http returns a client that connects to servers of the cluster.
func (tc *testCluster) http() *http.Client {
	tr := &http.Transport{DialContext: tc.net.dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	tc.close = append(tc.close, tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// listen starts a server at an address.
func (tc *testCluster) listen(address string, h http.Handler) {
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	tc.net.mu.Lock()
	tc.net.servers[address] = l
	tc.net.mu.Unlock()
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	tc.close = append(tc.close, func() { _ = s.Close() })
}

// watch keeps the fleet table up to date with the load reports of the engines.
func (tc *testCluster) watch(list []fleet.State) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	wt := fleet.NewWatcher(fleet.WatchConfig{
		Table: tc.table, OnListError: func(error) {},
		List: func(context.Context) ([]fleet.State, error) { return list, nil },
		ReadReport: func(ctx context.Context, address string) (fleet.State, error) {
			l, err := tc.client.Load(ctx, address)
			return entry.FleetState(l), err
		},
	})
	go func() { defer close(done); wt.Run(ctx) }()
	tc.close = append(tc.close, func() { cancel(); <-done })
}

func (tc *testCluster) stop() {
	for i := len(tc.close) - 1; i >= 0; i-- {
		tc.close[i]()
	}
	time.Sleep(15 * time.Second) // until releases and attempts that still run have ended
}

// setFaults sets the faults of an engine.
func (tc *testCluster) setFaults(name string, f fakes.EngineFaults) {
	tc.net.setDown(name+":1", f.Dead)
	tc.engines[name].SetFaults(f)
}

// crashTime is how long an engine is down after a crash.
const crashTime = time.Second

// crash makes a crashed engine refuse connections until it starts again.
func (tc *testCluster) crash(name string) {
	tc.crashes.Add(1)
	tc.net.setDown(name+":1", true)
	time.AfterFunc(crashTime, func() {
		tc.engines[name].Restart()
		tc.net.setDown(name+":1", false)
	})
}

// clearFaults ends all faults.
func (tc *testCluster) clearFaults() {
	for _, n := range tc.names {
		tc.setFaults(n, fakes.EngineFaults{})
	}
}

// result is what one caller received.
type result struct {
	prompt         string
	text           string
	err            error
	out            stream.Outcome
	tokenIntervals []time.Duration // time before each token
	ran            bool            // an engine computed something for the request; set by simulate
}

// request runs one request. onToken is called with the number of tokens so far.
func (tc *testCluster) request(ctx context.Context, id int, prompt string, onToken func(int)) result {
	a := result{prompt: prompt}
	var text strings.Builder
	last := time.Now()
	a.out, a.err = tc.runner.Run(ctx, stream.Request{
		ID: fmt.Sprintf("r%d", id), Service: "assistant", Model: "lights", Layers: layers, Prompt: prompt, Limit: 4096,
		Blocks:   engine.BlockHashes("lights", prompt),
		Identity: guard.NewRequest(guard.RequestConfig{Service: "assistant", Account: "hotel", Body: []byte(prompt), Messages: strings.Split(prompt, "\n")}),
	}, stream.Sink{Token: func(t string) error {
		text.WriteString(t)
		a.tokenIntervals = append(a.tokenIntervals, time.Since(last))
		last = time.Now()
		if onToken != nil {
			onToken(len(a.tokenIntervals))
		}
		return nil
	}})
	a.text = text.String()
	return a
}

// check checks invariant I2: a caller receives the complete answer to its own
// prompt, without gap or repetition, or a prefix of it and an error.
func (a result) check() error {
	want := fakes.ExpectedAnswer("lights", a.prompt, layers, 4096)
	switch {
	case a.err == nil && a.text != want:
		return fmt.Errorf("prompt %q: the answer is incomplete:\n got %q\nwant %q", a.prompt, a.text, want)
	case !strings.HasPrefix(want, a.text):
		return fmt.Errorf("prompt %q: the delivered tokens are not a prefix:\n got %q\nwant %q", a.prompt, a.text, want)
	}
	return nil
}

// busiest returns the engine of a layer range that holds the most slots.
func (tc *testCluster) busiest(r int) string {
	best := ""
	for _, n := range tc.names {
		if strings.HasPrefix(n, fmt.Sprintf("e%d-", r)) && (best == "" || tc.engines[n].UsedSlots() > tc.engines[best].UsedSlots()) {
			best = n
		}
	}
	return best
}
