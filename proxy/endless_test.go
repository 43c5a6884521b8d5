package proxy

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

// endlessHeads are heads of answers that a faulty server continues until the connection closes.
var endlessHeads = map[string]struct{ begin, repeated string }{
	"lines":   {"HTTP/1.1 200 OK\r\n", "X-Line: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
	"line":    {"HTTP/1.1 200 OK\r\nX-Line: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
	"interim": {"", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
	"status":  {"HTTP/1.1 200 ", "OKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOKOK"},
}

// listenEndless starts a server that answers each call with a head without end. written counts the bytes that
// its connections took.
func listenEndless(t *testing.T, begin, repeated string) (address string, written *atomic.Int64) {
	t.Helper()
	written = new(atomic.Int64)
	return listen(t, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(64 << 10)
		}
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		_, err := io.WriteString(c, begin)
		for n := 0; err == nil; written.Add(int64(n)) {
			n, err = io.WriteString(c, repeated)
		}
	}), written
}

// TestEndlessHeads guards against a faulty server whose heads without end take all the memory of a process: each
// call kept 10 MB.
func TestEndlessHeads(t *testing.T) {
	const most = 4 << 20 // bytes for one call, mostly in the buffers of the kernel
	calls := map[string]func(ctx context.Context, address string) error{
		"call": func(ctx context.Context, address string) error {
			_, err := New(Config{}).Do(ctx, address, order)
			return err
		},
		"job": func(ctx context.Context, address string) error {
			_, err := engine.New(engine.Config{}).Generate(ctx, engine.Job{Route: []engine.Stage{{Address: address}}})
			return err
		},
		"load": func(ctx context.Context, address string) error {
			_, err := engine.New(engine.Config{}).Load(ctx, address)
			return err
		},
		"order": func(ctx context.Context, address string) error {
			_, err := engine.New(engine.Config{}).Order(ctx, address, engine.Order{}, func() error { return nil })
			return err
		},
	}
	for head, x := range endlessHeads {
		for name, call := range calls {
			t.Run(head+"/"+name, func(t *testing.T) {
				address, written := listenEndless(t, x.begin, x.repeated)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				begun := time.Now()
				err := call(ctx, address)
				assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
				assert.Assert(t, time.Since(begun) < 5*time.Second, "the call ended only after %v", time.Since(begun))
				assert.Assert(t, written.Load() < most, "%d bytes were read", written.Load())
			})
		}
	}
}
