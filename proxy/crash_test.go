package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
)

// crashingServers are servers that crash on a deadly call and start again a second
// later. A crash breaks off all calls on the server.
type crashingServers struct {
	mu      sync.Mutex
	crashed map[string]chan struct{} // closed when the server crashes; absent while it is down
	crashes int
	sent    int // deadly calls that reached a server
}

const crashingServerCount = 6

func (s *crashingServers) start(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed[name] = make(chan struct{})
}

// up returns the channel of a server, or an error while it is down.
func (s *crashingServers) up(name string) (chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.crashed[name]; c != nil {
		return c, nil
	}
	return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Cause: &net.OpError{Op: "dial", Err: errors.New("connection refused")}})
}

func (s *crashingServers) do(_ context.Context, name string, call Call) (*Answer, error) {
	crashed, err := s.up(name)
	if err != nil {
		return nil, err
	}
	deadly := string(call.Body) == "deadly"
	if deadly {
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-crashed:
		return nil, fault.New(fault.Config{Code: fault.Unavailable, Cause: io.EOF})
	}
	if !deadly {
		return &Answer{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed[name] == crashed {
		s.crashes++
		delete(s.crashed, name)
		close(crashed)
		time.AfterFunc(time.Second, func() { s.start(name) })
	}
	return nil, fault.New(fault.Config{Code: fault.Unavailable, Cause: io.EOF})
}

func (s *crashingServers) pool() *Pool {
	table := fleet.NewTable()
	s.crashed = map[string]chan struct{}{}
	for n := range crashingServerCount {
		name := fmt.Sprint(n)
		table.MergeEntry(fleet.State{Name: name, Address: name, Service: "desk"})
		table.MergeReport(name, fleet.State{Ready: true, Slots: 16})
		s.start(name)
	}
	return NewPool(PoolConfig{
		Rand: rand.New(rand.NewSource(1)), Servers: table.Servers, Do: s.do,
		OnStart: table.BeginRequest, OnEnd: table.EndRequest, OnFailure: table.RequestFailed, OnSuccess: table.RequestSucceeded,
		Probe: func(_ context.Context, name string) (engine.LoadReport, error) {
			_, err := s.up(name)
			return engine.LoadReport{}, err
		},
	})
}

// callWith returns a call of the same caller with a body.
func callWith(body string, idempotent bool) Call {
	return Call{Method: "POST", Body: []byte(body), Idempotent: idempotent, Identity: guard.NewRequest(guard.RequestConfig{Service: "desk", Account: "hotel", Body: []byte(body)})}
}

// TestDeadlyCallsReachFewServers guards against a call that crashes a server with each
// repeat of its caller, and against sound calls of that caller that are lost.
func TestDeadlyCallsReachFewServers(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		sent       int // deadly calls that may reach a server
	}{"lookup": {true, 7}, "order": {false, 5}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(start) })()
				s := &crashingServers{}
				p := s.pool()
				var wg sync.WaitGroup
				wg.Go(func() {
					for range 30 {
						_, err := p.Send(context.Background(), "desk", callWith("deadly", c.idempotent))
						if fault.CodeOf(err) == fault.Quarantined {
							wantError(t, err, fault.NotRun, fault.Quarantined)
						} else {
							wantError(t, err, fault.MayHaveRun, fault.Crashed)
						}
						time.Sleep(1500 * time.Millisecond)
					}
				})
				for n := range 1000 {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 40 * time.Millisecond)
						a, err := p.Send(context.Background(), "desk", callWith(fmt.Sprint("sound ", n), true))
						assert.NilError(t, err)
						assert.NilError(t, a.Body.Close())
					})
				}
				wg.Wait()
				assert.Assert(t, s.sent >= 3 && s.sent <= c.sent, "%d deadly calls were sent", s.sent)
			})
		})
	}
}
