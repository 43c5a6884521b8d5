package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// overloadTokens are the lengths of the prompt and of the answer that callers state. The engines of a copy of the
	// model have KV cache for 166,000 tokens, so that two copies have room for 44 streams. Less cache with shorter
	// prompts would be below the 54,000 tokens that package shard plans for each copy.
	overloadTokens = "7450,50"
	// overloadPhase is the time of each phase of load.
	overloadPhase = 4 * time.Second
	// refusedPause is how long callers wait after a refusal. It is shorter than they are told, so that the
	// engines stay full.
	refusedPause = 200 * time.Millisecond
	// calmBound is the time in which a stream of each priority is served after the load has gone.
	calmBound = 12 * time.Second
	// minCompared is the number of answers from which shares of refusals are compared.
	minCompared = 30
)

// overloadPaths are the paths of the streaming routes, by priority. All lead to the same service.
var overloadPaths = []string{"/first/", streamPath, "/last/"}

// overload is the load of TestOverload: callers of each route, and how their requests were answered.
type overload struct {
	run *soakRun

	mu      sync.Mutex
	phase   string
	tally   map[overloadKey]*overloadCount
	refused map[string]bool // by request ID
}

// overloadKey is a phase of the plan and a priority.
type overloadKey struct {
	phase    string
	priority int
}

// overloadCount counts the answers to streams.
type overloadCount struct{ all, refused int }

// overloadTransport sends the streams of callers on the route of a priority, and counts their answers.
type overloadTransport struct {
	http.RoundTripper
	load     *overload
	priority int
}

// RoundTrip sends a request.
func (t overloadTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rq = rq.Clone(rq.Context())
	rq.URL.Path = overloadPaths[t.priority]
	rq.Header.Set("X-Cranberrybay-Token-Usage", overloadTokens)
	phase := t.load.setPhase("")
	rs, err := t.RoundTripper.RoundTrip(rq)
	if err == nil {
		t.load.count(overloadKey{phase, t.priority}, rq.Header.Get(idHeader), rs)
	}
	return rs, err
}

// setPhase sets the phase unless its name is empty, and returns the present one.
func (o *overload) setPhase(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if name != "" {
		o.phase = name
	}
	return o.phase
}

