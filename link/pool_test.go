package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/link"
)

// countingServer answers requests and counts its open connections.
type countingServer struct {
	address  string
	took     atomic.Int64 // nanoseconds to each answer
	open     atomic.Int32
	mostOpen atomic.Int32
}

// startCounting runs a server whose answers take a time and have further header lines.
func startCounting(t *testing.T, took time.Duration, lines string) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.took.Store(int64(took))
	s.address = listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		n := s.open.Add(1)
		defer s.open.Add(-1)
		for most := s.mostOpen.Load(); n > most && !s.mostOpen.CompareAndSwap(most, n); most = s.mostOpen.Load() {
		}
		for rq, _ := receive(r); rq != nil; rq, _ = receive(r) {
			time.Sleep(time.Duration(s.took.Load()))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 4\r\n\r\nbody", rq.Header.Get("Id"), lines)
		}
	})
	return s
}

// awaitOpen waits until the server has a number of open connections.
func (s *countingServer) awaitOpen(t *testing.T, want int32) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); s.open.Load() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d connections are open, not %d", s.open.Load(), want)
	}
}

// Guards against shares that add up to more than a server accepts, and against a process that has none.
func TestShare(t *testing.T) {
	assert.Equal(t, link.Share(0, 8), 0)
	assert.Equal(t, link.Share(-1, 8), 0)
	assert.Equal(t, link.Share(110, 8), 12)
	assert.Equal(t, link.Share(110, 0), link.Share(110, 1))
	for accepted := 1; accepted < 1200; accepted++ {
		for processes := 1; processes < 400; processes += 3 {
			n := link.Share(accepted, processes)
			assert.Assert(t, n >= 1)
			assert.Assert(t, n == 1 || n*processes < accepted, "%d processes with %d of %d", processes, n, accepted)
		}
	}
}

// Guards against idle connections that fill a sound server: requests that may run once open one each, and leave it.
func TestOrdersLeaveFewIdleConnections(t *testing.T) {
	s := startCounting(t, 0, "")
	c := link.New(link.Config{})
	for range 40 {
		_, err := do(t, c, s.address, request("1", false))
		assert.NilError(t, err)
	}
	s.awaitOpen(t, 4)
	_, err := do(t, c, s.address, request("1", true))
	assert.NilError(t, err)
	assert.Equal(t, c.Opened(), uint64(40))
}

// Guards against lookups that open connections again and again, because those of a busy moment were closed.
func TestPeakOfLookupsKeepsItsConnections(t *testing.T) {
	const lookups = 10
	s := startCounting(t, 30*time.Millisecond, "")
	c := link.New(link.Config{})
	for range 3 {
		var all sync.WaitGroup
		for range lookups {
			all.Go(func() {
				_, err := do(t, c, s.address, request("1", true))
				assert.Check(t, err)
			})
		}
		all.Wait()
		c.CloseExpired()
	}
	assert.Equal(t, c.Opened(), uint64(lookups))
}

// Guards against idle connections that stay until the server closes them, as no request to it follows.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	s := startCounting(t, 0, "Keep-Alive: timeout=1\r\n")
	c := link.New(link.Config{})
	_, err := do(t, c, s.address, request("1", true))
	assert.NilError(t, err)
	c.CloseExpired()
	time.Sleep(10 * time.Millisecond)
	assert.Equal(t, s.open.Load(), int32(1))
	time.Sleep(500 * time.Millisecond) // the stated second, less the margin
	c.CloseExpired()
	s.awaitOpen(t, 0)
}

// Guards against more connections to a server than the limit, and against requests that fail although the
// connections of others become free within their time.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit, requests = 3, 60
	for name, allowReuse := range map[string]func(n int) bool{"lookups": func(int) bool { return true }, "orders": func(int) bool { return false }, "both": func(n int) bool { return n%2 == 0 }} {
		t.Run(name, func(t *testing.T) {
			s := startCounting(t, 5*time.Millisecond, "")
			c := link.New(link.Config{Limit: func(string) int { return limit }})
			var all sync.WaitGroup
			for worker := range 2 * limit {
				all.Go(func() {
					for n := range requests / limit {
						_, err := do(t, c, s.address, request("1", allowReuse(worker+n)))
						assert.Check(t, err)
					}
				})
			}
			all.Wait()
			assert.Assert(t, s.mostOpen.Load() <= limit, "%d", s.mostOpen.Load())
			assert.Equal(t, c.Refused(), uint64(0))
		})
	}
}

