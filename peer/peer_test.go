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
	"github.com/cranberrybay/cranberrybay/poison"
)

var authority = func() *fakes.Authority {
	a, err := fakes.NewAuthority()
	if err != nil {
		panic(err)
	}
	return a
}()

// runInBubble runs f in a synctest bubble, with virtual time. yamux keeps timers
// in a global sync.Pool, and a timer must not be used outside its bubble. Two
// garbage collections before and after the bubble empty the pool.
func runInBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
	runtime.GC()
	runtime.GC()
}

// startTransport starts a Transport on a network. Its name is also its host and
// its address.
func startTransport(t *testing.T, nw *fakes.Network, a *fakes.Authority, name, incarnation string, h peer.Handlers) *peer.Transport {
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

// pingHandlers returns handlers that reply to a ping with a version.
func pingHandlers(version uint64) peer.Handlers {
	return peer.Handlers{Ping: func(context.Context, peer.Remote, member.PingPayload) (member.PingPayload, error) {
		return member.PingPayload{Version: version}, nil
	}}
}

// TestCalls checks that every call delivers all fields of its request and reply,
// and that calls in both directions share one session.
func TestCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		m := member.Member{Name: "c", Incarnation: "c/1", Domain: "patan", Region: "bagmati", CallerAddress: "1", PeerAddress: "2", Leaving: true, Sequence: 7}
		h := pingHandlers(4)
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
		request := peer.ForwardRequest{Account: "acc", Service: "desk", Key: "k", Method: "POST", Path: "/x?y", Header: http.Header{"A": {"1", "2"}}, Body: bytes.Repeat([]byte("z"), 4<<20)}
		h.Forward = func(_ context.Context, _ peer.Remote, r peer.ForwardRequest) (peer.ForwardResponse, error) {
			assert.Assert(t, bytes.Equal(r.Body, request.Body)) // DeepEqual takes 30 s on 4 MiB
			withoutBody := request
			withoutBody.Body, r.Body = nil, nil
			assert.DeepEqual(t, r, withoutBody)
			return peer.ForwardResponse{Status: 201, Header: r.Header, Body: request.Body, Replayed: true}, nil
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
		suspects := peer.SuspectMessage{Records: []poison.Record{{Part: poison.Part{Service: "s", ID: "p"}, Terms: 1, Until: poison.Now() + time.Hour}}, PassTo: []string{"c"}}
		h.Suspects = func(_ context.Context, _ peer.Remote, m peer.SuspectMessage) ([]poison.Record, error) {
			assert.DeepEqual(t, m.PassTo, suspects.PassTo)
			return m.Records, nil
		}
		announced := peer.VersionAnnouncement{}
		h.Announce = func(_ context.Context, _ peer.Remote, v peer.VersionAnnouncement) error { announced = v; return nil }
		a, b := startTransport(t, nw, authority, "a", "a/1", pingHandlers(3)), startTransport(t, nw, authority, "b", "b/1", h)
		ctx, to := t.Context(), target("b", "b/1")
		health, err := a.Ping(ctx, to, member.PingPayload{Version: 3, Self: &m})
		assert.NilError(t, err)
		assert.Equal(t, health.Version, uint64(4))
		assert.NilError(t, a.Announce(ctx, to, peer.VersionAnnouncement{Version: 5, Digest: 6, Age: time.Second, RelayRange: member.RelayRange{Relay: true, First: "a"}}))
		assert.Equal(t, announced, peer.VersionAnnouncement{Version: 5, Digest: 6, Age: time.Second, RelayRange: member.RelayRange{Relay: true, First: "a"}})
		records, err := a.Records(ctx, to, 8)
		assert.NilError(t, err)
		assert.DeepEqual(t, records, []change.Record{record}, cmpopts.IgnoreUnexported(change.Record{}))
		status, err := a.ClaimStatus(ctx, to, "c1")
		assert.NilError(t, err)
		assert.Equal(t, status, claim.StatusNotRun)
		response, err := a.Forward(ctx, to, request)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, 201)
		assert.Assert(t, response.Replayed)
		assert.Equal(t, len(response.Body), 4<<20)
		assert.DeepEqual(t, response.Header, http.Header{"A": {"1", "2"}})
		assert.NilError(t, a.Report(ctx, to, report))
		assert.NilError(t, a.Share(ctx, to, share))
		evidence, err := a.Suspects(ctx, to, suspects)
		assert.NilError(t, err)
		assert.Assert(t, len(evidence) == 1 && evidence[0].Part == suspects.Records[0].Part && evidence[0].Until > poison.Now(), "%v", evidence)
		v, err := a.SendEvents(ctx, to, member.EventMessage{Events: []member.Event{{Kind: member.Dead, Member: m}}, RelayRange: member.RelayRange{Relay: true, End: "z"}, WantMembers: true})
		assert.NilError(t, err)
		assert.DeepEqual(t, v, member.EventReply{Members: []member.Member{m}, Alive: []bool{true}})
		_, err = b.Ping(ctx, target("a", "a/1"), member.PingPayload{})
		assert.NilError(t, err)
		assert.Equal(t, a.Sessions(), 1)
		assert.Equal(t, b.Sessions(), 1)
	})
}

