package soak

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// rateWindow and rateAllowance state how many requests a server that names a rate may get: in any
	// rateWindow one and a half times the rate, and rateAllowance more.
	rateWindow    = 4 * time.Second
	rateFactor    = 1.5
	rateAllowance = 5
	// rateSettle is the time from when a server names a rate to when it must be kept.
	rateSettle = 3 * time.Second
	// rewriteDelay bounds the time after a drill in which writers write again what the store lost, and
	// entryLifetime that in which it drops the entries of servers that are gone.
	rewriteDelay  = time.Second
	entryLifetime = 3 * time.Second
	// otherWrites is the number of versions that others use up in each round of faults.
	otherWrites = 50
	// drillBound is the time after a drill by which processes without other trouble are ready: a store
	// that was only away delays them no longer.
	drillBound = 5 * time.Second
)

// namedRate is the rate of requests that a server names, guarded by servers.mu.
type namedRate struct {
	perSecond float64   // 0 while the server names none
	since     time.Time // when it began to
	requests  []time.Time
}

// checkRate adds the rate of a server to an answer, and checks that it is kept. The caller holds v.mu.
func (v *servers) checkRate(b *backend, w http.ResponseWriter) {
	n := &b.rate
	if n.perSecond == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(n.perSecond, 'f', 1, 64))
	now := time.Now()
	if now.Sub(n.since) < rateSettle {
		return
	}
	n.requests = append(n.requests, now)
	for len(n.requests) > 0 && now.Sub(n.requests[0]) >= rateWindow {
		n.requests = n.requests[1:]
	}
	if allowed := int(rateFactor*n.perSecond*rateWindow.Seconds()) + rateAllowance; len(n.requests) > allowed {
		v.addViolation("%s names %.1f requests per second and got %d in %v, %d are allowed", b.id, n.perSecond, len(n.requests), rateWindow, allowed)
	}
}

// setRate makes a server name a rate, or none if it is 0.
func (v *servers) setRate(b *backend, perSecond float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b.rate = namedRate{perSecond: perSecond, since: time.Now()}
}

// endRates makes all servers name no rate.
func (v *servers) endRates() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range v.byAddress {
		b.rate = namedRate{}
	}
}

// storeCopy is the content of the store at one moment.
type storeCopy struct {
	version, oldestVersion uint64
	rows                   map[string]row
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, oldestVersion: s.oldestVersion, rows: maps.Clone(s.rows)}
}

// restore replaces the content of the store by a copy. Versions are given out again in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.oldestVersion, s.rows = c.version, c.oldestVersion, maps.Clone(c.rows)
	clear(s.firstSent)
	s.faultChanged = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// injectDrill injects a fault that was added after the seeds of the other faults were recorded: a store
// that returns from an older copy, or a server that names a rate.
func (run *soakRun) injectDrill() {
	run.copies = append(run.copies, run.store.copy())
	for range otherWrites {
		run.store.put("other", "row", 1)
	}
	switch run.drillRand.Intn(3) {
	case 0:
		older := run.copies[max(len(run.copies)-1-run.drillRand.Intn(3), 0)]
		away, delay := time.Duration(200+run.drillRand.Intn(1500))*time.Millisecond, time.Duration(run.drillRand.Int63n(int64(rewriteDelay)))
		run.runAsync(func() { run.drill(older, away, delay) })
	case 1:
		b, rate := run.pickServerWith(run.drillRand, []string{"llm", "desk"}[run.drillRand.Intn(2)]), 0.5+2.5*run.drillRand.Float64()
		run.servers.setRate(b, rate)
		if d := time.Duration(run.drillRand.Int63n(int64(12 * time.Second))); d > rateSettle {
			time.AfterFunc(d, func() { run.servers.setRate(b, 0) })
		}
	}
}

// drill takes the store away, brings it back from a copy, and lets the operator and the servers write
// again what it lost.
func (run *soakRun) drill(older storeCopy, away, delay time.Duration) {
	run.store.set(storeBusy)
	time.Sleep(away)
	run.store.restore(older)
	run.store.set(storeHealthy)
	back := time.Now()
	defer func() { run.checkReady(back) }()
	time.Sleep(delay)
	run.configMu.Lock()
	run.store.put("op", "config", run.config)
	run.configMu.Unlock()
	var gone []*backend
	run.servers.mu.Lock()
	for _, b := range run.servers.byAddress {
		switch {
		case b.dead:
			gone = append(gone, b)
		case time.Now().Before(b.silentUntil):
			time.AfterFunc(time.Until(b.silentUntil), func() { run.servers.registerAgain(b) })
		case b.drainAcked.IsZero():
			run.servers.register(b)
		default:
			b.drainAcked, b.drainVersion = run.servers.register(b)
		}
	}
	run.servers.mu.Unlock()
	time.Sleep(entryLifetime)
	for _, b := range gone {
		run.servers.unregister(b)
	}
}

// checkReady records a violation for each process that is not ready drillBound after the store came back
// from a copy, unless the process or the store had other trouble meanwhile.
func (run *soakRun) checkReady(back time.Time) {
	time.Sleep(time.Until(back.Add(drillBound)))
	client := http.Client{Timeout: time.Second}
	for _, p := range run.processes {
		answer, err := client.Get("http://" + p.readyAddress + "/-/ready")
		ready := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		p.mu.Lock()
		disturbed := p.disturbedAt.After(back.Add(-drillBound))
		p.mu.Unlock()
		run.store.mu.Lock()
		disturbed = disturbed || run.store.fault != storeHealthy || run.store.faultChanged.After(back)
		run.store.mu.Unlock()
		if !ready && !disturbed {
			run.callers.addViolation("%s is not ready %v after the store came back from an older copy", p.name, drillBound)
		}
	}
}

// TestRateCheckFails guards against a check of named rates that can't fail.
func TestRateCheckFails(t *testing.T) {
	v := newServers(t, newStore(t))
	b := v.start("a", "east", "desk")
	v.setRate(b, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	b.rate.since = time.Now().Add(-rateSettle)
	for range int(rateFactor*rateWindow.Seconds()) + rateAllowance {
		v.checkRate(b, httptest.NewRecorder())
	}
	assert.Equal(t, len(v.violations), 0)
	v.checkRate(b, httptest.NewRecorder())
	checkViolation(t, v.violations, "names 1.0 requests per second")
}
