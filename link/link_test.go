package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/link"
)

// listen runs a server that handles each connection with a script.
func listen(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// receive reads one request with its body.
func receive(r *bufio.Reader) (*http.Request, string) {
	rq, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	b, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, ""
	}
	return rq, string(b)
}

func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string, kept bool) *link.Request {
	return &link.Request{
		Method: "POST", Target: "/x?a=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), Kept: kept,
		Mine: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t *testing.T, c *link.Client, address string, rq *link.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	ans, err := c.Do(ctx, address, rq)
	if err != nil {
		return "", err
	}
	defer func() { _ = ans.Body.Close() }()
	b, err := io.ReadAll(ans.Body)
	return string(b), err
}

// Guards against a changed target or body, and against a connection for each
// request.
func TestKeepsConnections(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			rq, body := receive(r)
			if rq == nil {
				return
			}
			respond(c, rq.Header.Get("Id"), rq.RequestURI+" "+body)
		}
	})
	c := link.New(link.Config{})
	for range 3 {
		got, err := do(t, c, address, request("1", true))
		assert.NilError(t, err)
		assert.Equal(t, got, "/x?a=%2F body")
	}
	assert.Equal(t, c.Opened(), uint64(1))
	_, err := do(t, c, address, request("2", false))
	assert.NilError(t, err)
	assert.Equal(t, c.Opened(), uint64(2))
}

// Guards against an answer to an earlier request that a server sends twice and
// that reaches the next caller.
func TestExtraAnswer(t *testing.T) {
	for _, x := range []struct {
		name  string
		delay time.Duration
	}{{"at once", 0}, {"after the next request", 50 * time.Millisecond}} {
		t.Run(x.name, func(t *testing.T) {
			address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				last := ""
				for {
					rq, _ := receive(r)
					if rq == nil {
						return
					}
					if last != "" && x.delay > 0 {
						respond(c, last, "again")
					}
					last = rq.Header.Get("Id")
					respond(c, last, "answer "+last)
					if x.delay == 0 {
						respond(c, last, "again")
					}
				}
			})
			c := link.New(link.Config{})
			for _, id := range []string{"1", "2", "3"} {
				got, err := do(t, c, address, request(id, true))
				assert.NilError(t, err)
				assert.Equal(t, got, "answer "+id)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// Guards against a body that ends early and looks complete.
func TestTornAnswer(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		receive(r)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf")
	})
	_, err := do(t, link.New(link.Config{}), address, request("1", true))
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
}

// Guards against "not run" for a request that a server took, and against "may
// have run" where no connection was made.
func TestVerdicts(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		address := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) { receive(r) })
		_, err := do(t, link.New(link.Config{}), address, request("1", true))
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
	})
	t.Run("no listener", func(t *testing.T) {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		address := ln.Addr().String()
		assert.NilError(t, ln.Close())
		_, err = do(t, link.New(link.Config{}), address, request("1", true))
		assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	})
}

// Guards against the rest of a long body as the start of the next request, when
// a server answers before it has read the body.
func TestEarlyAnswer(t *testing.T) {
	release := make(chan struct{})
	address := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			receive(r)
			respond(c, "2", "second")
			return
		}
		rq, err := http.ReadRequest(r)
		if err == nil {
			respond(c, rq.Header.Get("Id"), "early")
		}
		<-release
	})
	defer close(release)
	c := link.New(link.Config{})
	long := request("1", true)
	long.Body = []byte(strings.Repeat("x", 8<<20))
	got, err := do(t, c, address, long)
	assert.NilError(t, err)
	assert.Equal(t, got, "early")
	got, err = do(t, c, address, request("2", true))
	assert.NilError(t, err)
	assert.Equal(t, got, "second")
	assert.Equal(t, c.Opened(), uint64(2))
}

// Guards against a process that keeps a connection to each of thousands of servers until
// it has no descriptor left for callers.
func TestKeptConnectionsAreBounded(t *testing.T) {
	const most = 2
	c := link.New(link.Config{Most: most, Idle: time.Minute})
	var addresses []string
	for range 4 {
		addresses = append(addresses, listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for rq, _ := receive(r); rq != nil; rq, _ = receive(r) {
				respond(c, rq.Header.Get("Id"), "one")
			}
		}))
	}
	ask := func(all []string) uint64 {
		before := c.Opened()
		for _, address := range all {
			_, err := do(t, c, address, request("1", true))
			assert.NilError(t, err)
		}
		return c.Opened() - before
	}
	assert.Equal(t, ask(addresses), uint64(4))
	assert.Equal(t, ask(addresses), uint64(4-most)) // two were kept
	for _, address := range addresses {
		c.Drop(address)
	}
	assert.Equal(t, ask(addresses), uint64(4))
	assert.Equal(t, ask(addresses[:most]), uint64(0)) // as many again after the first have gone
}

// Guards against a request on a connection that its server has closed.
func TestClosedIdleConnection(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		rq, _ := receive(r)
		if rq != nil {
			respond(c, rq.Header.Get("Id"), "one")
		}
	})
	c := link.New(link.Config{})
	for range 3 {
		_, err := do(t, c, address, request("1", true))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, c.Opened(), uint64(3))
}

// Guards against work that goes on at a server after the caller has left.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		receive(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := link.New(link.Config{}).Do(ctx, address, request("1", true))
	assert.Equal(t, fault.CodeOf(err), fault.Cancelled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection stays open")
	}
}
