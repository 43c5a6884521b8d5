package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wishesOff is why the soak has no servers that say in their answers that they leave or want nothing for a
// time; "" if it has.
const wishesOff = ""

const (
	leavingHeader = "Server-Leaving"
	// leavingFor is how long a server says that it leaves before it announces it in the registry.
	leavingFor = 6 * time.Second
	// pauseSettle is the time after a refusal with a time to come back from which the server may get at most
	// maxInPause requests of the process.
	pauseSettle = 500 * time.Millisecond
	maxInPause  = 2
	// wishRounds is the number of rounds of TestServerWishes.
	wishRounds = 8
)

// pause is the time for which a server wants nothing from an entry process.
type pause struct {
	span
	requests int // that arrived in it, later than pauseSettle after its begin
}

// wishes are what a server says of the requests that it wants; guarded by servers.mu.
type wishes struct {
	leaving     bool                   // all answers say so
	toldLeaving map[*process]time.Time // when an entry process first passed on such an answer
	busyUntil   time.Time              // until then processes without a pause are given one
	pauses      map[*process]*pause
	nothingTill map[*process]time.Time // until then the process is given a pause that ends then
}

// withWishes adds to all answers of a server that it leaves, if so.
func (v *servers) withWishes(b *backend, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.mu.Lock()
		if b.leaving {
			w.Header().Set(leavingHeader, "1")
		}
		v.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// recordLeaving records that an entry process passed on an answer of a server that says that it leaves.
func (c *callers) recordLeaving(id, server string) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	r := c.servers.requests[id]
	for _, b := range r.taken {
		if b.id == server && b.leaving && b.toldLeaving[r.sender].IsZero() {
			if b.toldLeaving == nil {
				b.toldLeaving = map[*process]time.Time{}
			}
			b.toldLeaving[r.sender] = time.Now()
		}
	}
}

// checkWishes checks that a request reaches neither a server that leaves, later than drainBound after its
// process had passed that on, nor too many a server that wants nothing. The caller holds v.mu.
func (v *servers) checkWishes(b *backend, id string, r *request, now time.Time) {
	if r == nil || r.sender == nil {
		return
	}
	if at := b.toldLeaving[r.sender]; !at.IsZero() && r.sentAt.Sub(at) > drainBound+timingSlack && !r.sender.excuses(at, now) {
		v.addViolation("request %s was sent %v after %s had passed on that %s leaves, and reached it", id, r.sentAt.Sub(at), r.sender.name, b.id)
	}
	p := b.pauses[r.sender]
	if p == nil || now.Before(p.begin.Add(pauseSettle)) || now.After(p.end) || r.sender.excuses(p.begin, now) || b.troubledBetween(p.begin, now) {
		return
	}
	if p.requests++; p.requests == maxInPause+1 {
		v.addViolation("%s got %d requests from %s in a pause of %v that it had asked for", b.id, p.requests, r.sender.name, p.end.Sub(p.begin))
	}
}

// refusesFor returns the seconds for which a server asks the sender of a request to send nothing; false if
// it takes the request. The caller holds v.mu.
func (v *servers) refusesFor(b *backend, r *request, now time.Time) (seconds string, refused bool) {
	if r == nil || r.sender == nil {
		return "", false
	}
	p := b.pauses[r.sender]
	if p == nil || now.After(p.end) {
		end := b.nothingTill[r.sender]
		if !now.Before(end) {
			if now.After(b.busyUntil) {
				return "", false
			}
			end = now.Add(time.Duration(1+v.rand.Intn(3)) * time.Second)
		}
		if b.pauses == nil {
			b.pauses = map[*process]*pause{}
		}
		p = &pause{span: span{now, end}}
		b.pauses[r.sender] = p
	}
	return strconv.FormatFloat(p.end.Sub(now).Seconds(), 'f', -1, 64), true
}

