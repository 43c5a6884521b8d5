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
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// The command line may name other values.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "6") // about 15 s for each test with the race detector
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

// world is a fleet of engine stand-ins, and one process that uses it, over
// in-memory connections.
type world struct {
	tb      testing.TB
	net     *network
	engines map[string]*fakes.Engine
	names   []string
	table   *fleet.Table
	runner  *stream.Runner
	client  *engine.Client
	close   []func()
}

const (
	layers = 24
	pace   = 2 * time.Millisecond
)

var domains = []string{"thamel", "patan", "bhaktapur"}

// newWorld starts copies engines for each of three layer ranges. mod changes
// their configuration.
func newWorld(tb testing.TB, copies int, seed int64, mod func(*fakes.EngineConfig)) *world {
	w := &world{tb: tb, net: &network{servers: map[string]*pipeListener{}, down: map[string]bool{}}, engines: map[string]*fakes.Engine{}}
	w.table = fleet.New(fleet.Config{Self: "node", Domain: domains[0]})
	depot := fakes.NewExportStore()
	var list []fleet.State
	for r := range 3 {
		for i := range copies {
			name := fmt.Sprintf("e%d-%d", r, i)
			cfg := fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: r * 8, Last: r*8 + 8, Slots: 16, Pace: pace, Client: w.http(), Exports: depot}
			if mod != nil {
				mod(&cfg)
			}
			w.engines[name] = fakes.NewEngine(cfg)
			w.names = append(w.names, name)
			w.listen(name+":1", w.engines[name].Handler())
			list = append(list, fleet.State{Name: name, Address: name + ":1", Domain: domains[i%3], Service: "assistant"})
		}
	}
	w.client = engine.New(engine.Config{Client: w.http()})
	w.watch(list)
	w.runner = entry.NewAnswers(entry.AnswersConfig{
		Fleet: w.table, Engines: w.client, Domain: domains[0],
		Chooser: route.New(route.Config{Fleet: w.table, Rand: rand.New(rand.NewSource(seed))}),
	})
	time.Sleep(time.Second) // the first reports
	return w
}

func (w *world) http() *http.Client {
	tr := &http.Transport{DialContext: w.net.dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	w.close = append(w.close, tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

func (w *world) listen(address string, h http.Handler) {
	l := &pipeListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	w.net.mu.Lock()
	w.net.servers[address] = l
	w.net.mu.Unlock()
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.close = append(w.close, func() { _ = s.Close() })
}

func (w *world) watch(list []fleet.State) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	wt := fleet.NewWatcher(fleet.WatchConfig{
		Table: w.table, OnListError: func(error) {},
		List: func(context.Context) ([]fleet.State, error) { return list, nil },
		ReadReport: func(ctx context.Context, address string) (fleet.State, error) {
			l, err := w.client.Load(ctx, address)
			return entry.StateOf(l), err
		},
	})
	go func() { defer close(done); wt.Run(ctx) }()
	w.close = append(w.close, func() { cancel(); <-done })
}

func (w *world) stop() {
	for i := len(w.close) - 1; i >= 0; i-- {
		w.close[i]()
	}
	time.Sleep(15 * time.Second) // releases and lingering attempts end
}

// set changes the faults of an engine.
func (w *world) set(name string, f fakes.EngineFaults) {
	w.net.setDown(name+":1", f.Dead)
	w.engines[name].SetFaults(f)
}

// healthy ends all faults.
func (w *world) healthy() {
	for _, n := range w.names {
		w.set(n, fakes.EngineFaults{})
	}
}

// answer is what one caller got.
type answer struct {
	prompt string
	text   string
	err    error
	out    stream.Outcome
	gaps   []time.Duration // time before each token
	ran    bool            // an engine computed something for it, filled by simulate
}

// ask runs one request. each is called with the number of tokens so far.
func (w *world) ask(ctx context.Context, id int, prompt string, each func(int)) answer {
	a := answer{prompt: prompt}
	var text strings.Builder
	last := time.Now()
	a.out, a.err = w.runner.Run(ctx, stream.Request{
		ID: fmt.Sprintf("r%d", id), Service: "assistant", Model: "lights", Layers: layers, Prompt: prompt, Limit: 4096,
		Blocks: engine.Blocks("lights", prompt),
	}, stream.Sink{Token: func(t string) error {
		text.WriteString(t)
		a.gaps = append(a.gaps, time.Since(last))
		last = time.Now()
		if each != nil {
			each(len(a.gaps))
		}
		return nil
	}})
	a.text = text.String()
	return a
}

// check returns what is wrong with an answer: invariant I2 asks for the whole
// answer to the caller's own prompt, without gap or repetition, or for an
// error that says so.
func (a answer) check() error {
	want := fakes.ExpectedAnswer("lights", a.prompt, layers, 4096)
	switch {
	case a.err == nil && a.text != want:
		return fmt.Errorf("prompt %q: answer is not whole:\n got %q\nwant %q", a.prompt, a.text, want)
	case !strings.HasPrefix(want, a.text):
		return fmt.Errorf("prompt %q: delivered part is not a prefix:\n got %q\nwant %q", a.prompt, a.text, want)
	}
	return nil
}

// driverOf returns the engine of a range that has computed most.
func (w *world) busiest(r int) string {
	best := ""
	for _, n := range w.names {
		if strings.HasPrefix(n, fmt.Sprintf("e%d-", r)) && (best == "" || w.engines[n].UsedSlots() > w.engines[best].UsedSlots()) {
			best = n
		}
	}
	return best
}
