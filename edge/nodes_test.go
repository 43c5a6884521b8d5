package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// starting is a set of processes that join over the same rows. Each answers fetches
// once it has joined.
type starting struct {
	rows *rows

	mu      sync.Mutex
	settled map[string]bool
	dead    map[string]bool
	fetches int
	reads   int
	writes  int
}

func newStarting() *starting {
	return &starting{rows: &rows{all: map[string]table.Row{}}, settled: map[string]bool{}, dead: map[string]bool{}}
}

// counted returns the rows as a client whose calls are counted.
func (s *starting) counted() *table.Client {
	c := s.rows.client()
	return table.New(table.Config{
		Get: c.Get,
		Scan: func(context.Context, string, string, int) ([]table.Row, error) {
			s.mu.Lock()
			s.reads++
			s.mu.Unlock()
			s.rows.mu.Lock()
			defer s.rows.mu.Unlock()
			if s.rows.down {
				return nil, table.ErrUnavailable
			}
			var out []table.Row
			for _, r := range s.rows.all {
				out = append(out, r)
			}
			return out, nil
		},
		Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
			s.mu.Lock()
			s.writes++
			s.mu.Unlock()
			return c.Commit(ctx, b)
		},
	})
}

var errGone = errors.New("connection refused")

func (s *starting) fetch(ctx context.Context, address string, wait bool) (snapshot, error) {
	for end := time.Now().Add(fetchTimeout); ; {
		s.mu.Lock()
		s.fetches++
		dead, ok := s.dead[address], s.settled[address]
		s.mu.Unlock()
		switch {
		case dead:
			return snapshot{}, errGone
		case ok:
			return snapshot{tables: map[string]watch.State{"op": {Complete: 5}}}, nil
		case !wait || time.Now().After(end):
			return snapshot{}, errNotSettled
		}
		sleep(ctx, fetchTick)
	}
}

// join starts a process and returns when it has joined; fetched tells whether it has
// the state of another one.
func (s *starting) join(ctx context.Context, name, domain string, weight uint32, first bool) (n *nodes, fetched bool) {
	me := beat.Peer{Name: name, Address: name, Domain: domain, Weight: weight}
	x := &seal.Sealer{}
	n = newNodes(nodesConfig{
		Self: me, First: first, Rows: s.counted(), Sealer: x, Fetch: s.fetch, Size: func(int) {}, Holds: func() bool { return true }, Log: zerolog.Nop(),
		Ring: beat.New(beat.Config{
			Self: me, Sealer: x, Log: zerolog.Nop(), Clock: func() time.Duration { return 0 },
			State: func() beat.State { return beat.State{Settled: true} }, Work: func() []beat.Work { return nil }, Send: func(string, []byte) error { return nil },
		}),
	})
	n.join(ctx)
	if n.first == nil {
		time.Sleep(100 * time.Millisecond) // reads the tables itself
	}
	s.mu.Lock()
	s.settled[name] = true
	s.mu.Unlock()
	return n, n.first != nil
}

// all starts processes at the same moment and returns how many read the tables
// themselves.
func (s *starting) all(t *testing.T, processes, domains int, first bool) (alone int) {
	t.Helper()
	var wg sync.WaitGroup
	var count atomic.Int32
	for i := range processes {
		weight := uint32(192)
		if i < 2*domains {
			weight = 800
		}
		wg.Go(func() {
			if _, fetched := s.join(t.Context(), fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%domains), weight, first); !fetched {
				count.Add(1)
			}
		})
	}
	wg.Wait()
	return int(count.Load())
}

func bubble(t *testing.T, f func(t *testing.T, s *starting)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		f(t, newStarting())
	})
}

// Guards against processes that each read whole tables when all start: 2,100 calls on
// a calm day of 295 processes. One of each failure domain may.
func TestFirstStart(t *testing.T) {
	bubble(t, func(t *testing.T, s *starting) {
		begun := time.Now()
		alone := s.all(t, 60, 3, true)
		assert.Assert(t, alone <= 3, "%d processes read the tables", alone)
		assert.Assert(t, s.reads <= 60+10, "%d reads", s.reads)
		assert.Assert(t, s.writes <= 20, "%d writes", s.writes)
		assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
	})
}

// Guards against a start after all processes were killed that waits for processes
// which start too: the rows name those of before.
func TestStartAfterAllWereKilled(t *testing.T) {
	bubble(t, func(t *testing.T, s *starting) {
		s.all(t, 60, 3, true)
		s.settled = map[string]bool{}
		s.reads = 0
		begun := time.Now()
		alone := s.all(t, 60, 3, false)
		assert.Assert(t, alone <= 3, "%d processes read the tables", alone)
		assert.Equal(t, s.reads, 60)
		assert.Assert(t, time.Since(begun) < time.Second, "%v", time.Since(begun))
	})
}

// Guards against a process that waits for a hub which is gone, and against a failure
// domain whose row goes on naming it.
func TestStartWithoutTheHub(t *testing.T) {
	bubble(t, func(t *testing.T, s *starting) {
		s.all(t, 6, 2, true)
		s.mu.Lock()
		s.dead["n00"], s.dead["n02"] = true, true
		s.mu.Unlock()
		_, fetched := s.join(t.Context(), "late", "d0", 192, false)
		assert.Assert(t, fetched, "the hub of the other failure domain has the state")
		b, err := newNodes(nodesConfig{Rows: s.counted(), Sealer: &seal.Sealer{}, Log: zerolog.Nop()}).read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, b.hubs["d0"].Name, "late")
	})
}

