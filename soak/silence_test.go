package soak

import (
	"context"
	"math/rand"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// minSilence and maxSilence bound how long a sound server falls silent.
	minSilence = 800 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	// silentRounds is the number of rounds of TestSilentServers.
	silentRounds = 12
	// deskTimeout is the timeout of the route of orders.
	deskTimeout = 2 * time.Second
	forever     = 24 * time.Hour
)

// span is a time from begin to end.
type span struct{ begin, end time.Time }

// request is what is known of one request of a caller; its fields are guarded by servers.mu.
type request struct {
	sender  *process // that the caller sent it to; nil if it is not known
	sentAt  time.Time
	taken   []*backend // servers that accepted it, and the engines of its paths
	outcome string     // as callers count it; "" while there is none
	endedAt time.Time
	limit   time.Duration // after which the answer may end
	closing bool          // the process was stopping at the end, and closes connections
	refused bool          // the caller was told that it did not run and will not run
	ranAt   []string      // IDs of servers that began to run it
}

// recordTrouble records that a server has a fault other than silence for the given time.
func (v *servers) recordTrouble(b *backend, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b.troubles = append(b.troubles, span{time.Now(), time.Now().Add(d)})
}

// troubledBetween reports whether a server had a fault other than silence between two times. The caller
// holds v.mu.
func (b *backend) troubledBetween(from, to time.Time) bool {
	return slices.ContainsFunc(b.troubles, func(t span) bool { return !t.begin.After(to) && !t.end.Before(from) })
}

// setFailMode gives a server a fault of its answers for the given time.
func (v *servers) setFailMode(b *backend, mode string, d time.Duration) {
	v.recordTrouble(b, d)
	set := func(mode string) { v.mu.Lock(); defer v.mu.Unlock(); b.failMode = mode }
	set(mode)
	time.AfterFunc(d, func() { set("") })
}

// registerAgain writes the entry of a server again, unless it is dead.
func (v *servers) registerAgain(b *backend) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !b.dead {
		v.register(b)
	}
}

// silence makes a server accept connections and requests, but answer nothing for the given time. A server
// that has just been silent stays sound.
func (v *servers) silence(b *backend, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(b.silentUntil) > maxSilence {
		b.silentUntil = time.Now().Add(d)
	}
}

// awaitEndOfSilence blocks while a server is silent.
func (v *servers) awaitEndOfSilence(b *backend) {
	for {
		v.mu.Lock()
		left := time.Until(b.silentUntil)
		v.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// pathAddresses returns the addresses of the engines of a path.
func pathAddresses(path string) []string {
	var out []string
	for part := range strings.SplitSeq(path, ",") {
		address, _, _ := strings.Cut(part, "=")
		out = append(out, address)
	}
	return out
}

// silentEngine returns the address of the first engine of a path that is silent, or "". The caller holds
// v.mu.
func (v *servers) silentEngine(path string) string {
	for _, address := range pathAddresses(path) {
		if b := v.byAddress[address]; b != nil && time.Now().Before(b.silentUntil) {
			return address
		}
	}
	return ""
}

// recordTaken records that a server accepted a request. The caller holds v.mu.
func (v *servers) recordTaken(b *backend, id, path string) {
	r := v.requests[id]
	if r == nil {
		return // sent by a test
	}
	r.taken = append(r.taken, b)
	for _, address := range pathAddresses(path) {
		if e := v.byAddress[address]; e != nil && e != b {
			r.taken = append(r.taken, e)
		}
	}
}

// recordSent records that a request is sent to an entry process.
func (c *callers) recordSent(address, id string) {
	r := &request{sentAt: time.Now()}
	for _, p := range c.processes {
		if p.callerAddress == address {
			r.sender = p
		}
	}
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	c.servers.requests[id] = r
}

// recordEnding records how a request ended.
func (c *callers) recordEnding(kind, id, outcome string) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	r := c.servers.requests[id]
	r.outcome, r.endedAt, r.limit = outcome, time.Now(), callTimeoutMs*time.Millisecond
	if kind != "stream" {
		r.limit = deskTimeout
	}
	r.closing = r.sender != nil && r.sender.stopping()
}

// checkEndings records a violation for each answer that ended early although all servers that had the
// request were sound, or only silent, and for each connection that an undisturbed process closed without an
// answer. The caller holds v.mu.
func (v *servers) checkEndings() {
	for id, r := range v.requests {
		if r.outcome == "" || r.outcome == "served" || r.endedAt.Sub(r.sentAt) >= r.limit {
			continue
		}
		if len(r.taken) == 0 {
			// A connection may still seem to be open for a moment after its process was killed.
			if r.outcome == noAnswer && !r.closing && !r.sender.excuses(r.sentAt.Add(-timingSlack), r.endedAt) {
				v.addViolation("the connection of request %s was closed without an answer after %v by %s", id, r.endedAt.Sub(r.sentAt), r.sender.name)
			}
			continue
		}
		sound := r.sender == nil || !r.sender.excuses(r.sentAt, r.endedAt)
		var names []string
		for _, b := range r.taken {
			names = append(names, b.id)
			sound = sound && !b.troubledBetween(r.sentAt, r.endedAt)
		}
		if sound {
			v.addViolation("request %s was answered %q after %v, though servers %v that had it were sound", id, r.outcome, r.endedAt.Sub(r.sentAt), names)
		}
	}
}

// injectSilence makes up to n servers fall silent.
func (run *soakRun) injectSilence(n int) {
	for range n {
		b := run.pickServerWith(run.silenceRand, []string{"llm", "llm", "desk"}[run.silenceRand.Intn(3)])
		run.servers.silence(b, minSilence+time.Duration(run.silenceRand.Int63n(int64(maxSilence-minSilence))))
	}
}

// silences makes servers fall silent often, beside changes of the configuration, planned stops of entry
// processes and drills of the store. Twice as many callers as in other plans keep more streams on each server.
func (run *soakRun) silences() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range clientCount {
		r := rand.New(rand.NewSource(run.silenceRand.Int63()))
		run.runAsync(func() { run.callers.run(ctx, r) })
	}
	for range silentRounds {
		run.copies = append(run.copies, run.store.copy())
		p, away := run.processes[run.silenceRand.Intn(len(run.processes))], time.Duration(run.silenceRand.Intn(1000))*time.Millisecond
		switch run.silenceRand.Intn(4) {
		case 0:
			run.rotateKey()
		case 1:
			run.runAsync(func() { run.restart(p, syscall.SIGTERM) })
		case 2:
			older := run.copies[max(len(run.copies)-2, 0)]
			run.runAsync(func() { run.drill(older, away, rewriteDelay/2) })
		}
		time.Sleep(time.Duration(run.silenceRand.Intn(300)) * time.Millisecond)
		run.injectSilence(2 + run.silenceRand.Intn(2))
		time.Sleep(time.Duration(400+run.silenceRand.Intn(900)) * time.Millisecond)
	}
}

