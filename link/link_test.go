package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/link"
)

// listen runs a server that handles each connection with a function and returns its address.
// The connections are numbered from 1.
func listen(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) string {
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
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// receive reads one request with its body. It returns a nil request on an error.
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

// respond writes an answer to the request with an id.
func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// request returns a request that accepts only answers with its id.
func request(id string, allowReuse bool) *link.Request {
	return &link.Request{
		Method: "POST", Target: "/x?a=%2F", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), AllowReuse: allowReuse,
		Origin: func(h http.Header) link.Origin {
			if h.Get("Id") == id {
				return link.OriginThis
			}
			return link.OriginOther
		},
	}
}

// do sends a request and returns the body of its answer.
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

// The target and the body reach the server unchanged, and requests that allow it share a
// connection.
func TestConnectionReuse(t *testing.T) {
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

// A server that answers a request twice must not cause the second answer to be taken for
// that of the next request on the connection.
func TestDuplicateAnswer(t *testing.T) {
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

// Guards against reuse of a connection on which the server is out of step.
func TestConnectionOutOfStepIsClosed(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for n := 1; ; n++ {
			rq, _ := receive(r)
			if rq == nil {
				return
			}
			if n == 2 {
				respond(c, "1", "again")
			}
			respond(c, rq.Header.Get("Id"), "answer")
		}
	})
	c := link.New(link.Config{})
	for i, opened := range []uint64{1, 1, 2} {
		_, err := do(t, c, address, request(strconv.Itoa(i+1), true))
		assert.NilError(t, err)
		assert.Equal(t, c.Opened(), opened)
	}
}

// A body that is shorter than its stated length must be reported as an error.
func TestTruncatedAnswer(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		receive(r)
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf")
	})
	_, err := do(t, link.New(link.Config{}), address, request("1", true))
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
}

// A request that reached a server may have run, and one without a connection has not run.
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

// When a server answers before it has read a long body, the connection must not be reused:
// the rest of the body would be taken for the start of the next request.
func TestAnswerBeforeBodyWasRead(t *testing.T) {
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

// Idle connections to all servers together are limited. Without the limit, a process with
// thousands of servers runs out of file descriptors for its callers.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const maxIdle = 2
	c := link.New(link.Config{MaxIdle: maxIdle, IdleTimeout: time.Minute})
	var addresses []string
	for range 4 {
		addresses = append(addresses, listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for rq, _ := receive(r); rq != nil; rq, _ = receive(r) {
				respond(c, rq.Header.Get("Id"), "one")
			}
		}))
	}
	connectionsOpened := func(addresses []string) uint64 {
		before := c.Opened()
		for _, address := range addresses {
			_, err := do(t, c, address, request("1", true))
			assert.NilError(t, err)
		}
		return c.Opened() - before
	}
	assert.Equal(t, connectionsOpened(addresses), uint64(4))
	assert.Equal(t, connectionsOpened(addresses), uint64(4-maxIdle)) // two connections were reused
	for _, address := range addresses {
		c.CloseIdle(address)
	}
	assert.Equal(t, connectionsOpened(addresses), uint64(4))
	assert.Equal(t, connectionsOpened(addresses[:maxIdle]), uint64(0)) // closed idle connections no longer count towards the limit
}

// A request must not be sent on an idle connection that the server has closed.
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

// Cancelling a request must close its connection, so that the server stops working on it.
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

// Guards against an answer that ends with its connection and passes for one whose end is marked.
func TestUnframedAnswer(t *testing.T) {
	for head, want := range map[string]bool{"": true, "Content-Length: 2\r\n": false, "Transfer-Encoding: chunked\r\n": false} {
		address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
			receive(r)
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head+"\r\n")
		})
		ans, err := link.New(link.Config{}).Do(t.Context(), address, request("1", true))
		assert.NilError(t, err)
		assert.Equal(t, ans.Unframed, want, "%q", head)
		assert.NilError(t, ans.Body.Close())
	}
}

// Guards against a request that is given up because its server says at once that it goes on, and takes longer
// for the answer than for a head.
func TestSilenceAfterAnInterimAnswer(t *testing.T) {
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if rq, _ := receive(r); rq != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			time.Sleep(2500 * time.Millisecond)
			respond(c, rq.Header.Get("Id"), "late")
		}
	})
	ans, err := link.New(link.Config{}).Do(t.Context(), address, request("1", false))
	assert.NilError(t, err)
	body, err := io.ReadAll(ans.Body)
	assert.NilError(t, err)
	assert.NilError(t, ans.Body.Close())
	assert.Equal(t, string(body), "late")
}