// count counts an answer, and records a violation for a refusal that is not 503 with Retry-After.
func (o *overload) count(k overloadKey, id string, rs *http.Response) {
	refused := isPromise(rs.StatusCode)
	if refused && (rs.StatusCode != http.StatusServiceUnavailable || rs.Header.Get("Retry-After") == "") {
		o.run.callers.addViolation("stream %s was refused with %d and Retry-After %q", id, rs.StatusCode, rs.Header.Get("Retry-After"))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n := o.tally[k]
	if n == nil {
		n = &overloadCount{}
		o.tally[k] = n
	}
	n.all++
	if refused {
		n.refused++
		o.refused[id] = true
	}
}

// stream sends a stream and returns its outcome, or "" if no entry process is known.
func (o *overload) stream(client *http.Client, r *rand.Rand) string {
	c := o.run.callers
	id, address := c.next(r)
	if address == "" {
		return ""
	}
	c.stream(client, address, id)
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	return c.servers.requests[id].outcome
}

// client returns a client whose streams have a priority.
func (o *overload) client(priority int) *http.Client {
	return &http.Client{Transport: overloadTransport{RoundTripper: &http.Transport{MaxIdleConnsPerHost: 2}, load: o, priority: priority}}
}

// start starts n callers for each entry of priorities, which end with ctx.
func (o *overload) start(ctx context.Context, n int, priorities ...int) {
	for _, priority := range priorities {
		for range n {
			r := rand.New(rand.NewSource(o.run.overloadRand.Int63()))
			o.run.runAsync(func() {
				client := o.client(priority)
				defer client.CloseIdleConnections()
				for ctx.Err() == nil {
					if o.stream(client, r) != "served" {
						time.Sleep(refusedPause)
					}
				}
			})
		}
	}
}

// overloadConfig writes a configuration in which the streams compete for the engines by the priority of their route.
func (run *soakRun) overloadConfig() {
	run.configMu.Lock()
	defer run.configMu.Unlock()
	run.version++
	next := maps.Clone(run.config)
	next["version"] = run.version
	routes := append([]any{}, next["routes"].([]any)...)
	base := routes[0].(map[string]any) // of streams, with priority 1
	for priority, path := range overloadPaths {
		if path != streamPath {
			route := maps.Clone(base)
			route["name"], route["pathPrefix"], route["priority"] = fmt.Sprintf("llm%d", priority), path, priority
			routes = append(routes, route)
		}
	}
	next["routes"] = routes
	run.config = next
	run.store.put("op", "config", next)
}

// overload sends more streams than the engines have room for, with a burst of the most urgent ones and the crash of
// an engine, and checks who is refused.
func (run *soakRun) overload() {
	o := &overload{run: run, tally: map[overloadKey]*overloadCount{}, refused: map[string]bool{}, phase: "change"}
	run.overloadConfig()
	time.Sleep(2 * time.Second) // all processes have the configuration
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.start(ctx, 15, 0, 1, 2, 2)
	o.setPhase("load")
	time.Sleep(overloadPhase)
	burst, endBurst := context.WithCancel(ctx)
	defer endBurst()
	o.start(burst, 15, 0)
	o.setPhase("burst")
	time.Sleep(overloadPhase/4 + time.Duration(run.overloadRand.Int63n(int64(overloadPhase/4))))
	run.replaceServerWith(run.overloadRand, "llm", run.servers.crash)
	time.Sleep(overloadPhase / 2)
	endBurst()
	o.setPhase("after")
	time.Sleep(overloadPhase)
	cancel()
	o.setPhase("calm")
	o.checkCalm()
	o.checkShares()
	run.servers.checkRefusedStreams(o.refused)
}

// checkCalm checks that a stream of each priority is served soon after the load has gone.
func (o *overload) checkCalm() {
	end := time.Now().Add(calmBound)
	for priority := range overloadPaths {
		client, r := o.client(priority), rand.New(rand.NewSource(int64(priority)))
		outcome := ""
		for outcome != "served" && time.Now().Before(end) {
			if outcome = o.stream(client, r); outcome != "served" {
				time.Sleep(refusedPause)
			}
		}
		client.CloseIdleConnections()
		if outcome != "served" {
			o.run.t.Errorf("no stream of priority %d was served within %v after the load; last: %q", priority, calmBound, outcome)
		}
	}
}

// checkShares checks that streams were refused, and the most urgent ones no more often than the least urgent ones.
func (o *overload) checkShares() {
	o.mu.Lock()
	defer o.mu.Unlock()
	refused := 0
	for k, n := range o.tally {
		refused += n.refused
		o.run.t.Logf("%s, priority %d: %d of %d streams refused", k.phase, k.priority, n.refused, n.all)
	}
	if text := unfairShares(o.tally); text != "" {
		o.run.t.Error(text)
	}
	if refused == 0 {
		o.run.t.Error("no stream was refused, so that the plan shows nothing")
	}
}

// unfairShares returns a text if the most urgent streams were refused more often than the least urgent ones, else "".
// The share of the most urgent ones is that which they would have with as many streams in each phase as the least
// urgent ones, since most of them are sent during the burst. Phases are not compared one by one: while the machine
// does not run a process, it does not know the load of the others, and a phase has some tens of streams.
func unfairShares(tally map[overloadKey]*overloadCount) string {
	var expected float64 // refusals of the most urgent streams, if they had been as many as the least urgent ones
	var all, refused int
	for k, first := range tally {
		last := tally[overloadKey{k.phase, len(overloadPaths) - 1}]
		if k.priority != 0 || last == nil || min(first.all, last.all) < minCompared {
			continue
		}
		expected += float64(first.refused) / float64(first.all) * float64(last.all)
		all += last.all
		refused += last.refused
	}
	if expected <= float64(refused) {
		return ""
	}
	return fmt.Sprintf("%d of %d streams of the least urgent priority were refused, and %.1f would have been by the shares of the most urgent one", refused, all, expected)
}

// checkRefusedStreams records a violation for each stream that an engine had accepted although its caller was told that
// it did not run. It is stricter than checkRefused, which lets a server have a stream until its second event.
func (v *servers) checkRefusedStreams(refused map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id := range refused {
		if r := v.requests[id]; r != nil && len(r.taken) > 0 {
			v.addViolation("stream %s was answered as not run but was accepted by %s", id, r.taken[0].id)
		}
	}
}

// TestOverload guards against an overload that ends a process, refuses streams that ran, does not tell callers when to
// return, refuses urgent streams before others, or lasts longer than the load.
func TestOverload(t *testing.T) {
	runSeeds(t, []int64{1}, (*soakRun).overload)
}

// TestOverloadChecksFail guards against checks of refused streams that can't fail.
func TestOverloadChecksFail(t *testing.T) {
	answer := func(status int, retryAfter string) []string {
		o := &overload{run: &soakRun{callers: &callers{}}, tally: map[overloadKey]*overloadCount{}, refused: map[string]bool{}}
		o.count(overloadKey{"load", 0}, "r1", &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {retryAfter}}})
		return o.run.callers.violations
	}
	checkViolation(t, answer(http.StatusServiceUnavailable, ""), "stream r1 was refused with 503")
	checkViolation(t, answer(http.StatusTooManyRequests, "1"), "stream r1 was refused with 429")
	assert.Equal(t, len(answer(http.StatusServiceUnavailable, "1")), 0)
	assert.Equal(t, len(answer(http.StatusOK, "")), 0)

	shares := func(first, last overloadCount) string {
		return unfairShares(map[overloadKey]*overloadCount{
			{"burst", 0}: &first, {"burst", 2}: &last, {"calm", 2}: {all: 100},
			{"load", 0}: {all: 100, refused: 50}, {"load", 2}: {all: 40, refused: 20},
		})
	}
	assert.Equal(t, shares(overloadCount{all: 100, refused: 31}, overloadCount{all: 200, refused: 61}),
		"81 of 240 streams of the least urgent priority were refused, and 82.0 would have been by the shares of the most urgent one")
	assert.Equal(t, shares(overloadCount{all: 100, refused: 30}, overloadCount{all: 200, refused: 60}), "")
	assert.Equal(t, shares(overloadCount{all: 1000, refused: 600}, overloadCount{all: 200, refused: 120}), "") // many streams in one phase
	assert.Equal(t, shares(overloadCount{all: minCompared - 1, refused: 5}, overloadCount{all: 200}), "")

	v := newServers(t, nil)
	v.requests["r1"], v.requests["r2"] = &request{taken: []*backend{{id: "a"}}}, &request{taken: []*backend{{id: "b"}}}
	v.checkRefusedStreams(map[string]bool{"r1": true, "r3": true})
	checkViolation(t, v.violations, "stream r1 was answered as not run but was accepted by a")
}
