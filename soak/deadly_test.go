package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// deadlyCrashes is the number of servers that a deadly request may crash, and deadlySettle the time
	// after the last of these crashes from which at most maxLateArrivals of it may reach a server.
	deadlyCrashes   = 3
	deadlySettle    = 3 * time.Second
	maxLateArrivals = 3
	// minSoundShare is the least rate at which sound requests are served while deadly ones come, relative
	// to the rate before.
	minSoundShare = 0.5
	// soundWindow is the time over which these rates are measured.
	soundWindow = 4 * time.Second
	// deadlyRounds is the number of rounds of faults beside deadly requests, and maxCrashWait bounds the
	// time after them in which each of these must have crashed deadlyCrashes servers.
	deadlyRounds = 6
	maxCrashWait = 10 * time.Second
	// minReturn and maxReturn bound the time after which a crashed server is back.
	minReturn = 2 * time.Second
	maxReturn = 4 * time.Second
)

// deadlyRequest is a request that crashes each server that begins to run it. Its fields but for the first
// ones are guarded by servers.mu.
type deadlyRequest struct {
	call            // without an id
	afterEvents int // events that the server writes before it crashes

	stopped bool // not sent any more
	crashes []time.Time
	late    int // arrivals later than deadlySettle after the last allowed crash
	inTouch int // of these, those from processes that had run undisturbed for deadlySettle
}

// recordArrival records that the request reached a server. r may be nil. The caller holds servers.mu.
func (d *deadlyRequest) recordArrival(r *request, now time.Time) {
	if d == nil || len(d.crashes) < deadlyCrashes || now.Sub(d.crashes[deadlyCrashes-1]) <= deadlySettle {
		return
	}
	d.late++
	if r != nil && r.sender != nil && !r.sender.excuses(now.Add(-deadlySettle), now) {
		d.inTouch++
	}
}

// crashUnder crashes a server that has written the given number of events of the answer to a deadly
// request. d may be nil.
func (v *servers) crashUnder(d *deadlyRequest, b *backend, events int) {
	if d == nil || events != d.afterEvents {
		return
	}
	if v.kill(b) {
		v.mu.Lock()
		d.crashes = append(d.crashes, time.Now())
		v.mu.Unlock()
		v.restartLater(b)
	}
	panic(http.ErrAbortHandler)
}

// restartLater starts a crashed server again, under its ID or a new one.
func (v *servers) restartLater(b *backend) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.restarts++
	name := b.id
	if v.rand.Intn(2) == 0 {
		name = fmt.Sprintf("%s-%d", b.service, v.restarts)
		time.AfterFunc(time.Second, func() { v.unregister(b) })
	}
	time.AfterFunc(minReturn+time.Duration(v.rand.Int63n(int64(maxReturn-minReturn))), func() {
		v.mu.Lock()
		ended := v.ended
		v.mu.Unlock()
		if !ended {
			v.startAt(b.address, name, b.zone, b.service)
		}
	})
}

// unregister removes the entry of a server, unless another one has its ID.
func (v *servers) unregister(b *backend) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, other := range v.byAddress {
		if other.id == b.id && !other.dead {
			return
		}
	}
	v.store.put("servers", b.id, nil)
}

// checkDeadly records a violation for each deadly request that went on reaching servers. The caller holds
// v.mu.
func (v *servers) checkDeadly() {
	for _, d := range v.deadly {
		if d.late > maxLateArrivals {
			v.addViolation("deadly request %s %q reached servers %d times later than %v after it had crashed %d, %d of them from undisturbed processes; it crashed %d",
				d.path, d.body, d.late, deadlySettle, deadlyCrashes, d.inTouch, len(d.crashes))
		}
	}
}

// checkSoundRates records a violation for each kind of sound request that is served too rarely.
func (c *callers) checkSoundRates(before, after map[string]float64) {
	for kind, rate := range before {
		if after[kind] < minSoundShare*rate {
			c.addViolation("beside deadly requests %.1f sound requests of kind %s were served per second, before them %.1f", after[kind], kind, rate)
		}
	}
}

