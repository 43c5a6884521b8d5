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
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
	"github.com/cranberrybay/cranberrybay/watch"
	"github.com/cranberrybay/cranberrybay/wire"
)

// cluster is a set of starting processes that share the same rows. Each of them answers
// fetches once it has joined.
type cluster struct {
	rows *fakeTable

	mu      sync.Mutex
	settled map[string]bool
	dead    map[string]bool
	fetches int
	reads   int
	writes  int

	trackers map[string]*poison.Tracker // by process
}

// tracker returns the tracker of a process, which it creates at the first call.
func (s *cluster) tracker(name string) *poison.Tracker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trackers[name] == nil {
		s.trackers[name] = poison.New(poison.Config{Log: zerolog.Nop()})
	}
	return s.trackers[name]
}

func newCluster() *cluster {
	return &cluster{rows: &fakeTable{all: map[string]table.Row{}}, settled: map[string]bool{}, dead: map[string]bool{}, trackers: map[string]*poison.Tracker{}}
}

// countingClient returns a client of the rows that counts its calls.
func (s *cluster) countingClient() *table.Client {
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

var errRefused = errors.New("connection refused")

// fetch stands in for a fetch over the network.
func (s *cluster) fetch(ctx context.Context, address string, wait bool) (snapshot, error) {
	for end := time.Now().Add(fetchTimeout); ; {
		s.mu.Lock()
		s.fetches++
		dead, ok := s.dead[address], s.settled[address]
		s.mu.Unlock()
		switch {
		case dead:
			return snapshot{}, errRefused
		case ok:
			return snapshot{tables: map[string]watch.State{"op": {Complete: 5}}}, nil
		case !wait || time.Now().After(end):
			return snapshot{}, errNotSettled
		}
		clock.Sleep(ctx, fetchPollInterval)
	}
}

// join starts a process and returns when it has joined. weight is in thousandths of a
// core; bootstrap means that the whole system starts for the first time. fetched reports whether it
// fetched the state of another process.
func (s *cluster) join(ctx context.Context, name, domain string, weight uint32, bootstrap bool) (n *registrar, fetched bool) {
	me := beat.Peer{Name: name, Address: name, Domain: domain, Weight: weight}
	x := &seal.Sealer{}
	n = newRegistrar(registrarConfig{
		Self: me, Bootstrap: bootstrap, Rows: s.countingClient(), Sealer: x, Fetch: s.fetch, OnSize: func(int) {}, HoldsLease: func() bool { return true }, Poison: s.tracker(name), Log: zerolog.Nop(),
		Members: beat.New(beat.Config{
			Self: me, Sealer: x, Log: zerolog.Nop(), Clock: func() time.Duration { return 0 },
			State: func() beat.State { return beat.State{Settled: true} }, Work: func() []beat.Work { return nil }, Send: func(string, []byte) error { return nil },
		}),
	})
	n.join(ctx)
	if n.initial == nil {
		time.Sleep(100 * time.Millisecond) // stands in for reading the tables from the platform
	}
	s.mu.Lock()
	s.settled[name] = true
	s.mu.Unlock()
	return n, n.initial != nil
}

// joinAll starts processes at the same moment and returns how many of them had to read
// the tables from the platform.
func (s *cluster) joinAll(t *testing.T, processes, domains int, bootstrap bool) (tableReaders int) {
	t.Helper()
	var wg sync.WaitGroup
	var count atomic.Int32
	for i := range processes {
		weight := uint32(192)
		if i < 2*domains {
			weight = 800
		}
		wg.Go(func() {
			if _, fetched := s.join(t.Context(), fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%domains), weight, bootstrap); !fetched {
				count.Add(1)
			}
		})
	}
	wg.Wait()
	return int(count.Load())
}

// withCluster runs a test with a fake clock.
func withCluster(t *testing.T, f func(t *testing.T, s *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		f(t, newCluster())
	})
}

// When all processes start, only one of each failure domain may read the whole tables.
// When all did, 295 processes made 2,100 calls to the platform.
func TestBootstrapLoad(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		begun := time.Now()
		tableReaders := s.joinAll(t, 60, 3, true)
		assert.Assert(t, tableReaders <= 3, "%d processes read the tables", tableReaders)
		assert.Assert(t, s.reads <= 60+10, "%d reads", s.reads)
		assert.Assert(t, s.writes <= 20, "%d writes", s.writes)
		assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
	})
}

