package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
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

// The users' grown deployment, scaled to a third: engine figures and requests as
// their pages give them.
const (
	simDomains   = 3
	simProcesses = 24
	simRate      = 50.0 // streams a second over all processes
	simPrompt    = 800
	simTokens    = 138 // 69 events of two tokens
	simCrash     = 4 * time.Second
	simEnd       = 6500 * time.Millisecond
	simDead      = 4 // engines that die at once
)

var simEngineFigures = &config.Engine{
	Layers: 80, LayerMemory: 1750, TokenMemory: 328000, Step: 850 * time.Microsecond, PerRequest: 2120 * time.Nanosecond,
	PerContext: 2850 * time.Nanosecond, ReadRate: 353000, Activation: 16400, Pipe: 4300,
	Cards: map[string]config.Card{
		"a100s": {Name: "a100s", Memory: 36000, Pace: 3.1, Read: 3.2},
		"l4":    {Name: "l4", Memory: 21600, Pace: 16, Read: 8.2},
		"t4":    {Name: "t4", Memory: 14400, Pace: 15, Read: 15},
	},
}

// simEngine is a model engine: it reads prompts one after another, and its steps
// grow with the streams that pass through it.
type simEngine struct {
	entry  server.Entry
	card   config.Card
	active int
	busy   time.Time // end of the reads that it was given
	dead   bool
}

// sim plays entry processes, engines and callers in virtual time.
type sim struct {
	t      *testing.T
	random *rand.Rand

	mu        sync.Mutex
	engines   map[string]*simEngine // by address
	processes []*simProcess
	streams   map[string]*simStream
	others    map[string][2]int64 // server to streams and layer tokens, as heartbeats last told
	told      bool                // processes tell each other of dead engines

	asked, good, late, lost int
}

type simProcess struct {
	table *server.Table
	relay *relay.Relay
}

// simStream is the run of a stream at its engines.
type simStream struct {
	sim   *sim
	id    string
	ctx   context.Context
	path  []relay.Hop
	sent  int // tokens, those before the run included
	ready time.Time
}

func simLayout() []server.Entry {
	var fleet []shard.Engine
	cards := map[string]string{}
	for d := range simDomains {
		for _, c := range []struct {
			card  string
			count int
		}{{"a100s", 2}, {"l4", 9}, {"t4", 12}} {
			for i := range c.count {
				id := fmt.Sprintf("%d-%s-%02d", d, c.card, i)
				cards[id] = c.card
				x := simEngineFigures.Cards[c.card]
				fleet = append(fleet, shard.Engine{ID: id, Domain: fmt.Sprint("d", d), Memory: x.Memory, StepFactor: x.Pace})
			}
		}
	}
	plan, _ := shard.Plan(shard.Model{Layers: 80, LayerMB: 1750, TokenMB: 0.0041}, fleet, false)
	var out []server.Entry
	for _, e := range fleet {
		r := plan[e.ID]
		out = append(out, server.Entry{ID: e.ID, Service: "s", Address: e.ID + ":1", Domain: e.Domain, Slots: 192, Card: cards[e.ID], From: r.From, To: r.To})
	}
	return out
}

func newSim(t *testing.T, told bool) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewSource(1)), engines: map[string]*simEngine{}, streams: map[string]*simStream{},
		others: map[string][2]int64{}, told: told,
	}
	var all []server.Change
	for _, e := range simLayout() {
		s.engines[e.Address] = &simEngine{entry: e, card: simEngineFigures.Cards[e.Card]}
		all = append(all, server.Change{ID: e.ID, Entry: e})
	}
	for i := range simProcesses {
		p := &simProcess{table: server.NewTable(server.Config{Log: zerolog.Nop(), Lapse: time.Second})}
		p.table.Apply(all, true, 0)
		budget := retry.New(retry.Config{Share: 0.14, Burst: 10, Start: 10})
		p.relay = relay.New(relay.Config{
			Servers: p.table, Domain: fmt.Sprint("d", i%simDomains), Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return budget },
			Send: s.send, Report: s.report, Repath: s.repath, Alert: s.alert,
			Others: func(id string) (int, int64) {
				s.mu.Lock()
				defer s.mu.Unlock()
				x := s.others[id]
				return int(x[0]), x[1]
			},
		})
		s.processes = append(s.processes, p)
	}
	return s
}