// TestUnauthenticatedPeer checks that a process gets no answer when its
// certificate is signed by another authority or holds the name of another
// process. As a control, a server that accepts any certificate does answer the
// first one.
func TestUnauthenticatedPeer(t *testing.T) {
	other, err := fakes.NewAuthority()
	assert.NilError(t, err)
	cases := []struct {
		name      string
		authority *fakes.Authority
		certName  string // name in the certificate of the client
		insecure  bool   // deliberate fault: the server accepts any certificate
	}{
		{"other authority", other, "a", false},
		{"other name", authority, "c", false},
		{"insecure server", other, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
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
				if c.insecure {
					server.ClientAuth = tls.RequireAnyClientCert
				}
				b := peer.New(peer.Config{Name: "b", Incarnation: "b/1", TLS: server, Handlers: peer.Handlers{
					Ping: func(context.Context, peer.Remote, member.PingPayload) (member.PingPayload, error) {
						called.Store(true)
						return member.PingPayload{}, nil
					},
				}})
				b.Start(nw.Listen("b"))
				defer b.Close()
				// The client trusts the authority of the server and states the
				// name a.
				n := peer.New(peer.Config{Name: "a", Incarnation: "s/1", TLS: config(c.authority, c.certName), Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return nw.Dial(ctx, "a", address)
				}})
				n.Start(nil)
				defer n.Close()
				_, err := n.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
				assert.Equal(t, err == nil, c.insecure, "%v", err)
				assert.Equal(t, called.Load(), c.insecure)
			})
		})
	}
}

// TestReplacedIncarnation checks that a call to one incarnation does not reach its
// successor at the same address, and that the back-off after failed dials to the
// old incarnation does not delay calls to the new one.
func TestReplacedIncarnation(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(0, 0)
		a := startTransport(t, nw, authority, "a", "a/1", pingHandlers(1))
		old := startTransport(t, nw, authority, "b", "b/1", pingHandlers(1))
		_, err := a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
		assert.NilError(t, err)
		old.Close()
		synctest.Wait()
		for range 5 { // the back-off grows
			time.Sleep(time.Second)
			_, err = a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
			assert.Assert(t, err != nil)
		}
		startTransport(t, nw, authority, "b", "b/2", pingHandlers(2))
		_, err = a.Ping(t.Context(), target("b", "b/2"), member.PingPayload{})
		assert.NilError(t, err, "the back-off of b/1 delayed a call to b/2")
		_, err = a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
		var replaced *peer.ReplacedError
		assert.Assert(t, errors.As(err, &replaced), "%v", err)
		assert.Equal(t, replaced.Found, "b/2")
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		h, err := a.Ping(t.Context(), target("b", ""), member.PingPayload{})
		assert.NilError(t, err)
		assert.Equal(t, h.Version, uint64(2))
	})
}

