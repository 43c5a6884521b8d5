package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// network connects processes by in-memory connections.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	down      map[string]bool // addresses that refuse connections
}

type listener struct {
	net     *network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (n *network) listen(address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{net: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	address = strings.TrimSuffix(address, ":80")
	l := n.listeners[address]
	if n.down[address] {
		l = nil
	}
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	if l == nil {
		return nil, refused
	}
	a, b := net.Pipe()
	reset := &atomic.Bool{}
	select {
	case l.conns <- lingerConn{b, reset}:
		return resetConn{a, reset}, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lingerConn is the end of a connection that a listener accepted. Its owner may reset
// it, as net.TCPConn does after SetLinger(0).
type lingerConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c lingerConn) SetLinger(sec int) error { c.reset.Store(sec == 0); return nil }

// resetConn is the other end.
type resetConn struct {
	net.Conn
	reset *atomic.Bool
}

func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	}
	return n, err
}

// system is a set of entry processes and servers of the plain service "desk".
type system struct {
	*network
	flakyTable  *fakes.FlakyTable
	tableClient *table.Client // without faults
	services    []*fakes.Service
	mu          sync.Mutex
	nodes       []*node
	quota       *quota.Quota                                                                           // of each process; nil for none
	doCall      func(c *proxy.Client) func(context.Context, string, proxy.Call) (*proxy.Answer, error) // replaced by tests that put in a bug
}

// node is one entry process.
type node struct {
	fakes.Gate
	name     string
	handler  *entry.Handler
	claims   *claim.Manager
	server   *http.Server
	listener net.Listener
	stop     context.CancelFunc
}

// kill ends a process abruptly: its connections break and its calls fail.
func (n *node) kill() {
	n.Kill()
	n.stop()
	_ = n.server.Close()
}

const testDocuments = `[service]
name = "desk"
team = "desk"
kind = "plain"
first = "5s"
calls = [{ method = "POST", path = "/lookup/*", idempotent = true }]
---
[team]
name = "desk"
---
[account]
name = "hotel"
team = "desk"
keys = ["` + "%s" + `"]
services = ["desk"]
`

// newSystem publishes the configuration and starts the servers of the service. It
// starts no entry process.
func newSystem(t testing.TB, seed int64, servers int) *system {
	t.Helper()
	rows := fakes.NewTable()
	s := &system{network: &network{listeners: map[string]*listener{}, down: map[string]bool{}}, flakyTable: fakes.NewFlakyTable(rows, seed), tableClient: rows.Client()}
	s.doCall = func(c *proxy.Client) func(context.Context, string, proxy.Call) (*proxy.Answer, error) { return c.Do }
	var files []change.File
	for i, text := range strings.Split(fmt.Sprintf(testDocuments, spec.HashKey("key")), "---\n") {
		files = append(files, change.File{Path: fmt.Sprintf("%d.bay.toml", i), Text: text})
	}
	publisher := change.NewPublisher(change.PublisherConfig{Store: change.NewStore(change.StoreConfig{Table: s.tableClient}), Table: s.tableClient})
	_, err := publisher.Publish(context.Background(), change.Request{Author: "test", Files: files})
	assert.NilError(t, err)
	for i := range servers {
		sv := fakes.NewService()
		s.services = append(s.services, sv)
		srv := &http.Server{Handler: sv.Handler()}
		l := s.listen(fmt.Sprintf("desk-%d", i))
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
	}
	return s
}

// store returns a configuration store with the published version in effect.
func (s *system) store(t testing.TB) *change.Store {
	t.Helper()
	store := change.NewStore(change.StoreConfig{Table: s.tableClient})
	assert.NilError(t, store.Refresh(context.Background()))
	return store
}

// start starts another entry process.
func (s *system) start(t *testing.T) *node {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	s.mu.Lock()
	n := &node{name: fmt.Sprintf("entry-%d", len(s.nodes)), stop: stop}
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	servers := fleet.NewTable()
	client := proxy.New(proxy.Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := n.Wait(); err != nil {
			return nil, err
		}
		c, err := s.dial(ctx, network, address)
		return n.Conn(c), err
	}})
	n.claims = claim.New(claim.Config{Table: s.flakyTable.Client(n.Wait), Holder: n.name, QueryHolder: s.queryHolder})
	n.handler = entry.New(entry.Config{
		Store: s.store(t), Fleet: servers, Engines: engine.New(engine.Config{}), Claims: n.claims, Self: n.name, Forward: s.forward, Quota: s.quota,
		Services: proxy.NewPool(proxy.PoolConfig{
			Servers: servers.Servers, OnStart: servers.BeginRequest, OnEnd: servers.EndRequest, OnFailure: servers.RequestFailed, OnSuccess: servers.RequestSucceeded, Do: s.doCall(client),
			Probe: engine.New(engine.Config{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial, DisableKeepAlives: true}}}).Load,
		}),
		Addresses: func(string, string) entry.Addresses { return entry.Addresses{Addresses: s.addresses()} },
	})
	n.server = n.handler.Server()
	go n.claims.Run(ctx)
	go s.updateFleet(ctx, servers)
	n.listener = n.handler.Listener(n.Listener(s.listen(n.name)))
	go func() { _ = n.server.Serve(n.listener) }()
	t.Cleanup(n.kill)
	return n
}

// updateFleet updates the table of servers every 500 ms, as fleet.Watcher does in
// a real process.
func (s *system) updateFleet(ctx context.Context, servers *fleet.Table) {
	for ctx.Err() == nil {
		for i, sv := range s.services {
			name := fmt.Sprintf("desk-%d", i)
			servers.MergeEntry(fleet.State{Name: name, Address: name, Service: "desk"})
			servers.UpdateReport(name, func(st *fleet.State) { st.Ready, st.Slots, st.Leaving = true, 16, sv.Leaving() })
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// live returns the processes that were not killed.
func (s *system) live() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*node
	for _, n := range s.nodes {
		if !n.Killed() {
			out = append(out, n)
		}
	}
	return out
}

func (s *system) addresses() (out []string) {
	for _, n := range s.live() {
		out = append(out, n.name)
	}
	return out
}

// peerNamed returns the live process of a name. It waits while that process is
// paused.
func (s *system) peerNamed(name string) (*node, error) {
	for _, n := range s.live() {
		if n.name == name && n.Wait() == nil {
			return n, nil
		}
	}
	return nil, fakes.ErrKilled
}

// queryHolder asks a process for the status of a run, as claim.Config.QueryHolder.
func (s *system) queryHolder(_ context.Context, holder, id string) (claim.RunStatus, error) {
	n, err := s.peerNamed(holder)
	if err != nil {
		return claim.StatusUnknown, err
	}
	return n.claims.RunStatus(id), nil
}

// forward forwards a call to the issuer of its ticket, as entry.Config.Forward.
func (s *system) forward(ctx context.Context, holder string, w entry.KeyedCall) (*proxy.Answer, bool, error) {
	n, err := s.peerNamed(holder)
	if err != nil {
		return nil, false, err
	}
	return n.handler.RunForwarded(ctx, w)
}

// call sends a request with the API key of the account and returns the whole
// answer.
func (s *system) call(ctx context.Context, address, method, path, body string, header ...string) (*http.Response, string, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	rq.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(header); i += 2 {
		rq.Header.Set(header[i], header[i+1])
	}
	rs, err := (&http.Transport{DialContext: s.dial, DisableKeepAlives: true}).RoundTrip(rq)
	if err != nil {
		return nil, "", err
	}
	defer rs.Body.Close()
	b, err := io.ReadAll(rs.Body)
	return rs, string(b), err
}
