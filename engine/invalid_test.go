package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

// startRaw runs a server that answers each request with an answer, and keeps its connections open.
func startRaw(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					rq, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, rq.Body)
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// calls are the calls to an engine.
var calls = map[string]func(ctx context.Context, c *engine.Client, address string) error{
	"job": func(ctx context.Context, c *engine.Client, address string) error {
		a, err := c.Generate(ctx, engine.Job{Route: []engine.Stage{{Address: address}}})
		if err == nil {
			a.Close()
		}
		return err
	},
	"load": func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Load(ctx, address)
		return err
	},
	"cancel": func(ctx context.Context, c *engine.Client, address string) error {
		return c.Cancel(ctx, address, engine.AttemptID{})
	},
	"events": func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Events(ctx, address, 0)
		return err
	},
	"export": func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Export(ctx, address, "r")
		return err
	},
	"import": func(ctx context.Context, c *engine.Client, address string) error {
		return c.Import(ctx, address, engine.Import{})
	},
	"order": func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.Order(ctx, address, engine.Order{}, func() error { return nil })
		return err
	},
	"order status": func(ctx context.Context, c *engine.Client, address string) error {
		_, err := c.OrderStatus(ctx, address)
		return err
	},
}

// checkDamaged checks that each call fails at once on an answer, as one that may have run.
func checkDamaged(t *testing.T, answer string) {
	t.Helper()
	address := startRaw(t, answer)
	for name, call := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		begun := time.Now()
		err := call(ctx, engine.New(engine.Config{}), address)
		cancel()
		assert.Check(t, err != nil, name)
		assert.Check(t, err == nil || fault.VerdictOf(err) == fault.MayHaveRun, "%s: %v", name, err)
		assert.Check(t, time.Since(begun) < time.Second, "%s ended only after %v", name, time.Since(begun))
	}
}

// Guards against a status that is none, and against the statement of such an answer that the engine has not run the job.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-01", "-00", "600", "999", "1000", "20", "abc", "101"} {
		for _, line := range []string{"", engine.NotRunHeader + ": true\r\n"} {
			t.Run(fmt.Sprintf("%q, %q", status, line), func(t *testing.T) {
				checkDamaged(t, "HTTP/1.1 "+status+" x\r\n"+line+"Content-Length: 2\r\n\r\n{}")
			})
		}
	}
}

// Guards against heads that another process would read differently, or whose framing can be read in two ways.
func TestInvalidHeads(t *testing.T) {
	for name, lines := range map[string]string{
		"negative length": "Content-Length: -2\r\n", "different lengths": "Content-Length: 2\r\nContent-Length: 3\r\n", "list of lengths": "Content-Length: 2, 2\r\n",
		"negative length and chunks": "Content-Length: -1\r\nTransfer-Encoding: chunked\r\n", "blank in a name": "X Y: z\r\nContent-Length: 2\r\n",
		"blank after the length": "Content-Length : 2\r\n", "NUL in a value": "X: a\x00b\r\nContent-Length: 2\r\n",
		"carriage return in a value": "X: a\rY: b\r\nContent-Length: 2\r\n", "control character": "X: a\x01b\r\nContent-Length: 2\r\n",
		"not run, blank in a name": engine.NotRunHeader + ": true\r\nX Y: z\r\nContent-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkDamaged(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\n{}") })
	}
}

// Guards against the body of an answer that has none, which is taken for the answer to the next request on the connection.
func TestBodyOfAnswerWithoutBody(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"slots\":7,\"boot\":\"strayed\"}  "
	for _, status := range []int{204, 304} {
		address := startRaw(t, fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(stray), stray))
		c := engine.New(engine.Config{})
		var strayed atomic.Int32
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 250 {
					if _, err := c.Load(t.Context(), address); err == nil {
						strayed.Add(1)
					}
				}
			})
		}
		callers.Wait()
		assert.Equal(t, strayed.Load(), int32(0), "status %d", status)
	}
}