// measureServed returns how many requests of each kind are served per second in the next soundWindow.
func (run *soakRun) measureServed() map[string]float64 {
	count := func(sign float64, rates map[string]float64) {
		run.callers.mu.Lock()
		defer run.callers.mu.Unlock()
		for kind, n := range run.callers.served {
			rates[kind] += sign * float64(n) / soundWindow.Seconds()
		}
	}
	rates := map[string]float64{}
	count(-1, rates)
	time.Sleep(soundWindow)
	count(1, rates)
	return rates
}

// sendDeadly sends a deadly request again and again, to any entry process, until it is stopped.
func (run *soakRun) sendDeadly(d *deadlyRequest, r *rand.Rand) {
	client := &http.Client{}
	for n := 0; ; n++ {
		run.servers.mu.Lock()
		stopped := d.stopped
		run.servers.mu.Unlock()
		if stopped {
			return
		}
		x := d.call
		x.id = fmt.Sprintf("%s-%03d", d.body, n)
		rs, err := run.callers.send(client, run.processes[r.Intn(len(run.processes))].callerAddress, x)
		if err == nil {
			run.callers.recordStatus(x.id, rs.StatusCode)
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
		}
		time.Sleep(time.Duration(300+r.Intn(600)) * time.Millisecond)
	}
}

// disturbProcesses injects a fault that leaves at least half of the entry processes alone: kills and planned
// restarts, an outage of the store, or a drill.
func (run *soakRun) disturbProcesses() {
	run.copies = append(run.copies, run.store.copy())
	r := run.deadlyRand
	i, away := r.Intn(len(run.processes)), time.Duration(300+r.Intn(2000))*time.Millisecond
	p, other := run.processes[i], run.processes[(i+1)%len(run.processes)]
	switch r.Intn(5) {
	case 0:
		run.runAsync(func() { run.restart(p, syscall.SIGKILL) })
		run.runAsync(func() { run.restart(other, syscall.SIGKILL) })
	case 1:
		run.runAsync(func() { run.restart(p, syscall.SIGKILL) })
	case 2:
		run.runAsync(func() { run.restart(p, syscall.SIGTERM) })
	case 3:
		run.runAsync(func() { run.store.set(storeBusy); time.Sleep(away); run.store.set(storeHealthy) })
	case 4:
		older := run.copies[max(len(run.copies)-2, 0)]
		run.runAsync(func() { run.drill(older, away, rewriteDelay/2) })
	}
}

// deadlyRequests sends requests that crash servers, beside kills, restarts, outages of the store and drills.
func (run *soakRun) deadlyRequests() {
	run.servers.start("e6", zone(0), "llm")
	run.servers.start("e7", zone(1), "llm")
	run.servers.start("d2", zone(0), "desk")
	run.servers.start("d3", zone(1), "desk")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, kind := range []string{"order", "lookup"} {
		r := rand.New(rand.NewSource(run.deadlyRand.Int63()))
		run.runAsync(func() { run.callers.probe(ctx, kind, r) })
	}
	before := run.measureServed()
	for i, d := range []*deadlyRequest{
		{call: call{path: streamPath, body: "deadly-stream", parts: promptParts("r1")}}, // sound prompts of group 1 share two of its parts
		{call: call{path: orderPath, body: "deadly-order"}},
		{call: call{path: streamPath, body: "deadly-event"}, afterEvents: 1},
		{call: call{path: lookupPath, body: "deadly-lookup"}},
	} {
		run.servers.mu.Lock()
		run.servers.deadly[d.path+d.body] = d
		run.servers.mu.Unlock()
		r := rand.New(rand.NewSource(run.deadlyRand.Int63()))
		run.runAsync(func() { time.Sleep(time.Duration(i) * time.Second); run.sendDeadly(d, r) })
	}
	for range deadlyRounds {
		time.Sleep(time.Duration(1000+run.deadlyRand.Intn(1000)) * time.Millisecond)
		run.disturbProcesses()
	}
	crashed := func(d *deadlyRequest) bool { return len(d.crashes) >= deadlyCrashes }
	for end := time.Now().Add(maxCrashWait); time.Now().Before(end) && !run.servers.allDeadly(crashed); {
		time.Sleep(50 * time.Millisecond)
	}
	run.servers.stopDeadly(func(d *deadlyRequest) bool { return !crashed(d) })
	time.Sleep(deadlySettle + maxReturn) // the servers of the last allowed crashes are back
	run.callers.checkSoundRates(before, run.measureServed())
	run.servers.stopDeadly(func(*deadlyRequest) bool { return true })
}

