package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/peer"
)

var authority = func() *fakes.Authority {
	a, err := fakes.NewAuthority()
	if err != nil {
		panic(err)
	}
	return a
}()

// bubble runs f in virtual time. yamux keeps timers in a sync.Pool of the
// process; two collections empty it, since a timer must not leave its bubble.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
	runtime.GC()
	runtime.GC()
}

// start runs a Node on a network; its name is its host and its address.
func start(t *testing.T, nw *fakes.Network, a *fakes.Authority, name, incarnation string, h peer.Handlers) *peer.Transport {
	t.Helper()
	cert, key, err := a.Issue(name)
	assert.NilError(t, err)
	tc, err := peer.TLSConfig(a.PEM(), cert, key)
	assert.NilError(t, err)
	n := peer.New(peer.Config{
		Name: name, Incarnation: incarnation, TLS: tc, Handlers: h,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return nw.Dial(ctx, name, address) },
	})
	n.Start(nw.Listen(name))
	t.Cleanup(n.Close)
	return n
}

func target(name, incarnation string) peer.Target {
	return peer.Target{Name: name, Incarnation: incarnation, Address: name}
}

func pong(version uint64) peer.Handlers {
	return peer.Handlers{Ping: func(context.Context, peer.Remote, member.Health) (member.Health, error) {
		return member.Health{Version: version}, nil
	}}
}

// TestCalls guards against a field that is lost on the way, and against a
// second session between a pair of processes.
func TestCalls(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		m := member.Member{Name: "c", Incarnation: "c/1", Domain: "patan", Region: "bagmati", CallerAddress: "1", PeerAddress: "2", Leaving: true, Sequence: 7}
		h := pong(4)
		record := change.Record{Version: 9, Digest: 9, Publication: "p", Full: true, Docs: []change.StoredDocument{{
			ID: "x/y", Path: "p", Text: "t", Source: "s", Version: 8, Author: "a", Time: time.Unix(7, 5).UTC(), Removed: true,
		}}}
		h.Records = func(_ context.Context, from peer.Remote, after uint64) ([]change.Record, error) {
			assert.Equal(t, from, peer.Remote{Name: "a", Incarnation: "a/1"})
			assert.Equal(t, after, uint64(8))
			return []change.Record{record}, nil
		}
		h.ClaimStatus = func(_ context.Context, _ peer.Remote, id string) (claim.RunStatus, error) {
			assert.Equal(t, id, "c1")
			return claim.StatusNotRun, nil
		}
		work := peer.ForwardRequest{Account: "acc", Service: "desk", Key: "k", Method: "POST", Path: "/x?y", Header: http.Header{"A": {"1", "2"}}, Body: bytes.Repeat([]byte("z"), 4<<20)}
		h.Forward = func(_ context.Context, _ peer.Remote, w peer.ForwardRequest) (peer.ForwardResponse, error) {
			assert.Assert(t, bytes.Equal(w.Body, work.Body)) // DeepEqual takes 30 s on 4 MiB
			short := work
			short.Body, w.Body = nil, nil
			assert.DeepEqual(t, w, short)
			return peer.ForwardResponse{Status: 201, Header: w.Header, Body: work.Body, Replayed: true}, nil
		}
		report := limit.Report{From: "a", Incarnation: "a/1", Number: 3, Demands: []limit.Demand{{Account: "q", Want: limit.Amounts{2.5, 3, 4}, Running: 5, AppliedShare: 6, Idle: true}}}
		share := limit.Share{Home: "a", HomeIncarnation: "a/1", ReceiverIncarnation: "b/1", ReportNumber: 7, Accounts: []limit.AccountShare{{Account: "q", Share: limit.Amounts{0.1, 2, 3}, Weight: 0.3, Number: 8}}}
		h.Report = func(_ context.Context, _ peer.Remote, r limit.Report) error {
			assert.DeepEqual(t, r, report)
			return nil
		}
		h.Share = func(_ context.Context, _ peer.Remote, s limit.Share) error { assert.DeepEqual(t, s, share); return nil }
		h.Events = func(_ context.Context, _ peer.Remote, n member.EventMessage) (member.EventReply, error) {
			assert.DeepEqual(t, n, member.EventMessage{Events: []member.Event{{Kind: member.Dead, Member: m}}, RelayRange: member.RelayRange{Relay: true, End: "z"}, WantMembers: true})
			return member.EventReply{Members: []member.Member{m}, Alive: []bool{true}}, nil
		}
		announced := peer.VersionAnnouncement{}
		h.Announce = func(_ context.Context, _ peer.Remote, v peer.VersionAnnouncement) error { announced = v; return nil }
		a, b := start(t, nw, authority, "a", "a/1", pong(3)), start(t, nw, authority, "b", "b/1", h)
		ctx, to := t.Context(), target("b", "b/1")
		health, err := a.Ping(ctx, to, member.Health{Version: 3, Self: &m})
		assert.NilError(t, err)
		assert.Equal(t, health.Version, uint64(4))
		assert.NilError(t, a.Announce(ctx, to, peer.VersionAnnouncement{Version: 5, Digest: 6, Age: time.Second, RelayRange: member.RelayRange{Relay: true, First: "a"}}))
		assert.Equal(t, announced, peer.VersionAnnouncement{Version: 5, Digest: 6, Age: time.Second, RelayRange: member.RelayRange{Relay: true, First: "a"}})
		records, err := a.Records(ctx, to, 8)
		assert.NilError(t, err)
		assert.DeepEqual(t, records, []change.Record{record}, cmpopts.IgnoreUnexported(change.Record{}))
		word, err := a.ClaimStatus(ctx, to, "c1")
		assert.NilError(t, err)
		assert.Equal(t, word, claim.StatusNotRun)
		ans, err := a.Forward(ctx, to, work)
		assert.NilError(t, err)
		assert.Equal(t, ans.Status, 201)
		assert.Assert(t, ans.Replayed)
		assert.Equal(t, len(ans.Body), 4<<20)
		assert.DeepEqual(t, ans.Header, http.Header{"A": {"1", "2"}})
		assert.NilError(t, a.Report(ctx, to, report))
		assert.NilError(t, a.Share(ctx, to, share))
		v, err := a.SendEvents(ctx, to, member.EventMessage{Events: []member.Event{{Kind: member.Dead, Member: m}}, RelayRange: member.RelayRange{Relay: true, End: "z"}, WantMembers: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, v, member.EventReply{Members: []member.Member{m}, Alive: []bool{true}})
		_, err = b.Ping(ctx, target("a", "a/1"), member.Health{})
		assert.NilError(t, err)
		assert.Equal(t, a.Sessions(), 1)
		assert.Equal(t, b.Sessions(), 1)
	})
}

