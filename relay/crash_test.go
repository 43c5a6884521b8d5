package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/shard"
)

// A grown deployment (one with -grown in its name), scaled to a third, with the engine figures and
// requests of its specification.
const (
	simDomains   = 3
	simProcesses = 24
	simRate      = 50.0 // streams per second over all processes
	simPrompt    = 800
	simTokens    = 138                     // 69 events of two tokens each
	simCrash     = 4 * time.Second         // after the start of the simulation
	simEnd       = 6500 * time.Millisecond // end of new calls
	simDead      = 4                       // engines that fail at the same time
	simSilence   = 1300 * time.Millisecond // of a sound engine
)

var simEngineFigures = &config.Engine{
	Layers: 80, LayerMemory: 1750, TokenMemory: 328000, StepTime: 850 * time.Microsecond, StepTimePerRequest: 2120 * time.Nanosecond,
	StepTimePerContext: 2850 * time.Nanosecond, PrefillRate: 353000, ActivationBytes: 16400, InterDomainMbps: 4300,
	Accelerators: map[string]config.Accelerator{
		"a100s": {Name: "a100s", Memory: 36000, StepFactor: 3.1, PrefillFactor: 3.2},
		"l4":    {Name: "l4", Memory: 21600, StepFactor: 16, PrefillFactor: 8.2},
		"t4":    {Name: "t4", Memory: 14400, StepFactor: 15, PrefillFactor: 15},
	},
}

// simEngine is a simulated engine: it reads prompts one after another, and its steps take longer
// the more streams pass through it.
type simEngine struct {
	entry       server.Entry
	accelerator config.Accelerator
	active      int
	busyUntil   time.Time // when it has read all prompts given to it
	dead        bool
	silentUntil time.Time // it answers nothing and makes no progress until then
}

func (e *simEngine) silent() bool { return time.Now().Before(e.silentUntil) }

// sim simulates entry processes, engines and callers in virtual time.
type sim struct {
	t   *testing.T
	rng *rand.Rand

	mu        sync.Mutex
	engines   map[string]*simEngine // by address
	processes []*simProcess
	streams   map[string]*simStream
	loads     map[string][2]int64 // streams and layer tokens of all processes by server ID, as of the last heartbeat
	announce  bool                // processes announce dead engines to each other
	fault     func()              // happens simCrash after the start

	total, onTime, late, lost int
}

type simProcess struct {
	table *server.Table
	relay *relay.Relay
}

// simStream is a run of a stream on its engines.
type simStream struct {
	sim     *sim
	id      string
	ctx     context.Context
	path    []relay.Hop
	sent    int       // tokens sent, including those before the run
	readyAt time.Time // when all engines of the path have read the prompt
}

func simFleet() []server.Entry {
	var fleet []shard.Engine
	accelerators := map[string]string{}
	for d := range simDomains {
		for _, c := range []struct {
			accelerator string
			count       int
		}{{"a100s", 2}, {"l4", 9}, {"t4", 12}} {
			for i := range c.count {
				id := fmt.Sprintf("%d-%s-%02d", d, c.accelerator, i)
				accelerators[id] = c.accelerator
				x := simEngineFigures.Accelerators[c.accelerator]
				fleet = append(fleet, shard.Engine{ID: id, Domain: fmt.Sprint("d", d), Memory: x.Memory, StepFactor: x.StepFactor})
			}
		}
	}
	plan, _ := shard.Plan(shard.Model{Layers: 80, LayerMB: 1750, TokenMB: 0.0041}, fleet, false)
	var out []server.Entry
	for _, e := range fleet {
		r := plan[e.ID]
		out = append(out, server.Entry{ID: e.ID, Service: "s", Address: e.ID + ":1", Domain: e.Domain, Slots: 192, Accelerator: accelerators[e.ID], From: r.From, To: r.To})
	}
	return out
}

// newSim returns a simulation whose processes have saved up a number of retries each.
func newSim(t *testing.T, announce bool, retries float64) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewSource(1)), engines: map[string]*simEngine{}, streams: map[string]*simStream{},
		loads: map[string][2]int64{}, announce: announce,
	}
	var all []server.Change
	for _, e := range simFleet() {
		s.engines[e.Address] = &simEngine{entry: e, accelerator: simEngineFigures.Accelerators[e.Accelerator]}
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	for i := range simProcesses {
		p := &simProcess{table: server.NewTable(server.Config{Log: zerolog.Nop(), OutageGrace: time.Second})}
		p.table.Apply(all, true, 0)
		budget := retry.New(retry.Config{RetriesPerRequest: 0.14, Burst: 10, Initial: retries})
		p.relay = relay.New(relay.Config{
			Servers: p.table, Domain: fmt.Sprint("d", i%simDomains), Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return budget },
			Send: s.send, FetchReport: s.report, Repath: s.repath, AnnounceDead: s.announceDead,
			PeerLoad: func(id string) (int, int64) {
				s.mu.Lock()
				defer s.mu.Unlock()
				x := s.loads[id]
				return int(x[0]), x[1]
			},
		})
		s.processes = append(s.processes, p)
	}
	return s
}