// Guards against a process that gives up because the platform is away when it starts.
func TestStartInAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T, s *starting) {
		s.all(t, 4, 2, true)
		s.rows.mu.Lock()
		s.rows.down = true
		s.rows.mu.Unlock()
		time.AfterFunc(5*time.Second, func() {
			s.rows.mu.Lock()
			defer s.rows.mu.Unlock()
			s.rows.down = false
		})
		begun := time.Now()
		_, fetched := s.join(t.Context(), "late", "d1", 192, false)
		assert.Assert(t, fetched)
		assert.Assert(t, time.Since(begun) > 5*time.Second)
		assert.Assert(t, s.reads < 40, "%d reads", s.reads)
	})
}

// Guards against a key that is never replaced, or replaced by two processes at once.
func TestKeyIsReplaced(t *testing.T) {
	bubble(t, func(t *testing.T, s *starting) {
		a, _ := s.join(t.Context(), "a", "d", 800, true)
		b, _ := s.join(t.Context(), "b", "d", 800, false)
		time.Sleep(keyLife + time.Hour)
		var wg sync.WaitGroup
		for _, n := range []*nodes{a, b} {
			wg.Go(func() {
				_, err := n.update(t.Context())
				assert.Check(t, err == nil || errors.Is(err, table.ErrConflict), "%v", err)
			})
		}
		wg.Wait()
		x, err := a.read(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, x.key.Number, uint32(2))
		assert.Equal(t, a.cfg.Sealer.Newest(), uint32(2))
	})
}

// follower returns a follower of a table in memory that answers once.
func knownFollower(ctx context.Context, name string, rows ...watch.Row) *watch.Follower {
	f := watch.New(watch.Config{
		Name: name, Wait: time.Hour, Log: zerolog.Nop(),
		Read: func(context.Context) (watch.Page, error) {
			return watch.Page{Whole: true, Rows: rows, Revision: 7, Clock: time.Minute}, nil
		},
		Poll: func(ctx context.Context, _ uint64, _ time.Duration) (watch.Page, error) {
			<-ctx.Done()
			return watch.Page{}, ctx.Err()
		},
		Apply: func(watch.Page, time.Duration) {}, Confirm: func(time.Duration) {},
	})
	go f.Run(ctx)
	return f
}

// Guards against a state that is handed to a stranger, taken from one, or counted as
// newer than it is.
func TestFetch(t *testing.T) {
	ctx := t.Context()
	key := seal.NewKey(1)
	newFetcher := func(k seal.Key, name string) *fetcher {
		x := &seal.Sealer{}
		assert.NilError(t, x.AddKey(k))
		me := beat.Peer{Name: name, Domain: "d", Address: name}
		followers := map[string]*watch.Follower{
			"op": knownFollower(ctx, "op", watch.Row{Key: "config", Value: []byte("version 3"), Revision: 5}), "servers": knownFollower(ctx, "servers"),
		}
		return &fetcher{
			self: me, sealer: x, tables: []string{"op", "servers"}, log: zerolog.Nop(), follow: func(name string) *watch.Follower { return followers[name] },
			ring: beat.New(beat.Config{Self: me, Sealer: x, Log: zerolog.Nop()}),
		}
	}
	a, b, stranger := newFetcher(key, "a"), newFetcher(key, "b"), newFetcher(seal.NewKey(1), "stranger")
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	go a.serve(ln)

	before := clock.Now()
	time.Sleep(50 * time.Millisecond)
	s, err := b.fetch(ctx, ln.Addr().String(), true)
	assert.NilError(t, err)
	assert.Equal(t, string(s.tables["op"].Rows[0].Value), "version 3")
	assert.Equal(t, s.tables["op"].Complete, uint64(7))
	at := s.tables["op"].At
	assert.Assert(t, at < before+50*time.Millisecond && at > before-time.Second, "%v before %v", at, before)
	assert.DeepEqual(t, s.peers, []beat.Peer{{Name: "a", Domain: "d", Address: "a"}})

	_, err = stranger.fetch(ctx, ln.Addr().String(), true)
	assert.Assert(t, err != nil)
	ln2, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln2.Close()) }()
	go stranger.serve(ln2)
	_, err = b.fetch(ctx, ln2.Addr().String(), true)
	assert.Assert(t, err != nil)
}

// Guards against a fetch whose answer has no end, or never comes.
func TestFetchIsBounded(t *testing.T) {
	x := &seal.Sealer{}
	assert.NilError(t, x.AddKey(seal.NewKey(1)))
	f := &fetcher{sealer: x, log: zerolog.Nop()}
	for name, serve := range map[string]func(c net.Conn){
		"endless": func(c net.Conn) {
			for b := make([]byte, 64<<10); ; {
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		},
		"long": func(c net.Conn) {
			e, err := x.Wrap(seal.State, &wire.State{Snapshot: make([]byte, maxSnapshot)})
			if err == nil {
				err = f.write(c, seal.State, &wire.State{Snapshot: e.Body})
			}
			_ = err
		},
		"silent": func(c net.Conn) { time.Sleep(2 * fetchTimeout); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				if c, err := ln.Accept(); err == nil {
					serve(c)
				}
			}()
			begun := time.Now()
			_, err = f.fetch(context.Background(), ln.Addr().String(), true)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(begun) < fetchTimeout+time.Second)
		})
	}
}
