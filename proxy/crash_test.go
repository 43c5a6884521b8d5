package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
)

// newCrashingPool returns a pool of six servers that crash on calls with the text
// "deadly" and start again after a second, and the crashes.
func newCrashingPool(t *testing.T) (*Pool, chan string) {
	nw, table, crashes := fakes.NewNetwork(0, 0), fleet.NewTable(), make(chan string, 1000)
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return nw.Dial(ctx, "entry", strings.TrimSuffix(address, ":80"))
	}
	for n := range 6 {
		name, sv := fmt.Sprint("desk-", n), fakes.NewService()
		sv.SetFaults(fakes.ServiceFaults{Delay: 20 * time.Millisecond})
		serve := func() { // returns once calls can connect
			listener := nw.Listen(name)
			go func() { _ = http.Serve(listener, sv.Handler()) }()
		}
		sv.SetDeadly("deadly", func() {
			crashes <- name
			nw.Kill(name)
			time.AfterFunc(time.Second, func() { sv.Restart(); serve() })
		})
		serve()
		t.Cleanup(func() { nw.Kill(name) })
		table.MergeEntry(fleet.State{Name: name, Address: name, Service: "desk"})
		table.MergeReport(name, fleet.State{Ready: true, Slots: 16})
	}
	reports := engine.New(engine.Config{Client: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}})
	return NewTablePool(TablePoolConfig{Table: table, Client: New(Config{Dial: dial}), Engines: reports}), crashes
}

// send sends a call of one caller and returns its error.
func send(p *Pool, method, path, body string, idempotent bool) error {
	a, err := p.Send(context.Background(), "desk", Call{
		Method: method, Path: path, Body: []byte(body), Idempotent: idempotent,
		Identity: guard.NewRequest(guard.RequestConfig{Service: "desk", Account: "hotel", Path: path, Body: []byte(body)}),
	})
	if err == nil {
		_ = a.Body.Close()
	}
	return err
}

// TestDeadlyCallsReachFewServers guards against a call that crashes a server with each
// repeat of its caller, and against sound calls of that caller that are lost.
func TestDeadlyCallsReachFewServers(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		crashes      int
	}{"lookup": {"GET", "/archive/deadly", 4}, "order": {"POST", "/orders", 3}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				defer clock.Replace(func() time.Duration { return time.Since(start) })()
				p, crashes := newCrashingPool(t)
				var wg sync.WaitGroup
				wg.Go(func() {
					for range 30 {
						err := send(p, c.method, c.path, "deadly", c.method == "GET")
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
						assert.NilError(t, send(p, "GET", fmt.Sprint("/archive/", n), "", true))
					})
				}
				wg.Wait()
				assert.Assert(t, len(crashes) >= 3 && len(crashes) <= c.crashes, "%d crashes", len(crashes))
			})
		})
	}
}