// After all processes were killed, the rows name hubs that are starting themselves. The
// processes must not wait for each other.
func TestStartAfterAllWereKilled(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		s.joinAll(t, 60, 3, true)
		s.settled = map[string]bool{}
		s.reads = 0
		begun := time.Now()
		tableReaders := s.joinAll(t, 60, 3, false)
		assert.Assert(t, tableReaders <= 3, "%d processes read the tables", tableReaders)
		assert.Equal(t, s.reads, 60)
		assert.Assert(t, time.Since(begun) < time.Second, "%v", time.Since(begun))
	})
}

// A process whose hub is gone must fetch the state from another hub, and replace the gone
// hub in the row of its failure domain.
func TestStartWithoutHub(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		s.joinAll(t, 6, 2, true)
		s.mu.Lock()
		s.dead["n00"], s.dead["n02"] = true, true
		s.mu.Unlock()
		_, fetched := s.join(t.Context(), "late", "d0", 192, false)
		assert.Assert(t, fetched, "the hub of the other failure domain has the state")
		b, err := newRegistrar(registrarConfig{Rows: s.countingClient(), Sealer: &seal.Sealer{}, Poison: s.tracker("reader"), Log: zerolog.Nop()}).readRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, b.hubs["d0"].Name, "late")
	})
}

// A process that starts during an outage of the platform must retry until it ends, without
// flooding the platform with reads.
func TestStartDuringOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		s.joinAll(t, 4, 2, true)
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

// An old key is replaced once, also if two processes try to replace it at the same time.
func TestKeyIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		a, _ := s.join(t.Context(), "a", "d", 800, true)
		b, _ := s.join(t.Context(), "b", "d", 800, false)
		time.Sleep(sealKeyLifetime + time.Hour)
		var wg sync.WaitGroup
		for _, n := range []*registrar{a, b} {
			wg.Go(func() {
				err := n.update(t.Context())
				assert.Check(t, err == nil || errors.Is(err, table.ErrConflict), "%v", err)
			})
		}
		wg.Wait()
		x, err := a.readRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, x.key.Number, uint32(2))
		assert.Equal(t, a.cfg.Sealer.Newest(), uint32(2))
	})
}

// startHub starts the hub "a" of the failure domain "d" and returns when it has been the hub for a while.
func (s *cluster) startHub(ctx context.Context) *registrar {
	a, _ := s.join(ctx, "a", "d", 800, true)
	go a.maintain(ctx)
	time.Sleep(10 * time.Second)
	return a
}

// spoiledRowsBound is the time within which processes find each other again after another writer has spoiled the rows
// of the hubs and of the key.
const spoiledRowsBound = 5500 * time.Millisecond

// Guards against processes that form a system of their own for a minute: another writer has spoiled the rows by which
// a process that starts finds the others. Requests that crash servers were refused by one part only.
func TestSpoiledRowsAreWrittenAgain(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := s.startHub(ctx)
		for _, key := range []string{hubRowPrefix + "d", sealKeyRow} {
			_, err := s.rows.client().Commit(ctx, *new(table.Batch).Put(key, []byte("odd")).Expect(key, revisionOf(t, s, key)))
			assert.NilError(t, err)
		}
		b, _ := s.join(ctx, "b", "e", 200, false)
		go b.maintain(ctx)
		time.Sleep(spoiledRowsBound)
		for _, n := range []*registrar{a, b} {
			var names []string
			for _, p := range n.cfg.Members.Peers() {
				names = append(names, p.Name)
			}
			assert.Equal(t, len(names), 2, "%s knows %v", n.cfg.Self.Name, names)
		}
		assert.Equal(t, a.cfg.Sealer.Newest(), b.cfg.Sealer.Newest())
	})
}

// Guards against pollers that read the rows again and again, also while the platform is down.
func TestRowsAreReadByPollers(t *testing.T) {
	for _, down := range []bool{false, true} {
		withCluster(t, func(t *testing.T, s *cluster) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s.startHub(ctx)
			s.rows.mu.Lock()
			s.rows.down = down
			s.rows.mu.Unlock()
			s.mu.Lock()
			reads, writes := s.reads, s.writes
			s.mu.Unlock()
			time.Sleep(time.Minute)
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Assert(t, s.reads-reads <= int(time.Minute/pollerRowsInterval), "%d reads in a minute, platform down: %t", s.reads-reads, down)
			assert.Equal(t, s.writes, writes)
		})
	}
}

