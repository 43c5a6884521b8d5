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

// quantile returns the value below which a share of the sorted values lies.
func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// BenchmarkInEffect measures the time from acceptance to effect on the last
// process, in real time, with table calls of 2 ms and peers 1 ms apart.
func BenchmarkInEffect(b *testing.B) {
	for _, n := range []int{8, 64} {
		for name, setup := range map[string]func(*StoreConfig){
			"announced": func(*StoreConfig) {},
			"polled":    func(c *StoreConfig) { c.Announce, c.Offer = nil, nil },
		} {
			b.Run(fmt.Sprintf("%s/processes=%d", name, n), func(b *testing.B) {
				w := newWorld(b.Context(), n, rand.New(rand.NewPCG(1, 1)))
				w.setup = setup
				var at time.Time // when the reply of the table arrived
				w.commit = func(next *table.Client, ctx context.Context, b table.Batch) (uint64, error) {
					revision, err := next.Commit(ctx, b)
					if len(b.Writes) > 0 {
						at = time.Now()
					}
					return revision, err
				}
				w.table.SetFaults(fakes.PlatformFaults{Delay: 2 * time.Millisecond})
				w.start()
				var all []time.Duration
				for i := 0; b.Loop(); i++ {
					_, err := w.procs[i%n].now().pub.Publish(w.ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
					assert.NilError(b, err)
					for _, p := range w.procs {
						for s := p.now().store; s.Version() <= uint64(i); {
							c := s.Changed()
							if s.Version() <= uint64(i) {
								<-c
							}
						}
					}
					all = append(all, time.Since(at))
				}
				b.ReportMetric(float64(quantile(all, 0.5).Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(quantile(all, 0.99).Microseconds())/1000, "p99-ms")
			})
		}
	}
}

// TestTableLoad prints the calls to the table in a minute of virtual time,
// idle and with six publications, and guards against more than 20 reads a
// second (and a tenth for chance) at rest.
func TestTableLoad(t *testing.T) {
	for _, n := range []int{8, 32, 128} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := newWorld(ctx, n, rand.New(rand.NewPCG(1, 1)))
			w.start()
			publish := func(i int) {
				_, err := w.procs[i].now().pub.Publish(ctx, Request{Author: "asha", Base: uint64(i), Files: files("hotel", i+1)})
				assert.NilError(t, err)
			}
			publish(0) // each process confirms its first version by one transaction
			time.Sleep(time.Minute)
			minute := func(busy bool) (reads, writes float64) {
				before := w.table.Counts()
				for i := range 6 {
					if busy {
						publish(i + 1)
					}
					time.Sleep(10 * time.Second)
				}
				after := w.table.Counts()
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

// heap runs f and reports the memory of what one run leaves.
func heap(b *testing.B, f func()) {
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

// BenchmarkTree measures a tree of 10,000 accounts.
func BenchmarkTree(b *testing.B) {
	var tree *spec.Tree
	b.Run("parse", func(b *testing.B) {
		all := manyFiles()
		tree = nil
		heap(b, func() {
			docs, err := parse(all)
			assert.NilError(b, err)
			tree, err = spec.NewTree(docs)
			assert.NilError(b, err)
		})
		runtime.KeepAlive(tree)
	})
	changed, err := parse(files("acct-77", 20))
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
	st := &state{version: 1, tree: tree, origins: map[string]Doc{}}
	for _, d := range tree.Documents() {
		st.origins[d.ID()] = Doc{ID: d.ID(), Path: d.Path(), Source: "shop", Version: 1, Author: "asha@root"}
	}
	next := Record{Version: 2, Digest: tree.With(changed, nil).Digest(), Docs: []Doc{{ID: "account/acct-77", Path: "acct-77.bay.toml", Text: accountText("acct-77", 20)}}}
	b.Run("record", func(b *testing.B) {
		for b.Loop() {
			_, err := st.next(next)
			assert.NilError(b, err)
		}
	})
	full := st.full()
	b.Run("state", func(b *testing.B) {
		var n *state
		heap(b, func() { n, _ = emptyState().next(full) })
		runtime.KeepAlive(n)
	})
	b.Run("lookup", func(b *testing.B) {
		for b.Loop() {
			if tree.AccountOf("acct-77") == nil {
				b.Fatal("no account")
			}
		}
	})
}

// BenchmarkStart measures the start of a process with 10,000 accounts, with
// the platform up, and from a peer while the platform is down.
func BenchmarkStart(b *testing.B) {
	w := newWorld(b.Context(), 1, rand.New(rand.NewPCG(1, 1)))
	first := NewStore(StoreConfig{Table: w.table.Client(), Objects: w.objects.Client()})
	_, err := NewPublisher(PublisherConfig{Store: first, Table: w.table.Client()}).Publish(b.Context(), Request{Author: "asha", Files: manyFiles()})
	assert.NilError(b, err)
	peers := StoreConfig{Peers: func() []string { return []string{"first"} }, Fetch: func(_ context.Context, _ string, after uint64) ([]Record, error) { return first.Records(after) }}
	for name, start := range map[string]func() *Store{
		"table":         func() *Store { return NewStore(StoreConfig{Table: w.table.Client()}) },
		"snapshot":      func() *Store { return NewStore(StoreConfig{Table: w.table.Client(), Objects: w.objects.Client()}) },
		"platform-down": func() *Store { c := peers; c.Table = w.table.Client(); return NewStore(c) },
	} {
		b.Run(name, func(b *testing.B) {
			w.table.SetFaults(fakes.PlatformFaults{Down: name == "platform-down"})
			before, n := w.table.Counts().Reads, 0
			for ; b.Loop(); n++ {
				s := start()
				assert.NilError(b, s.Start(b.Context()))
				assert.Equal(b, s.Version(), uint64(1))
			}
			b.ReportMetric(float64(w.table.Counts().Reads-before)/float64(n), "reads/start")
		})
	}
}

// BenchmarkServe compares what a request needs from the configuration (the
// account of its key, its service) from the local committed copy and from the
// table, over HTTP on the loopback interface.
func BenchmarkServe(b *testing.B) {
	platform := fakes.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	c := plat.Table(plat.Config{Address: strings.TrimPrefix(server.URL, "http://")})
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
		a := t.AccountOf(fmt.Sprintf("acct-%d", i%manyAccounts))
		if s := t.Service("desk"); a == nil || s == nil || !a.May(s.Name()) {
			return fmt.Errorf("request %d is not allowed", i)
		}
		return nil
	})
	// The reader knows the name of the account, which favours the table: a key
	// alone would need one more read of an index.
	run("table", func(i int) error {
		rows, err := c.Get(b.Context(), docPrefix+fmt.Sprintf("account/acct-%d", i%manyAccounts), docPrefix+"service/desk")
		if err != nil {
			return err
		}
		for _, row := range rows {
			var d Doc
			if err := decode(row.Key(), row.Value(), &d); err != nil {
				return err
			}
			if _, err := spec.Load(d.Path, []byte(d.Text)); err != nil {
				return err
			}
		}
		return nil
	})
}
