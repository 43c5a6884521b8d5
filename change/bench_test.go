package change

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// quantile sorts the values and returns the q-quantile.
func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// BenchmarkInEffect measures the time from the acceptance of a publication
// until it is in effect on all processes, in real time, with table calls of 2
// ms and a latency of 1 ms between peers.
func BenchmarkInEffect(b *testing.B) {
	for _, n := range []int{8, 64} {
		for name, setup := range map[string]func(*StoreConfig){
			"announced": func(*StoreConfig) {},
			"polled":    func(c *StoreConfig) { c.Announce, c.Offer = nil, nil },
		} {
			b.Run(fmt.Sprintf("%s/processes=%d", name, n), func(b *testing.B) {
				sim := newSimulation(b.Context(), n, rand.New(rand.NewPCG(1, 1)))
				sim.setup = setup
				var acceptedAt time.Time // when the reply of the table arrived
				sim.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
					revision, err := next.Commit(ctx, b)
					if len(b.Writes) > 0 {
						acceptedAt = time.Now()
					}
					return revision, err
				}
				sim.table.SetFaults(fakes.PlatformFaults{Delay: 2 * time.Millisecond})
				sim.start()
				var all []time.Duration
				for i := 0; b.Loop(); i++ {
					_, err := sim.procs[i%n].now().pub.Publish(sim.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
					assert.NilError(b, err)
					for _, p := range sim.procs {
						for s := p.now().store; s.Version() <= uint64(i); {
							c := s.Changed()
							if s.Version() <= uint64(i) {
								<-c
							}
						}
					}
					all = append(all, time.Since(acceptedAt))
				}
				b.ReportMetric(float64(quantile(all, 0.5).Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(quantile(all, 0.99).Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// TestTableLoad logs the calls to the table in a minute of virtual time, with
// six publications and without any. It checks that without publications there
// are at most 20 reads a second, plus 10% for the random delays.
func TestTableLoad(t *testing.T) {
	for _, n := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			sim := newSimulation(ctx, n, rand.New(rand.NewPCG(1, 1)))
			sim.start()
			publish := func(i int) {
				_, err := sim.procs[i].now().pub.Publish(ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
				assert.NilError(t, err)
			}
			publish(0) // each process confirms its first version with a transaction
			time.Sleep(time.Minute)
			minute := func(busy bool) (reads, writes float64) {
				before := sim.table.Counts()
				for i := range 6 {
					if busy {
						publish(i + 1)
					}
					time.Sleep(10 * time.Second)
				}
				after := sim.table.Counts()
				return float64(after.Reads-before.Reads) / 60, float64(after.Writes-before.Writes) / 60
			}
			busyReads, busyWrites := minute(true)
			reads, writes := minute(false)
			t.Logf("%d processes: idle %.1f reads/s %.2f writes/s; 6 publications a minute %.1f reads/s %.2f writes/s", n, reads, writes, busyReads, busyWrites)
			assert.Assert(t, reads <= 22)
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

const manyAccounts = 10000

func manyFiles() []File {
	out := make([]File, manyAccounts)
	for i := range out {
		out[i] = files(fmt.Sprintf("acct-%d", i), 10)[0]
	}
	return out
}

// reportHeap runs f and reports by how much the heap has grown.
func reportHeap(b *testing.B, f func()) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		f()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1e6, "heap-MB")
}

// BenchmarkTree measures operations on a tree of 10,000 accounts.
func BenchmarkTree(b *testing.B) {
	var tree *spec.Tree
	b.Run("parse", func(b *testing.B) {
		all := manyFiles()
		tree = nil
		reportHeap(b, func() {
			docs, err := parseFiles(all)
			assert.NilError(b, err)
			tree, err = spec.NewTree(docs)
			assert.NilError(b, err)
		})
		runtime.KeepAlive(tree)
	})
	changed, err := parseFiles(files("acct-77", 20))
	assert.NilError(b, err)
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			_ = tree.Check(nil)
		}
	})
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			tree.With(changed, nil)
		}
	})
	st := &state{version: 1, tree: tree, lastChanges: map[string]StoredDocument{}}
	for _, d := range tree.Documents() {
		st.lastChanges[d.ID()] = StoredDocument{ID: d.ID(), Path: d.Path(), Source: "shop", Version: 1, Author: "asha@root"}
	}
	next := Record{Version: 2, Digest: tree.With(changed, nil).Digest(), Docs: []StoredDocument{{ID: "account/acct-77", Path: "acct-77.bay.toml", Text: accountText("acct-77", 20)}}}
	b.Run("record", func(b *testing.B) {
		for b.Loop() {
			_, err := st.apply(next)
			assert.NilError(b, err)
		}
	})
	full := st.fullRecord()
	b.Run("state", func(b *testing.B) {
		var n *state
		reportHeap(b, func() { n, _ = emptyState().apply(full) })
		runtime.KeepAlive(n)
	})
	b.Run("lookup", func(b *testing.B) {
		for b.Loop() {
			if tree.AccountByKey("acct-77") == nil {
				b.Fatal("no account")
			}
		}
	})
}

// BenchmarkStart measures the start of a process with 10,000 accounts, with the
// platform available, and from a peer while the platform is unavailable.
func BenchmarkStart(b *testing.B) {
	sim := newSimulation(b.Context(), 1, rand.New(rand.NewPCG(1, 1)))
	first := NewStore(StoreConfig{Table: sim.table.Client(), Objects: sim.objects.Client()})
	_, err := NewPublisher(PublisherConfig{Store: first, Table: sim.table.Client()}).Publish(b.Context(), Request{Author: "asha", Files: manyFiles()})
	assert.NilError(b, err)
	peers := StoreConfig{Peers: func() []string { return []string{"first"} }, Fetch: func(_ context.Context, _ string, after uint64) ([]Record, error) { return first.Records(after) }}
	for name, start := range map[string]func() *Store{
		"table":         func() *Store { return NewStore(StoreConfig{Table: sim.table.Client()}) },
		"snapshot":      func() *Store { return NewStore(StoreConfig{Table: sim.table.Client(), Objects: sim.objects.Client()}) },
		"platform-down": func() *Store { c := peers; c.Table = sim.table.Client(); return NewStore(c) },
	} {
		b.Run(name, func(b *testing.B) {
			sim.table.SetFaults(fakes.PlatformFaults{Down: name == "platform-down"})
			before, n := sim.table.Counts().Reads, 0
			for ; b.Loop(); n++ {
				s := start()
				assert.NilError(b, s.Start(b.Context()))
				assert.Equal(b, s.Version(), uint64(1))
			}
			b.ReportMetric(float64(sim.table.Counts().Reads-before)/float64(n), "reads/start")
		})
	}
}

// BenchmarkServe measures how long a request takes to look up its account and
// its service, in the configuration in memory and in the table over HTTP on the
// loopback interface.
func BenchmarkServe(b *testing.B) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	c := plat.NewTableClient(plat.Config{Address: strings.TrimPrefix(server.URL, "http://")})
	store := NewStore(StoreConfig{Table: c})
	all := append(manyFiles(), File{Path: "desk.bay.toml", Text: "[service]\nname = \"desk\"\nkind = \"plain\"\n"})
	_, err := NewPublisher(PublisherConfig{Store: store, Table: c}).Publish(b.Context(), Request{Author: "asha", Files: all})
	assert.NilError(b, err)
	run := func(name string, serve func(i int) error) {
		b.Run(name, func(b *testing.B) {
			before, n := platform.Table().Counts().Reads, 0
			for ; b.Loop(); n++ {
				assert.NilError(b, serve(n))
			}
			b.ReportMetric(float64(platform.Table().Counts().Reads-before)/float64(n), "reads/request")
		})
	}
	run("local", func(i int) error {
		t := store.Tree()
		a := t.AccountByKey(fmt.Sprintf("acct-%d", i%manyAccounts))
		if s := t.Service("desk"); a == nil || s == nil || !a.MayCall(s.Name()) {
			return fmt.Errorf("request %d is not allowed", i)
		}
		return nil
	})
	// The lookup in the table knows the name of the account, which makes it
	// faster than in practice: a lookup by key would need to read an index too.
	run("table", func(i int) error {
		rows, err := c.Get(b.Context(), docPrefix+fmt.Sprintf("account/acct-%d", i%manyAccounts), docPrefix+"service/desk")
		if err != nil {
			return err
		}
		for _, row := range rows {
			var d StoredDocument
			if err := decodeJSON(row.Key(), row.Value(), &d); err != nil {
				return err
			}
			if _, err := spec.Load(d.Path, []byte(d.Text)); err != nil {
				return err
			}
		}
		return nil
	})
}