// sendHeartbeat distributes the load of all processes, as heartbeats do.
func (s *sim) sendHeartbeat() {
	sum := map[string][2]int64{}
	for _, p := range s.processes {
		for _, x := range p.table.All() {
			sum[x.ID()] = [2]int64{sum[x.ID()][0] + int64(x.Inflight()), sum[x.ID()][1] + x.ReservedTokens()}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads = sum
}

func (s *sim) announceDead(x *server.Server) {
	if !s.announce {
		return
	}
	address := x.Address()
	time.AfterFunc(3*time.Millisecond, func() {
		for _, p := range s.processes {
			p.relay.MarkDead(p.table.ByAddress(address))
		}
	})
}

// awaitVoice waits while an engine is silent and reports whether it spoke before the context ended.
func (s *sim) awaitVoice(ctx context.Context, address string) bool {
	s.mu.Lock()
	wait := time.Until(s.engines[address].silentUntil)
	s.mu.Unlock()
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// firstDead returns the first engine of a path that is dead. The caller holds s.mu.
func (s *sim) firstDead(path []relay.Hop) string {
	for _, h := range path {
		if s.engines[h.Address].dead {
			return h.Address
		}
	}
	return ""
}

// read queues tokens for an engine to read and returns when it has read them. The caller holds
// s.mu.
func (s *sim) read(h relay.Hop, tokens int, from time.Time) time.Time {
	e := s.engines[h.Address]
	duration := time.Duration(float64(tokens) / simEngineFigures.PrefillRate * e.accelerator.PrefillFactor * float64(h.To-h.From) / 80 * float64(time.Second))
	if e.busyUntil.Before(from) {
		e.busyUntil = from
	}
	e.busyUntil = e.busyUntil.Add(duration)
	return e.busyUntil
}

func (s *sim) send(ctx context.Context, req *relay.Request, a relay.Attempt) (*relay.Answer, error) {
	time.Sleep(time.Millisecond)
	if !s.awaitVoice(ctx, a.Path[0].Address) {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.firstDead(a.Path); at != "" {
		ans := refusal()
		ans.RefusedBy = at
		return ans, nil
	}
	x := &simStream{sim: s, id: req.ID, ctx: ctx, path: a.Path, readyAt: time.Now()}
	if a.LastEventID != "" {
		if _, err := fmt.Sscan(a.LastEventID, &x.sent); err != nil {
			return nil, err
		}
		x.sent *= 2
	}
	for _, h := range a.Path {
		s.engines[h.Address].active++
		x.readyAt = s.read(h, simPrompt+x.sent, x.readyAt)
	}
	s.streams[req.ID] = x
	ans := signedAnswer(http.StatusOK, "")
	ans.Body = x
	return ans, nil
}

func (s *sim) report(ctx context.Context, address string) (relay.Report, error) {
	s.mu.Lock()
	dead := s.engines[address].dead
	s.mu.Unlock()
	if dead || !s.awaitVoice(ctx, address) {
		<-ctx.Done()
		return relay.Report{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return relay.Report{}, nil
}

func (s *sim) repath(ctx context.Context, address, id string, path []relay.Hop) error {
	if !s.awaitVoice(ctx, address) {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.streams[id]
	if x == nil {
		return errors.New("no such request")
	}
	if at := s.firstDead(path); at != "" {
		return &relay.PathRejectedError{Address: at}
	}
	old := map[relay.Hop]bool{}
	for _, h := range x.path {
		old[h] = true
		s.engines[h.Address].active--
	}
	x.readyAt = time.Now()
	for _, h := range path {
		s.engines[h.Address].active++
		if !old[h] {
			x.readyAt = s.read(h, simPrompt+x.sent, x.readyAt)
		}
	}
	x.path = path
	return nil
}

// next returns the time until the next event, and false while an engine of the path is dead.
func (x *simStream) next() (time.Duration, bool) {
	x.sim.mu.Lock()
	defer x.sim.mu.Unlock()
	if x.sim.firstDead(x.path) != "" || slices.ContainsFunc(x.path, func(h relay.Hop) bool { return x.sim.engines[h.Address].silent() }) {
		return 0, false
	}
	var token time.Duration
	for _, h := range x.path {
		e := x.sim.engines[h.Address]
		f := simEngineFigures
		step := f.StepTime + time.Duration(e.active)*(f.StepTimePerRequest+f.StepTimePerContext*9/10) // 900 tokens of context per stream
		token += time.Duration(float64(step)*e.accelerator.StepFactor*float64(h.To-h.From)/80) + 150*time.Microsecond
	}
	return max(time.Until(x.readyAt), 0) + 2*token, true
}

func (x *simStream) Read(b []byte) (int, error) {
	if x.sent >= simTokens {
		return 0, io.EOF
	}
	const pollInterval = 5 * time.Millisecond // how often to look for a new path
	for {
		wait, ok := x.next()
		if !ok {
			wait = pollInterval
		}
		select {
		case <-x.ctx.Done():
			return 0, x.ctx.Err()
		case <-time.After(wait):
		}
		if _, alive := x.next(); ok && alive {
			break
		}
	}
	x.sent += 2
	return copy(b, events(x.sent/2, x.sent/2)), nil
}

func (x *simStream) Close() error {
	x.sim.mu.Lock()
	defer x.sim.mu.Unlock()
	for _, h := range x.path {
		x.sim.engines[h.Address].active--
	}
	if x.sim.streams[x.id] == x {
		delete(x.sim.streams, x.id)
	}
	return nil
}

// call simulates one caller. It accepts a first event within 500 ms and gaps of 250 ms, as the
// callers of the deployment do.
func (s *sim) call(p *simProcess, id string) {
	req := request(config.Stream, 2)
	req.ID, req.PromptTokens, req.AnswerTokensHint, req.Service.Engine = id, simPrompt, simTokens, simEngineFigures
	start := time.Now()
	last, isLate := start, false
	var body []byte
	err := p.relay.Serve(context.Background(), req, relay.Sink{
		Start: func(int, http.Header, int64) {},
		Write: func(b []byte) error {
			now := time.Now()
			limit := 250 * time.Millisecond
			if len(body) == 0 {
				limit = 500 * time.Millisecond
			}
			isLate = isLate || now.Sub(last) > limit
			last = now
			body = append(body, b...)
			return nil
		},
		Flush: func() error { return nil },
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	switch {
	case err != nil:
		s.lost++
		s.t.Logf("lost %s after %v: %v", id, time.Since(start), err)
	case isLate:
		s.late++
	default:
		s.onTime++
		assert.Check(s.t, string(body) == events(1, simTokens/2), "the answer is incomplete or out of order")
	}
}

// silence makes engines of one failure domain answer nothing for a while: those that hold the first
// layer, or simDead others.
func (s *sim) silence(first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silenced := 0
	for _, x := range simFleet() {
		if e := s.engines[x.Address]; e.entry.Domain == "d0" && e.entry.To > 0 && (e.entry.From == 0) == first && silenced < simDead {
			e.silentUntil = time.Now().Add(simSilence)
			silenced++
		}
	}
}

// crash kills simDead engines of one failure domain at the same time, none of which holds the first
// layer.
func (s *sim) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*simEngine
	for _, x := range simFleet() {
		if e := s.engines[x.Address]; e.entry.Domain == "d0" && e.entry.From > 0 {
			all = append(all, e)
		}
	}
	rand.New(rand.NewSource(2)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, e := range all[:simDead] {
		e.dead = true
	}
}

func (s *sim) run() {
	start := time.Now()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				s.sendHeartbeat()
			}
		}
	})
	time.AfterFunc(simCrash, s.fault)
	var callers sync.WaitGroup
	for n := 0; time.Since(start) < simEnd; n++ {
		p := s.processes[s.rng.Intn(len(s.processes))]
		callers.Go(func() { s.call(p, fmt.Sprint("r", n)) })
		time.Sleep(time.Duration(s.rng.ExpFloat64() / simRate * float64(time.Second)))
	}
	callers.Wait()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
}

// TestCrashUnderLoad simulates the crash of four engines of one failure domain under the load of
// the deployment, with the real path search, detours, retries and announcements. It guards against
// streams that end with their engines, and against a crash that many callers notice. A run without
// announcements between processes is logged for comparison.
func TestCrashUnderLoad(t *testing.T) {
	for _, announce := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newSim(t, announce, 10)
			s.fault = s.crash
			s.run()
			t.Logf("announcements %v: %d streams, %d on time, %d late, %d lost", announce, s.total, s.onTime, s.late, s.lost)
			if announce {
				assert.Equal(t, s.lost, 0)
				assert.Assert(t, s.onTime*10 >= s.total*9, "fewer than nine in ten streams on time")
			}
		})
	}
}

// TestSilentEnginesLoseNoStream guards against streams that are cut because a live engine is silent for a
// second.
func TestSilentEnginesLoseNoStream(t *testing.T) {
	for _, first := range []bool{true, false} {
		for _, retries := range []float64{0, 10} {
			t.Run(fmt.Sprintf("first=%v,retries=%v", first, retries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSim(t, true, retries)
					s.fault = func() { s.silence(first) }
					s.run()
					t.Logf("%d streams, %d on time, %d late, %d lost", s.total, s.onTime, s.late, s.lost)
					assert.Equal(t, s.lost, 0)
				})
			})
		}
	}
}