// injectWish makes a server say in its answers that it leaves, some seconds before it announces it, or makes
// it, or all servers of its service, refuse requests with a time to come back.
func (run *soakRun) injectWish() {
	if wishesOff != "" {
		return
	}
	service := []string{"llm", "desk"}[run.wishRand.Intn(2)]
	b := run.pickServerWith(run.wishRand, service)
	busy := []*backend{b}
	leave := false
	switch run.wishRand.Intn(4) {
	case 0, 1:
		leave = true
	case 2:
		busy = run.servers.serversOf(service)
	}
	run.servers.mu.Lock()
	if leave = leave && !b.leaving; leave {
		b.leaving = true
	} else {
		for _, b := range busy {
			b.busyUntil = time.Now().Add(2 * time.Second)
		}
	}
	run.servers.mu.Unlock()
	if leave {
		run.replacements++
		run.servers.start(fmt.Sprintf("x%d", run.replacements), b.zone, service)
		run.runAsync(func() { time.Sleep(leavingFor); run.servers.drain(b) })
	}
}

// serverWishes lets servers say what they want, beside restarts and pauses of entry processes.
func (run *soakRun) serverWishes() {
	for range wishRounds {
		run.injectWish()
		p := run.processes[run.wishRand.Intn(len(run.processes))]
		switch run.wishRand.Intn(4) {
		case 0:
			run.runAsync(func() { run.restart(p, syscall.SIGTERM) })
		case 1:
			run.runAsync(func() { p.signal(syscall.SIGSTOP); time.Sleep(time.Second); p.signal(syscall.SIGCONT) })
		}
		time.Sleep(time.Duration(1000+run.wishRand.Intn(1000)) * time.Millisecond)
	}
}

// TestServerWishes guards against requests to servers that have said in their answers that they want none.
func TestServerWishes(t *testing.T) {
	if wishesOff != "" {
		t.Skip(wishesOff)
	}
	runSeeds(t, []int64{1}, (*soakRun).serverWishes)
}

// TestWishChecksFail guards against checks of what servers want that can't fail.
func TestWishChecksFail(t *testing.T) {
	now := time.Now()
	const late = drainBound + timingSlack + time.Millisecond
	check := func(requests int, change func(b *backend, r *request)) []string {
		v, p := newServers(t, nil), &process{name: "n0"}
		b := &backend{id: "a", wishes: wishes{toldLeaving: map[*process]time.Time{}, pauses: map[*process]*pause{}}}
		r := &request{sender: p, sentAt: now}
		change(b, r)
		for range requests {
			v.checkWishes(b, "r1", r, now)
		}
		return v.violations
	}
	leaving := func(age time.Duration) func(b *backend, r *request) {
		return func(b *backend, r *request) { b.toldLeaving[r.sender] = now.Add(-age) }
	}
	paused := func(from, to time.Duration) func(b *backend, r *request) {
		return func(b *backend, r *request) { b.pauses[r.sender] = &pause{span: span{now.Add(from), now.Add(to)}} }
	}
	checkViolation(t, check(1, leaving(late)), "had passed on that a leaves")
	assert.Equal(t, len(check(1, leaving(late-2*time.Millisecond))), 0)
	checkViolation(t, check(maxInPause+1, paused(-pauseSettle, 0)), "a got 3 requests from n0")
	assert.Equal(t, len(check(maxInPause, paused(-pauseSettle, 0))), 0)
	assert.Equal(t, len(check(maxInPause+1, paused(time.Millisecond-pauseSettle, 0))), 0)
	assert.Equal(t, len(check(maxInPause+1, paused(-time.Second, -time.Millisecond))), 0)
	for _, wish := range []func(b *backend, r *request){leaving(late), paused(-pauseSettle, 0)} {
		assert.Equal(t, len(check(maxInPause+1, func(b *backend, r *request) {
			wish(b, r)
			r.sender.breaks = []time.Time{now.Add(-time.Millisecond)}
		})), 0)
	}
}

// TestServersSayTheirWishes guards against servers that say nothing.
func TestServersSayTheirWishes(t *testing.T) {
	v := newServers(t, newStore(t))
	b := v.start("a", "east", "desk")
	v.mu.Lock()
	b.leaving, b.busyUntil = true, time.Now().Add(time.Second)
	v.requests["r1"] = &request{sender: &process{}}
	v.mu.Unlock()
	r := httptest.NewRequest("POST", orderPath, nil)
	r.Header.Set("X-Cranberrybay-Target-Instance", b.id)
	r.Header.Set(idHeader, "r1")
	w := httptest.NewRecorder()
	b.server.Handler.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get(leavingHeader), "1")
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 1 && seconds <= 3)
}