// Guards against a hub that is gone and counts as alive each time its row is read.
func TestRowOfASilentHubRevivesNobody(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.join(ctx, "b", "e", 200, true) // sends nothing
		a := s.startHub(ctx)
		go a.cfg.Members.Run(ctx)
		time.Sleep(10 * time.Second)
		for range 10 {
			time.Sleep(pollerRowsInterval / 3)
			assert.Equal(t, len(a.cfg.Members.Peers()), 1, "a hub that never sent anything counts as alive")
		}
	})
}

// revisionOf returns the revision of a row.
func revisionOf(t *testing.T, s *cluster, key string) uint64 {
	t.Helper()
	rows, err := s.rows.client().Get(t.Context(), key)
	assert.NilError(t, err)
	return rows[0].Revision()
}

// knownFollower returns a follower of a table in memory that is read once.
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

// A process must neither send its state to a process with another key nor accept one from
// it, and must not count a fetched state as newer than it is.
func TestFetch(t *testing.T) {
	ctx := t.Context()
	key := seal.NewKey(1)
	newFetcher := func(k seal.Key, name string) *stateFetcher {
		x := &seal.Sealer{}
		assert.NilError(t, x.AddKey(k))
		me := beat.Peer{Name: name, Domain: "d", Address: name}
		followers := map[string]*watch.Follower{
			"op": knownFollower(ctx, "op", watch.Row{Key: "config", Value: []byte("version 3"), Revision: 5}), "servers": knownFollower(ctx, "servers"),
		}
		return &stateFetcher{
			self: me, sealer: x, tables: []string{"op", "servers"}, log: zerolog.Nop(), follower: func(name string) *watch.Follower { return followers[name] },
			members: beat.New(beat.Config{Self: me, Sealer: x, Log: zerolog.Nop()}), poison: quarantineOf("deadly"), pacer: namedRate(limitedServer, 3), intake: leavingTracker(leavingServer),
		}
	}
	a, b, otherKey := newFetcher(key, "a"), newFetcher(key, "b"), newFetcher(seal.NewKey(1), "c")
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
	late := poison.New(poison.Config{Log: zerolog.Nop()})
	late.Merge(s.suspects)
	checkQuarantined(t, late, "deadly", 9*time.Minute)
	assert.Equal(t, len(s.rates), 1)
	assert.Equal(t, s.rates[0].Server, uint64(limitedServer))
	assert.Equal(t, s.rates[0].Rate, 3.0)
	assert.Equal(t, len(s.leavers), 1)
	assert.Equal(t, s.leavers[0].Server, uint64(leavingServer))

	_, err = otherKey.fetch(ctx, ln.Addr().String(), true)
	assert.Assert(t, err != nil)
	ln2, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln2.Close()) }()
	go otherKey.serve(ln2)
	_, err = b.fetch(ctx, ln2.Addr().String(), true)
	assert.Assert(t, err != nil)
}

// A fetch must fail in time if the answer never ends, is too long, or never arrives.
func TestFetchIsBounded(t *testing.T) {
	x := &seal.Sealer{}
	assert.NilError(t, x.AddKey(seal.NewKey(1)))
	f := &stateFetcher{sealer: x, log: zerolog.Nop()}
	for name, serve := range map[string]func(c net.Conn){
		"endless": func(c net.Conn) {
			for b := make([]byte, 64<<10); ; {
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		},
		"long": func(c net.Conn) {
			e, err := x.Wrap(seal.State, &wire.State{Snapshot: make([]byte, maxSnapshotBytes)})
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

const limitedServer = 77 // hash of an incarnation

// namedRate returns a pacer that knows the rate of a server.
func namedRate(server uint64, rate float64) *pacer.Pacer {
	p := pacer.New(pacer.Config{Log: zerolog.Nop()})
	p.Observe(pacer.Statement{Server: server, Named: true, Rate: rate, SentAt: pacer.Now()})
	return p
}

const leavingServer = 78 // hash of an incarnation

// leavingTracker returns a tracker that heard a server say that it leaves.
func leavingTracker(server uint64) *intake.Tracker {
	t := intake.New(intake.Config{Log: zerolog.Nop()})
	t.Observe(intake.Statement{Server: server, Said: intake.Said{Leaving: true}})
	return t
}
