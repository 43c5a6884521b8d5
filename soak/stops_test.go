package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// heldPath is the path of orders that may wait for longer than a stop takes.
	heldPath  = "/held/"
	heldLimit = 14 * time.Second // timeout of its route and of its callers
	// heldStops is the number of planned stops of TestStopsWhileRequestsWait, and heldOrders the number of
	// orders at the process in each.
	heldStops  = 3
	heldOrders = 6
	// heldDelay is the longest time from the pause of the servers to an order; SIGTERM comes half-way.
	heldDelay = 4 * time.Second
)

// stopsWhileRequestsWait stops entry processes in a planned way while orders wait there for a pause of all
// servers, or are with servers that do not answer in time.
func (run *soakRun) stopsWhileRequestsWait() {
	for range heldStops {
		p := run.processes[run.stopRand.Intn(len(run.processes))]
		if run.stopRand.Intn(3) == 0 {
			for _, b := range run.servers.serversOf("desk") {
				run.servers.silence(b, heldDelay/2+gracePeriod+time.Second)
			}
		} else {
			run.servers.pauseFor(p, "desk", time.Duration(1000+run.stopRand.Intn(11000))*time.Millisecond)
		}
		var wg sync.WaitGroup
		for range heldOrders {
			delay := time.Duration(run.stopRand.Int63n(int64(heldDelay)))
			wg.Go(func() { time.Sleep(delay); run.callers.heldOrder(p) })
		}
		time.Sleep(heldDelay / 2)
		run.restart(p, syscall.SIGTERM)
		wg.Wait()
	}
}

// pauseFor makes all servers of a service want nothing from a process for a time.
func (v *servers) pauseFor(p *process, service string, d time.Duration) {
	all := v.serversOf(service)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range all {
		b.nothingTill = map[*process]time.Time{p: time.Now().Add(d)}
	}
}

// heldOrder sends an order to a process, on a connection of its own, and checks that it gets an answer.
func (c *callers) heldOrder(p *process) {
	id, _ := c.next(rand.New(rand.NewSource(0)))
	c.recordSent(p.callerAddress, id)
	ctx, cancel := context.WithTimeout(context.Background(), heldLimit+timingSlack)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+p.callerAddress+heldPath, strings.NewReader(soundBody))
	if err != nil {
		c.addViolation("held order %s: %v", id, err)
		return
	}
	rq.Host, rq.Close = "h", true
	rq.Header.Set(idHeader, id)
	rq.Header.Set("X-Cranberrybay-Deadline-Ms", strconv.FormatInt(heldLimit.Milliseconds(), 10))
	rq.Header.Set("Authorization", "Bearer "+*c.key.Load())
	rs, err := (&http.Client{Transport: &http.Transport{}}).Do(rq)
	if err == nil {
		defer func() { _ = rs.Body.Close() }()
		c.recordStatus(id, rs.StatusCode)
		_, err = io.Copy(io.Discard, rs.Body)
	}
	if text := checkHeld(rs, err); text != "" {
		c.addViolation("held order %s at %s: %s", id, p.name, text)
	}
	outcome := "not connected"
	if rs != nil {
		outcome = strconv.Itoa(rs.StatusCode)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served["held order "+outcome]++
}

// checkHeld returns what is wrong with the answer to a held order, or "". A process that is down refuses the
// connection.
func checkHeld(rs *http.Response, err error) string {
	switch {
	case err != nil && sendOutcome(err) == noAnswer:
		return fmt.Sprintf("no complete answer: %v", err)
	case rs == nil:
		return ""
	case rs.StatusCode == http.StatusServiceUnavailable && rs.Header.Get("Retry-After") == "":
		return "refused without Retry-After"
	}
	return ""
}

// TestStopsWhileRequestsWait guards against orders that get no answer because their process stops while it
// holds them back, or while servers have them.
func TestStopsWhileRequestsWait(t *testing.T) {
	runSeeds(t, []int64{1}, (*soakRun).stopsWhileRequestsWait)
}

// TestHeldCheckFails guards against a check of the answers to held orders that can't fail.
func TestHeldCheckFails(t *testing.T) {
	answer := func(status int, back string) *http.Response {
		return &http.Response{StatusCode: status, Header: http.Header{"Retry-After": {back}}}
	}
	for want, got := range map[string]string{
		"":                                   checkHeld(answer(http.StatusServiceUnavailable, "0.1"), nil) + checkHeld(answer(http.StatusBadGateway, ""), nil) + checkHeld(nil, syscall.ECONNREFUSED),
		"refused without Retry-After":        checkHeld(answer(http.StatusServiceUnavailable, ""), nil),
		"no complete answer: EOF":            checkHeld(nil, io.EOF),
		"no complete answer: unexpected EOF": checkHeld(answer(http.StatusOK, ""), io.ErrUnexpectedEOF),
	} {
		if got != want {
			t.Errorf("got %q instead of %q", got, want)
		}
	}
}