// beat tells the work of all processes, as heartbeats do.
func (s *sim) beat() {
	sum := map[string][2]int64{}
	for _, p := range s.processes {
		for _, x := range p.table.All() {
			sum[x.ID()] = [2]int64{sum[x.ID()][0] + int64(x.Inflight()), sum[x.ID()][1] + x.Claimed()}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = sum
}

func (s *sim) alert(x *server.Server) {
	if !s.told {
		return
	}
	address := x.Address()
	time.AfterFunc(3*time.Millisecond, func() {
		for _, p := range s.processes {
			p.relay.Told(p.table.At(address))
		}
	})
}

// lacking returns the first engine of a path that is dead. It needs the lock.
func (s *sim) lacking(path []relay.Hop) string {
	for _, h := range path {
		if s.engines[h.Address].dead {
			return h.Address
		}
	}
	return ""
}

// read gives an engine tokens to read and returns when it is done with them. It
// needs the lock.
func (s *sim) read(h relay.Hop, tokens int, from time.Time) time.Time {
	e := s.engines[h.Address]
	took := time.Duration(float64(tokens) / simEngineFigures.ReadRate * e.card.Read * float64(h.To-h.From) / 80 * float64(time.Second))
	if e.busy.Before(from) {
		e.busy = from
	}
	e.busy = e.busy.Add(took)
	return e.busy
}

func (s *sim) send(ctx context.Context, rq *relay.Request, a relay.Attempt) (*relay.Answer, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.lacking(a.Path); at != "" {
		ans := refusedAnswer()
		ans.Culprit = at
		return ans, nil
	}
	x := &simStream{sim: s, id: rq.ID, ctx: ctx, path: a.Path, ready: time.Now()}
	if a.LastEvent != "" {
		if _, err := fmt.Sscan(a.LastEvent, &x.sent); err != nil {
			return nil, err
		}
		x.sent *= 2
	}
	for _, h := range a.Path {
		s.engines[h.Address].active++
		x.ready = s.read(h, simPrompt+x.sent, x.ready)
	}
	s.streams[rq.ID] = x
	ans := answer(http.StatusOK, "")
	ans.Body = x
	return ans, nil
}

func (s *sim) report(ctx context.Context, address string) (relay.Report, error) {
	s.mu.Lock()
	dead := s.engines[address].dead
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return relay.Report{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return relay.Report{}, nil
}

func (s *sim) repath(_ context.Context, _, id string, path []relay.Hop) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.streams[id]
	if x == nil {
		return errors.New("no such request")
	}
	if at := s.lacking(path); at != "" {
		return &relay.MissingPart{Address: at}
	}
	old := map[relay.Hop]bool{}
	for _, h := range x.path {
		old[h] = true
		s.engines[h.Address].active--
	}
	x.ready = time.Now()
	for _, h := range path {
		s.engines[h.Address].active++
		if !old[h] {
			x.ready = s.read(h, simPrompt+x.sent, x.ready)
		}
	}
	x.path = path
	return nil
}

// next returns the time until the next event; false while an engine is dead.
func (x *simStream) next() (time.Duration, bool) {
	x.sim.mu.Lock()
	defer x.sim.mu.Unlock()
	if x.sim.lacking(x.path) != "" {
		return 0, false
	}
	var token time.Duration
	for _, h := range x.path {
		e := x.sim.engines[h.Address]
		f := simEngineFigures
		step := f.Step + time.Duration(e.active)*(f.PerRequest+f.PerContext*9/10) // 900 tokens of context each
		token += time.Duration(float64(step)*e.card.Pace*float64(h.To-h.From)/80) + 150*time.Microsecond
	}
	return max(time.Until(x.ready), 0) + 2*token, true
}

func (x *simStream) Read(b []byte) (int, error) {
	if x.sent >= simTokens {
		return 0, io.EOF
	}
	const look = 5 * time.Millisecond // for a new path
	for {
		wait, ok := x.next()
		if !ok {
			wait = look
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

// call is one caller. What it accepts is the users': the first event within 500 ms
// and pauses of 250 ms.
func (s *sim) call(p *simProcess, id string) {
	rq := request(config.Stream, 2)
	rq.ID, rq.Prompt, rq.Hint, rq.Service.Engine = id, simPrompt, simTokens, simEngineFigures
	begun := time.Now()
	last, slow := begun, false
	var body []byte
	err := p.relay.Serve(context.Background(), rq, relay.Sink{
		Start: func(int, http.Header, int64) {},
		Write: func(b []byte) error {
			now := time.Now()
			limit := 250 * time.Millisecond
			if len(body) == 0 {
				limit = 500 * time.Millisecond
			}
			slow = slow || now.Sub(last) > limit
			last = now
			body = append(body, b...)
			return nil
		},
		Flush: func() error { return nil },
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	switch {
	case err != nil:
		s.lost++
		s.t.Logf("lost %s after %v: %v", id, time.Since(begun), err)
	case slow:
		s.late++
	default:
		s.good++
		assert.Check(s.t, string(body) == events(1, simTokens/2), "a whole answer in order")
	}
}

// crash kills engines of one failure domain at once.
func (s *sim) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*simEngine
	for _, x := range simLayout() {
		if e := s.engines[x.Address]; e.entry.Domain == "d0" && e.entry.From > 0 {
			all = append(all, e)
		}
	}
	rand.New(rand.NewSource(2)).Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, e := range all[:simDead] {
		e.dead = true
	}
}

func (s *sim) play() {
	begun := time.Now()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				s.beat()
			}
		}
	})
	time.AfterFunc(simCrash, s.crash)
	var callers sync.WaitGroup
	for n := 0; time.Since(begun) < simEnd; n++ {
		p := s.processes[s.random.Intn(len(s.processes))]
		callers.Go(func() { s.call(p, fmt.Sprint("r", n)) })
		time.Sleep(time.Duration(s.random.ExpFloat64() / simRate * float64(time.Second)))
	}
	callers.Wait()
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
}

// TestCrashUnderLoad plays the crash of four engines of one failure domain under
// the users' load, with the real path search, detours, repeats and alerts. It
// guards against streams that end with their engines, and against a crash that
// callers notice. The version without alerts between processes is played for
// comparison and printed.
func TestCrashUnderLoad(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newSim(t, told)
			s.play()
			t.Logf("alerts %v: %d streams, %d in time, %d late, %d lost", told, s.asked, s.good, s.late, s.lost)
			if told {
				assert.Equal(t, s.lost, 0)
				assert.Assert(t, s.good*10 >= s.asked*9, "fewer than nine in ten in time")
			}
		})
	}
}