// TestVerdicts checks that a call that may have reached the peer is not reported
// as not run, and that no call outlasts its deadline.
func TestVerdicts(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		var ran atomic.Int32
		a := startTransport(t, nw, authority, "a", "a/1", peer.Handlers{})
		startTransport(t, nw, authority, "b", "b/1", peer.Handlers{Records: func(ctx context.Context, _ peer.Remote, _ uint64) ([]change.Record, error) {
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
		_, err = a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun, "a call without a handler")
		synctest.Wait()
		nw.Cut("b", "a", true) // the request arrives, the reply is lost
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

// TestForwardErrors checks that the verdict of a failed call is not reported as the
// verdict of the forwarded request: an issuer that can't be reached may have run
// the request earlier.
func TestForwardErrors(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(time.Millisecond, 0)
		a := startTransport(t, nw, authority, "a", "a/1", peer.Handlers{})
		startTransport(t, nw, authority, "b", "b/1", peer.Handlers{Forward: func(context.Context, peer.Remote, peer.ForwardRequest) (peer.ForwardResponse, error) {
			return peer.ForwardResponse{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: "no"})
		}})
		startTransport(t, nw, authority, "c", "c/1", peer.Handlers{})
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

// TestSimultaneousDial checks that exactly one session remains after two processes
// dial each other at the same time, that idle sessions are closed, and that no
// call fails while the peer closes an idle session.
func TestSimultaneousDial(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(5*time.Millisecond, 0)
		a, b := startTransport(t, nw, authority, "a", "a/1", pingHandlers(1)), startTransport(t, nw, authority, "b", "b/1", pingHandlers(1))
		done := make(chan error, 2)
		go func() { _, err := a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{}); done <- err }()
		go func() { _, err := b.Ping(t.Context(), target("a", "a/1"), member.PingPayload{}); done <- err }()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
		time.Sleep(5 * time.Second)
		assert.Equal(t, a.Sessions(), 1)
		assert.Equal(t, b.Sessions(), 1)
		_, err := a.Ping(t.Context(), target("b", "b/1"), member.PingPayload{})
		assert.NilError(t, err)
		for range 200 { // varies the time of the call around the close of the idle session
			time.Sleep(19*time.Second + 100*time.Millisecond)
			_, err = b.Ping(t.Context(), target("a", "a/1"), member.PingPayload{})
			assert.NilError(t, err)
			time.Sleep(22*time.Second + 50*time.Millisecond)
			_, err = b.Ping(t.Context(), target("a", "a/1"), member.PingPayload{})
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Minute)
		assert.Equal(t, a.Sessions(), 0)
		assert.Equal(t, b.Sessions(), 0)
		_, err = b.Ping(t.Context(), target("a", "a/1"), member.PingPayload{})
		assert.NilError(t, err)
	})
}

// TestOverload checks that the number of calls that wait for slow handlers is
// bounded, and that a rejected call is reported as not run.
func TestOverload(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		nw := fakes.NewNetwork(0, 0)
		a := startTransport(t, nw, authority, "a", "a/1", peer.Handlers{})
		startTransport(t, nw, authority, "b", "b/1", peer.Handlers{Announce: func(ctx context.Context, _ peer.Remote, _ peer.VersionAnnouncement) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		const calls = 100 // 16 workers and a queue of 64
		results := make(chan error, calls)
		for range calls {
			go func() { results <- a.Announce(t.Context(), target("b", "b/1"), peer.VersionAnnouncement{}) }()
		}
		rejected := 0
		for range calls {
			if err := <-results; fault.VerdictOf(err) == fault.NotRun {
				assert.Equal(t, fault.CodeOf(err), fault.Overload)
				rejected++
			}
		}
		assert.Equal(t, rejected, calls-16-64)
	})
}

// TestSilentPeerAnswers guards against a forwarded request that fails because the
// peer was silent for a while, before or after it received the request.
func TestSilentPeerAnswers(t *testing.T) {
	for name, to := range map[string][2]string{"request is late": {"a", "b"}, "answer is late": {"b", "a"}} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				nw := fakes.NewNetwork(time.Millisecond, 0)
				a := startTransport(t, nw, authority, "a", "a/1", peer.Handlers{})
				startTransport(t, nw, authority, "b", "b/1", peer.Handlers{Forward: func(context.Context, peer.Remote, peer.ForwardRequest) (peer.ForwardResponse, error) {
					return peer.ForwardResponse{Status: 201}, nil
				}})
				_, err := a.Forward(t.Context(), target("b", "b/1"), peer.ForwardRequest{}) // opens the session
				assert.NilError(t, err)
				synctest.Wait()
				nw.Cut(to[0], to[1], true)
				time.AfterFunc(1200*time.Millisecond, func() { nw.Cut(to[0], to[1], false) })
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				response, err := a.Forward(ctx, target("b", "b/1"), peer.ForwardRequest{})
				assert.NilError(t, err)
				assert.Equal(t, response.Status, 201)
			})
		})
	}
}