// startSilent runs a server that answers no request until release is called.
func startSilent(t *testing.T) (address string, release func()) {
	t.Helper()
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for rq, _ := receive(r); rq != nil; rq, _ = receive(r) {
			<-released
			respond(c, rq.Header.Get("Id"), "body")
		}
	}), release
}

// Guards against a request that waits for room until its time is over, that is taken for run, or that waits behind
// more requests than will end in time.
func TestNoRoom(t *testing.T) {
	address, release := startSilent(t)
	c := link.New(link.Config{Limit: func(string) int { return 1 }})
	results := make(chan error, 8)
	send := func(within time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, _, err := readWhole(ctx, c, address, request("1", false))
		results <- err
	}
	go send(10 * time.Second)
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	send(400 * time.Millisecond)
	err := <-results
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	assert.Equal(t, fault.CodeOf(err), fault.Overload)
	took := time.Since(begun)
	assert.Assert(t, took >= 150*time.Millisecond && took < 350*time.Millisecond, "%v", took)
	for range 2 {
		go send(4 * time.Second)
	}
	time.Sleep(50 * time.Millisecond)
	begun = time.Now()
	send(4 * time.Second)
	assert.Equal(t, fault.CodeOf(<-results), fault.Overload)
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond)
	assert.Equal(t, c.Refused(), uint64(2))
	release()
	for range 3 {
		assert.NilError(t, <-results)
	}
}

// Guards against a report of an engine that waits behind streams, so that the engine seems dead.
func TestUrgentRequestsDontWait(t *testing.T) {
	s := startCounting(t, 100*time.Millisecond, "")
	c := link.New(link.Config{Limit: func(string) int { return 1 }})
	var other sync.WaitGroup
	other.Go(func() {
		_, err := do(t, c, s.address, request("1", false))
		assert.Check(t, err)
	})
	time.Sleep(20 * time.Millisecond)
	rq := request("2", true)
	rq.Urgent = true
	_, err := do(t, c, s.address, rq)
	assert.NilError(t, err)
	assert.Equal(t, s.mostOpen.Load(), int32(2))
	other.Wait()
	c.CloseExpired()
	s.awaitOpen(t, 1)
}

// Guards against a change of the limit that takes effect only with later requests.
func TestLimitChanges(t *testing.T) {
	var limit atomic.Int32
	limit.Store(8)
	s := startCounting(t, 20*time.Millisecond, "")
	c := link.New(link.Config{Limit: func(string) int { return int(limit.Load()) }})
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			_, err := do(t, c, s.address, request("1", true))
			assert.Check(t, err)
		})
	}
	all.Wait()
	s.awaitOpen(t, 8)
	limit.Store(2)
	c.CloseExpired()
	s.awaitOpen(t, 2)

	address, release := startSilent(t)
	limit.Store(1)
	for range 2 {
		all.Go(func() {
			_, err := do(t, c, address, request("1", false))
			assert.Check(t, err)
		})
	}
	time.Sleep(50 * time.Millisecond)
	opened := c.Opened()
	limit.Store(2)
	c.CloseExpired()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, c.Opened(), opened+1)
	release()
	all.Wait()
}

// Guards against room that is lost with requests that are cancelled or fail while they wait, dial, send or read.
func TestRoomIsNotLost(t *testing.T) {
	const limit = 3
	s := startCounting(t, 2*time.Millisecond, "")
	var dials atomic.Int32
	c := link.New(link.Config{Limit: func(string) int { return limit }, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1)%7 == 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return dialPatiently(ctx, address)
	}})
	var all sync.WaitGroup
	for range 4 * limit {
		all.Go(func() {
			for range 50 {
				ctx, cancel := context.WithTimeout(t.Context(), rand.N(12*time.Millisecond))
				_, _, _ = readWhole(ctx, c, s.address, request("1", rand.N(2) == 0))
				cancel()
			}
		})
	}
	all.Wait()
	const took = 200 * time.Millisecond
	time.Sleep(100 * time.Millisecond) // the server notices the closed connections
	s.took.Store(int64(took))
	s.mostOpen.Store(0)
	dials.Store(1000 * 7) // the next ones succeed
	for range 2 * limit {
		all.Go(func() {
			_, err := do(t, c, s.address, request("1", false))
			assert.Check(t, err)
		})
	}
	begun := time.Now()
	all.Wait()
	assert.Assert(t, time.Since(begun) < 3*took, "%v for two rounds of requests", time.Since(begun))
	assert.Assert(t, s.mostOpen.Load() <= limit, "%d", s.mostOpen.Load())
}
