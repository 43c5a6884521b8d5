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

// countingEngine returns an engine that answers each job with as many tokens as
// the prompt asks for in words=N, with one write per frame.
func countingEngine(flush bool, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var j engine.Job
		body, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(body, &j) != nil {
			return
		}
		_, wordCount, _ := strings.Cut(j.Prompt, "words=")
		n, _ := strconv.Atoi(strings.TrimSpace(wordCount))
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
			stop.Loads = append(stop.Loads, loadReport(s.Address, s.First))
		}
		_ = json.NewEncoder(w).Encode(stop)
	}
}

// loadReport returns the load report of an idle engine whose layer range begins at
// first.
func loadReport(address string, first int) engine.LoadReport {
	return engine.LoadReport{Address: address, Boot: "1", Kind: "a", Model: "lights", Version: "1", First: first, Last: first + 8, Slots: 64, Ready: true}
}

// benchHandler returns the handler of an entry process whose first stages are all
// at the address.
func benchHandler(tb testing.TB, hc *http.Client, address string) *Handler {
	tb.Helper()
	docs, err := examples.Documents()
	assert.NilError(tb, err)
	tree, err := spec.NewTree(docs)
	assert.NilError(tb, err)
	st := change.NewStore(change.StoreConfig{Table: fakes.NewTable().Client()})
	assert.NilError(tb, st.Apply(1, tree))
	table := fleet.New(fleet.Config{Domain: "patan"})
	// 16 servers of each layer range. All first stages are at the given address;
	// a URL fragment makes their addresses differ.
	for i := range 48 {
		name := fmt.Sprintf("s%d", i)
		a := name
		if i%3 == 0 {
			a = address
		}
		table.MergeList(append(fleetStates(table), fleet.State{Name: name, Address: a + strings.Repeat("#", i/3), Domain: "patan", Service: "assistant"}))
		table.MergeReport(name, FleetState(loadReport(a, i%3*8)))
	}
	return New(Config{Store: st, Fleet: table, Engines: engine.New(engine.Config{Client: hc}), Domain: "patan", Log: zerolog.Nop()})
}

func fleetStates(t *fleet.Table) []fleet.State { return t.All() }

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"words=%d"}]}`, tokens)
}

// discardWriter is a response writer that counts the bytes that it drops.
type discardWriter struct {
	header http.Header
	n      int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { d.n += len(b); return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkRouter measures the cost of the router without sockets: reading
// frames, accepting tokens and writing events. The difference between the long
// and the short answer is the cost per token; the cost of the short answer is
// almost that of a request.
func BenchmarkRouter(b *testing.B) {
	for _, tokens := range []int{1, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			// Replayed frames keep the cost of the fake engine low.
			h := benchHandler(b, &http.Client{Transport: &replayTransport{}}, "engine")
			body := chatBody(tokens)
			b.ReportAllocs()
			for b.Loop() {
				req := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer demo-key")
				w := &discardWriter{header: http.Header{}}
				h.router.ServeHTTP(w, req)
				if w.n < tokens*20 {
					b.Fatalf("answer of %d bytes", w.n)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
		})
	}
}

// replayTransport answers jobs with frames that were encoded once. Only the tag
// and the stop frame are made for each job.
type replayTransport struct{ frames []byte }

func (p *replayTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
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
		countingEngine(false, 0)(rec, httptest.NewRequest("POST", "/generate", bytes.NewReader(enc)))
		all := bytes.TrimSpace(rec.Body.Bytes())
		p.frames = all[:bytes.LastIndexByte(all, '\n')+1]
	}
	out := bytes.ReplaceAll(p.frames, []byte("4294967295"), strconv.AppendUint(nil, uint64(j.Tag), 10))
	stop := engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Position: bytes.Count(out, []byte("\n")), Stop: "end"}
	for _, s := range j.Route {
		stop.Loads = append(stop.Loads, loadReport(s.Address, s.First))
	}
	last, _ := json.Marshal(stop)
	return &http.Response{StatusCode: 200, Body: io.NopCloser(bytes.NewReader(append(append(out, last...), '\n')))}, nil
}

// BenchmarkThroughput measures the requests and tokens per second of one process
// over loopback sockets, and of a plain reverse proxy of the standard library in
// front of the same engine. Caller, router and engine share the machine in all
// cases. The processor time of the rows "direct", which have nothing between
// caller and engine, is the share of those two.
func BenchmarkThroughput(b *testing.B) { benchmarkThroughput(b, 0, 1, []int{1, 100, 1000}) }

// BenchmarkPacedThroughput is BenchmarkThroughput with 20 ms between tokens and 20
// streams per core, so that each token is read and written on its own, as under
// the load that the process is designed for. Run it with a fixed count, for
// example -benchtime 400x.
func BenchmarkPacedThroughput(b *testing.B) {
	benchmarkThroughput(b, 20*time.Millisecond, 20, []int{100})
}

// benchmarkThroughput runs streams callers per core for each answer length. The
// engine pauses between two tokens.
func benchmarkThroughput(b *testing.B, pause time.Duration, streams int, lengths []int) {
	eng := httptest.NewServer(countingEngine(true, pause))
	defer eng.Close()
	target, _ := url.Parse(eng.URL)
	hc := func() *http.Client { return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}} }
	router := httptest.NewServer(benchHandler(b, hc(), target.Host).router)
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
				cpu := processCPUTime()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := fetchAnswer(client, c.url, c.body, tokens); err != nil {
							b.Error(err)
							return
						}
					}
				})
				s := b.Elapsed().Seconds()
				b.ReportMetric(float64(b.N)/s, "requests/s")
				b.ReportMetric(float64(b.N*tokens)/s, "tokens/s")
				b.ReportMetric(float64((processCPUTime()-cpu).Microseconds())/float64(b.N*tokens), "cpu-us/token")
			})
		}
	}
}

// processCPUTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fetchAnswer sends a request and checks that the answer has at least 20 bytes per
// token.
func fetchAnswer(c *http.Client, address, body string, tokens int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", address, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	rs, err := c.Do(req)
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