// TestStranger guards against a process without a certificate of the
// authority, or with the certificate of another process, that gets an answer.
// With a server that accepts any certificate the first one does get it.
func TestStranger(t *testing.T) {
	other, err := fakes.NewAuthority()
	assert.NilError(t, err)
	cases := []struct {
		name      string
		authority *fakes.Authority
		as        string // name that the stranger's certificate holds
		weak      bool   // deliberate fault: the server accepts any certificate
	}{
		{"other authority", other, "a", false},
		{"other name", authority, "c", false},
		{"weak server", other, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				nw := fakes.NewNetwork(0, 0)
				var called atomic.Bool
				config := func(a *fakes.Authority, name string) *tls.Config {
					cert, key, err := a.Issue(name)
					assert.NilError(t, err)
					tc, err := peer.TLSConfig(authority.PEM(), cert, key)
					assert.NilError(t, err)
					return tc
				}
				server := config(authority, "b")
				if c.weak {
					server.ClientAuth = tls.RequireAnyClientCert
				}
				b := peer.New(peer.Config{Name: "b", Incarnation: "b/1", TLS: server, Handlers: peer.Handlers{
					Ping: func(context.Context, peer.Remote, member.Health) (member.Health, error) {
						called.Store(true)
						return member.Health{}, nil
					},
				}})
				b.Start(nw.Listen("b"))
				defer b.Close()
				// The stranger trusts the authority of the others and calls
				// itself a.
				n := peer.New(peer.Config{Name: "a", Incarnation: "s/1", TLS: config(c.authority, c.as), Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return nw.Dial(ctx, "a", address)
				}})
				n.Start(nil)
				defer n.Close()
				_, err := n.Ping(t.Context(), target("b", "b/1"), member.Health{})
				assert.Equal(t, err == nil, c.weak, "%v", err)
				assert.Equal(t, called.Load(), c.weak)
			})
		})
	}
}

// TestGone guards against a call for one incarnation that reaches its
// successor at the same address, and against a successor that can't be called
// because of failed dials to its predecessor.
func TestGone(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(0, 0)
		a := start(t, nw, authority, "a", "a/1", pong(1))
		old := start(t, nw, authority, "b", "b/1", pong(1))
		_, err := a.Ping(t.Context(), target("b", "b/1"), member.Health{})
		assert.NilError(t, err)
		old.Close()
		synctest.Wait()
		for range 5 { // the back-off grows
			time.Sleep(time.Second)
			_, err = a.Ping(t.Context(), target("b", "b/1"), member.Health{})
			assert.Assert(t, err != nil)
		}
		start(t, nw, authority, "b", "b/2", pong(2))
		_, err = a.Ping(t.Context(), target("b", "b/2"), member.Health{})
		assert.NilError(t, err, "the back-off of b/1 does not hold up b/2")
		_, err = a.Ping(t.Context(), target("b", "b/1"), member.Health{})
		var gone *peer.ReplacedError
		assert.Assert(t, errors.As(err, &gone), "%v", err)
		assert.Equal(t, gone.Found, "b/2")
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		h, err := a.Ping(t.Context(), target("b", ""), member.Health{})
		assert.NilError(t, err)
		assert.Equal(t, h.Version, uint64(2))
	})
}

