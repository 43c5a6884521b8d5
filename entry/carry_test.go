package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/spec"
)

// benchEngine answers each job with the number of tokens that the prompt
// names, one frame a write, as an engine does.
func benchEngine(flush bool, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var j engine.Job
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &j) != nil {
			return
		}
		_, rest, _ := strings.Cut(j.Prompt, "words=")
		n, _ := strconv.Atoi(strings.TrimSpace(rest))
		rc := http.NewResponseController(w)
		var b []byte
		for p := range n {
			b = fmt.Appendf(b[:0], `{"tag":%d,"attempt":%d,"position":%d,"token":"flicker ","ranges":[[0,8],[8,16],[16,24]]}`+"\n", j.Tag, j.Attempt, p)
			if _, err := w.Write(b); err != nil {
				return
			}
			if flush {
				_ = rc.Flush()
			}
			time.Sleep(pause)
		}
		stop := engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: n, Stop: "end"}
		for _, s := range j.Route {
			stop.Loads = append(stop.Loads, benchLoad(s.Address, s.First))
		}
		_ = json.NewEncoder(w).Encode(stop)
	}
}

func benchLoad(address string, first int) engine.Load {
	return engine.Load{Address: address, Boot: "1", Kind: "a", Model: "lights", Version: "1", First: first, Last: first + 8, Slots: 64, Ready: true}
}

// benchHandler returns an entry process whose stages are at the address.
func benchHandler(tb testing.TB, hc *http.Client, address string) *Handler {
	tb.Helper()
	docs, err := examples.Documents()
	assert.NilError(tb, err)
	tree, err := spec.NewTree(docs)
	assert.NilError(tb, err)
	st := change.NewStore(change.StoreConfig{Table: fakes.NewTable().Client()})
	assert.NilError(tb, st.Apply(1, tree))
	table := fleet.New(fleet.Config{Domain: "patan"})
	// 16 servers of each range. All first stages are at the address that is
	// called; a fragment makes their addresses differ.
	for i := range 48 {
		name := fmt.Sprintf("s%d", i)
		a := name
		if i%3 == 0 {
			a = address
		}
		table.MergeList(append(states(table), fleet.State{Name: name, Address: a + strings.Repeat("#", i/3), Domain: "patan", Service: "assistant"}))
		table.MergeReport(name, StateOf(benchLoad(a, i%3*8)))
	}
	return New(Config{Store: st, Fleet: table, Engines: engine.New(engine.Config{Client: hc}), Domain: "patan", Log: zerolog.Nop()})
}

func states(t *fleet.Table) []fleet.State { return t.All() }

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"words=%d"}]}`, tokens)
}

// discard is a response writer that counts what it drops.
type discard struct {
	header http.Header
	n      int
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { d.n += len(b); return len(b), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// BenchmarkRouter measures the router's own cost without sockets: reading
// frames, accepting tokens and writing events. The difference between long
// and short answers is the cost per token; the short answer is nearly the
// cost per request.
func BenchmarkRouter(b *testing.B) {
	for _, tokens := range []int{1, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			// The recorded frames are replayed, so that the stand-in costs little.
			h := benchHandler(b, &http.Client{Transport: &recording{}}, "engine")
			body := chatBody(tokens)
			b.ReportAllocs()
			for b.Loop() {
				rq := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body))
				rq.Header.Set("Authorization", "Bearer demo-key")
				w := &discard{header: http.Header{}}
				h.engine.ServeHTTP(w, rq)
				if w.n < tokens*20 {
					b.Fatalf("answer of %d bytes", w.n)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

// recording answers jobs with frames that were encoded once. The tag and the
// stop frame are those of the job.
type recording struct{ frames []byte }

func (p *recording) RoundTrip(rq *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, err
	}
	var j engine.Job
	if err := json.Unmarshal(body, &j); err != nil {
		return nil, err
	}
	if p.frames == nil {
		rec := httptest.NewRecorder()
		t := j
		t.Tag = 1<<32 - 1 // ten digits
		enc, _ := json.Marshal(t)
		benchEngine(false, 0)(rec, httptest.NewRequest("POST", "/generate", bytes.NewReader(enc)))
		all := bytes.TrimSpace(rec.Body.Bytes())
		p.frames = all[:bytes.LastIndexByte(all, '\n')+1]
	}
	out := bytes.ReplaceAll(p.frames, []byte("4294967295"), strconv.AppendUint(nil, uint64(j.Tag), 10))
	stop := engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: bytes.Count(out, []byte("\n")), Stop: "end"}
	for _, s := range j.Route {
		stop.Loads = append(stop.Loads, benchLoad(s.Address, s.First))
	}
	last, _ := json.Marshal(stop)
	return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader(append(append(out, last...), '\n')))}, nil
}

// BenchmarkCarry measures the requests and tokens a second that one process
// carries over loopback sockets, beside a bare reverse proxy of the standard
// library in front of the same engine. Caller, router and engine share the
// machine in both. The processor time of the rows "direct", without anything
// between caller and engine, tells what the two of them take.
func BenchmarkCarry(b *testing.B) { carry(b, 0, 1, []int{1, 100, 1000}) }

// BenchmarkPaced is BenchmarkCarry with 20 ms between tokens and 20 streams
// for each core, so that each token is read and written by itself, as at the
// load of section 1.4. Run it with a fixed count, for example -benchtime 400x.
func BenchmarkPaced(b *testing.B) { carry(b, 20*time.Millisecond, 20, []int{100}) }

func carry(b *testing.B, pause time.Duration, streams int, lengths []int) {
	eng := httptest.NewServer(benchEngine(true, pause))
	defer eng.Close()
	target, _ := url.Parse(eng.URL)
	hc := func() *http.Client { return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}} }
	router := httptest.NewServer(benchHandler(b, hc(), target.Host).engine)
	defer router.Close()
	rp := httputil.NewSingleHostReverseProxy(target)
	rp.Transport = hc().Transport
	// The body is read first: an engine that answers before the proxy has seen
	// the end of the body makes net/http drop the connection.
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		rp.ServeHTTP(w, r)
	}))
	defer proxy.Close()
	for _, tokens := range lengths {
		job, _ := json.Marshal(engine.Job{Prompt: fmt.Sprintf("words=%d", tokens)})
		for _, c := range []struct{ name, url, body string }{
			{"direct", eng.URL + "/generate", string(job)},
			{"proxy", proxy.URL + "/generate", string(job)},
			{"router", router.URL + "/v1/chat/completions", chatBody(tokens)},
		} {
			b.Run(fmt.Sprintf("%s/tokens=%d", c.name, tokens), func(b *testing.B) {
				client := hc()
				b.ReportAllocs()
				b.SetParallelism(streams)
				cpu := cpuTime()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := fetch(client, c.url, c.body, tokens); err != nil {
							b.Error(err)
							return
						}
					}
				})
				s := b.Elapsed().Seconds()
				b.ReportMetric(float64(b.N)/s, "requests/s")
				b.ReportMetric(float64(b.N*tokens)/s, "tokens/s")
				b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N*tokens), "cpu-us/token")
			})
		}
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func fetch(c *http.Client, address, body string, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, "POST", address, strings.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("Authorization", "Bearer demo-key")
	rs, err := c.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	n, err := io.Copy(io.Discard, rs.Body)
	if err == nil && (rs.StatusCode != 200 || n < int64(tokens)*20) {
		err = fmt.Errorf("status %d, %d bytes", rs.StatusCode, n)
	}
	return err
}