// allDeadly reports whether all deadly requests match.
func (v *servers) allDeadly(match func(d *deadlyRequest) bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range v.deadly {
		if !match(d) {
			return false
		}
	}
	return true
}

// stopDeadly stops the deadly requests that match.
func (v *servers) stopDeadly(match func(d *deadlyRequest) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range v.deadly {
		d.stopped = d.stopped || match(d)
	}
}

// TestDeadlyRequests guards against requests that crash one server after the other, and against sound ones
// that are refused for looking like them.
func TestDeadlyRequests(t *testing.T) {
	// Seed 1: no evidence was kept against requests without prompt parts, and none against parts that
	// sound requests share, so that they reached server after server.
	runSeeds(t, []int64{1}, (*soakRun).deadlyRequests)
}

// TestDeadlyRequestsOpenSeeds runs the seeds that have failed and are listed in KNOWN-RED.txt.
func TestDeadlyRequestsOpenSeeds(t *testing.T) {
	runSeeds(t, []int64{1796504114, 1796504126}, (*soakRun).deadlyRequests)
}

// TestDeadlyChecksFail guards against checks of deadly requests that can't fail.
func TestDeadlyChecksFail(t *testing.T) {
	now := time.Now()
	d := &deadlyRequest{call: call{path: orderPath, body: "deadly"}}
	arrivals := func(age time.Duration, n int) {
		d.crashes = []time.Time{now.Add(-time.Hour), now.Add(-time.Hour), now.Add(-age)}
		for range n {
			d.recordArrival(&request{sender: &process{}}, now)
		}
	}
	violations := func() []string {
		v := newServers(t, nil)
		v.deadly["x"] = d
		v.checkDeadly()
		return v.violations
	}
	arrivals(deadlySettle, maxLateArrivals+1)
	assert.Equal(t, len(violations()), 0)
	arrivals(deadlySettle+time.Millisecond, maxLateArrivals)
	assert.Equal(t, len(violations()), 0)
	arrivals(deadlySettle+time.Millisecond, 1)
	checkViolation(t, violations(), "reached servers 4 times")

	c := &callers{}
	c.checkSoundRates(map[string]float64{"order": 10, "stream": 10}, map[string]float64{"order": 5, "stream": 4.9})
	checkViolation(t, c.violations, "sound requests of kind stream")
}

// TestDeadlyRequestCrashesServers guards against deadly requests without effect: the server must crash and
// come back as a new incarnation.
func TestDeadlyRequestCrashesServers(t *testing.T) {
	v := newServers(t, newStore(t))
	b := v.start("a", "east", "desk")
	v.deadly[orderPath+"deadly"] = &deadlyRequest{}
	rq, err := http.NewRequest("POST", "http://"+b.address+orderPath, strings.NewReader("deadly"))
	assert.NilError(t, err)
	rq.Header.Set("X-Cranberrybay-Target-Instance", b.id)
	_, err = http.DefaultClient.Do(rq)
	assert.Assert(t, err != nil)
	for end := time.Now().Add(maxReturn + timingSlack); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		v.mu.Lock()
		again := v.byAddress[b.address]
		v.mu.Unlock()
		if again != b {
			assert.Assert(t, b.dead && !again.dead && again.startedMs > b.startedMs)
			return
		}
	}
	t.Fatal("the server did not come back")
}