// TestSilentServers guards against answers that end because a sound server fell silent for a moment.
func TestSilentServers(t *testing.T) {
	// Seed 1: streams were cancelled because their first engine did not answer, although no other run had
	// taken over.
	runSeeds(t, []int64{1}, (*soakRun).silences)
}

// TestEndingCheckFails guards against a check of answers that ended early that can't fail.
func TestEndingCheckFails(t *testing.T) {
	now := time.Now()
	check := func(change func(r *request, b *backend)) []string {
		v := newServers(t, nil)
		b, p := &backend{id: "a"}, &process{}
		r := &request{sender: p, sentAt: now.Add(-time.Second), endedAt: now, taken: []*backend{b}, outcome: "cut", limit: deskTimeout}
		v.requests["r1"] = r
		change(r, b)
		v.checkEndings()
		return v.violations
	}
	checkViolation(t, check(func(*request, *backend) {}), `request r1 was answered "cut"`)
	checkViolation(t, check(func(_ *request, b *backend) { b.silentUntil = now }), `request r1 was answered "cut"`)
	checkViolation(t, check(func(r *request, _ *backend) { r.sender.stopAt = now.Add(-time.Second) }), `request r1 was answered "cut"`)
	checkViolation(t, check(func(_ *request, b *backend) {
		b.troubles = []span{{now.Add(-time.Hour), now.Add(-time.Minute)}, {now.Add(time.Second), now.Add(time.Minute)}}
	}), `request r1 was answered "cut"`)
	checkViolation(t, check(func(r *request, _ *backend) { r.taken, r.outcome = nil, noAnswer }), "closed without an answer")
	for name, change := range map[string]func(r *request, b *backend){
		"complete answer":        func(r *request, _ *backend) { r.outcome = "served" },
		"no server had it":       func(r *request, _ *backend) { r.taken = nil },
		"process was stopping":   func(r *request, _ *backend) { r.taken, r.outcome, r.closing = nil, noAnswer, true },
		"timeout of the route":   func(r *request, _ *backend) { r.sentAt = now.Add(-deskTimeout) },
		"crash of the server":    func(_ *request, b *backend) { b.troubles = []span{{now.Add(-time.Millisecond), now.Add(forever)}} },
		"process was killed":     func(r *request, _ *backend) { r.sender.breaks = []time.Time{now.Add(-time.Millisecond)} },
		"grace period had ended": func(r *request, _ *backend) { r.sender.stopAt = now.Add(-gracePeriod) },
	} {
		assert.Equal(t, len(check(change)), 0, name)
	}
}

// TestOwnEndIsNoticed guards against a process that ends by itself unnoticed.
func TestOwnEndIsNoticed(t *testing.T) {
	p, ended := newProcess(t, "/bin/false", t.TempDir(), 0, "east", "127.0.0.1:1"), make(chan struct{})
	p.onOwnEnd = func() { close(ended) }
	p.start(t)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the end of the process was not noticed")
	}
}