// TestVerdicts guards against a call that may have reached the peer and is
// reported as not run, and against a call that outlasts its deadline.
func TestVerdicts(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		var ran atomic.Int32
		a := start(t, nw, authority, "a", "a/1", peer.Handlers{})
		start(t, nw, authority, "b", "b/1", peer.Handlers{Records: func(ctx context.Context, _ peer.Remote, _ uint64) ([]change.Record, error) {
			ran.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		send := func() (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			before := time.Now()
			_, err := a.Records(ctx, target("b", "b/1"), 1)
			return time.Since(before), err
		}
		took, err := send()
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
		assert.Assert(t, took <= time.Second+10*time.Millisecond, "%v", took)
		assert.Equal(t, ran.Load(), int32(1))
		_, err = a.Ping(t.Context(), target("b", "b/1"), member.Health{})
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "a call without a handler")
		synctest.Wait()
		nw.Cut("b", "a", true) // the request arrives, its answer does not
		took, err = send()
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
		assert.Assert(t, took <= time.Second+10*time.Millisecond, "%v", took)
		assert.Equal(t, ran.Load(), int32(2))
		nw.Cut("b", "a", false)
		nw.Kill("b")
		synctest.Wait()
		_, err = send()
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "%v", err)
		_, err = send()
		assert.Assert(t, errors.Is(err, peer.ErrBackoff), "%v", err)
		assert.Equal(t, ran.Load(), int32(2))
	})
}

// TestForwardErrors guards against the verdict of a call that is taken for the
// verdict of the work: an issuer that is not reached may have run it before.
func TestForwardErrors(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		a := start(t, nw, authority, "a", "a/1", peer.Handlers{})
		start(t, nw, authority, "b", "b/1", peer.Handlers{Forward: func(context.Context, peer.Remote, peer.ForwardRequest) (peer.ForwardResponse, error) {
			return peer.ForwardResponse{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: "no"})
		}})
		start(t, nw, authority, "c", "c/1", peer.Handlers{})
		_, err := a.Forward(t.Context(), target("b", "b/1"), peer.ForwardRequest{})
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "the issuer's own error: %v", err)
		assert.Equal(t, fault.CodeOf(err), fault.Leaving)
		for _, name := range []string{"c", "d"} {
			_, err = a.Forward(t.Context(), target(name, name+"/1"), peer.ForwardRequest{})
			assert.Assert(t, errors.Is(err, peer.ErrNoAnswer), "%v", err)
			assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%s: %v", name, err)
		}
	})
}

// TestBothDial guards against two sessions, or none, after both processes
// dialled at once, against sessions that stay open when idle,
// and against calls that fail while the peer closes an idle session.
func TestBothDial(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(5*time.Millisecond, 0)
		a, b := start(t, nw, authority, "a", "a/1", pong(1)), start(t, nw, authority, "b", "b/1", pong(1))
		done := make(chan error, 2)
		go func() { _, err := a.Ping(t.Context(), target("b", "b/1"), member.Health{}); done <- err }()
		go func() { _, err := b.Ping(t.Context(), target("a", "a/1"), member.Health{}); done <- err }()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.Sessions(), 1)
		assert.Equal(t, b.Sessions(), 1)
		_, err := a.Ping(t.Context(), target("b", "b/1"), member.Health{})
		assert.NilError(t, err)
		for range 200 { // at each moment around the close of an idle session
			time.Sleep(19*time.Second + 100*time.Millisecond)
			_, err = b.Ping(t.Context(), target("a", "a/1"), member.Health{})
			assert.NilError(t, err)
			time.Sleep(22*time.Second + 50*time.Millisecond)
			_, err = b.Ping(t.Context(), target("a", "a/1"), member.Health{})
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, a.Sessions(), 0)
		assert.Equal(t, b.Sessions(), 0)
		_, err = b.Ping(t.Context(), target("a", "a/1"), member.Health{})
		assert.NilError(t, err)
	})
}

// TestOverload guards against calls that pile up behind slow handlers, and
// against a refused call that is not reported as not run.
func TestOverload(t *testing.T) {
	bubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(0, 0)
		a := start(t, nw, authority, "a", "a/1", peer.Handlers{})
		start(t, nw, authority, "b", "b/1", peer.Handlers{Announce: func(ctx context.Context, _ peer.Remote, _ peer.VersionAnnouncement) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		const calls = 100 // 16 workers and a queue of 64
		results := make(chan error, calls)
		for range calls {
			go func() { results <- a.Announce(t.Context(), target("b", "b/1"), peer.VersionAnnouncement{}) }()
		}
		refused := 0
		for range calls {
			if err := <-results; fault.VerdictOf(err) == fault.NotRun {
				assert.Equal(t, fault.CodeOf(err), fault.Overload)
				refused++
			}
		}
		assert.Equal(t, refused, calls-16-64)
	})
}
