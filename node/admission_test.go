package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/queue"
)

// TestSilentServerRejectsNoRequest guards against requests that are rejected because
// one load report of the only server was late, and against ones that wait for a server
// that is gone.
func TestSilentServerRejectsNoRequest(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		err    error
		misses int
		ok     bool
	}{
		"late": {context.DeadlineExceeded, 2, true}, "late for long": {context.DeadlineExceeded, 6, false}, "gone": {refused, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := queue.New(queue.Config{Name: "desk", Rand: newRand()})
				report := engine.LoadReport{Slots: 1, Ready: true}
				updateQueue(q, "a", report, nil, time.Now())
				running, err := q.Wait(t.Context(), queue.Request{Account: "x", Plain: true, Deadline: time.Now().Add(time.Minute)})
				assert.NilError(t, err)
				waited := make(chan error, 1)
				go func() {
					s, err := q.Wait(t.Context(), queue.Request{Account: "x", Plain: true, Deadline: time.Now().Add(time.Minute)})
					if err == nil {
						s.Done(1)
					}
					waited <- err
				}()
				synctest.Wait()
				for range c.misses {
					updateQueue(q, "a", engine.LoadReport{}, errors.Join(errors.New("load"), c.err), time.Now())
					time.Sleep(time.Second)
				}
				if c.ok {
					updateQueue(q, "a", report, nil, time.Now())
				}
				running.Done(1)
				err = <-waited
				assert.Equal(t, err == nil, c.ok, "%v", err)
				if !c.ok {
					assert.Equal(t, fault.CodeOf(err), fault.Unavailable)
				}
			})
		})
	}
}
