package plat

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/table"
)

// startRaw runs a service of the platform that answers each call with a reply, and keeps its connections open.
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

// checkDamaged checks that each call fails at once on a reply, and that the result of a commit is unknown.
func checkDamaged(t *testing.T, reply string) {
	t.Helper()
	cfg := Config{Address: startRaw(t, reply)}
	var b table.Batch
	b.Put("a", nil)
	for name, x := range map[string]struct {
		call func(ctx context.Context) error
		want error
	}{
		"get":     {func(ctx context.Context) error { _, err := NewTableClient(cfg).Get(ctx, "a"); return err }, table.ErrUnavailable},
		"scan":    {func(ctx context.Context) error { _, err := NewTableClient(cfg).Scan(ctx, "a", "", 9); return err }, table.ErrUnavailable},
		"commit":  {func(ctx context.Context) error { _, err := NewTableClient(cfg).Commit(ctx, b); return err }, table.ErrUnknown},
		"object":  {func(ctx context.Context) error { _, err := NewObjectClient(cfg).Get(ctx, "a"); return err }, object.ErrUnavailable},
		"put":     {func(ctx context.Context) error { return NewObjectClient(cfg).Put(ctx, "a", nil) }, object.ErrUnavailable},
		"list":    {func(ctx context.Context) error { _, err := NewObjectClient(cfg).List(ctx, "a"); return err }, object.ErrUnavailable},
		"VMs":     {func(ctx context.Context) error { _, err := NewVMList(cfg).Read(ctx); return err }, nil},
		"weights": {func(ctx context.Context) error { _, err := NewWeightStore(cfg).ReadLimits(ctx); return err }, nil},
	} {
		begun := time.Now()
		err := x.call(t.Context())
		assert.Check(t, err != nil, name)
		assert.Check(t, x.want == nil || errors.Is(err, x.want), "%s: %v", name, err)
		assert.Check(t, time.Since(begun) < time.Second, "%s ended only after %v", name, time.Since(begun))
	}
}

// soundReply can be decoded by each call.
const soundReply = `{"rows":[{"key":"a","value":"eA==","revision":3}],"revision":4,"keys":["a"],"vms":[],"rate":1}`

// Guards against a status that is none and that counts as a success, or as the assurance that a commit was not applied.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-01", "-00", "600", "999", "1000", "20", "abc", "101"} {
		t.Run(status, func(t *testing.T) {
			checkDamaged(t, fmt.Sprintf("HTTP/1.1 %s x\r\nContent-Length: %d\r\n\r\n%s", status, len(soundReply), soundReply))
		})
	}
}

// Guards against heads that another process would read differently, or whose framing can be read in two ways.
func TestInvalidHeads(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(soundReply))
	for name, lines := range map[string]string{
		"negative length": "Content-Length: -2\r\n", "different lengths": length + "Content-Length: 3\r\n", "negative length and chunks": "Content-Length: -1\r\nTransfer-Encoding: chunked\r\n",
		"blank in a name": "X Y: z\r\n" + length, "NUL in a value": "X: a\x00b\r\n" + length, "carriage return in a value": "X: a\rY: b\r\n" + length, "control character": "X: a\x01b\r\n" + length,
	} {
		t.Run(name, func(t *testing.T) { checkDamaged(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\n"+soundReply) })
	}
	t.Run("blank after the encoding", func(t *testing.T) {
		checkDamaged(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n%s\r\n%s", length, soundReply))
	})
}

// Guards against the body of a reply that has none, which is taken for the reply to the next call on the connection.
func TestBodyOfReplyWithoutBody(t *testing.T) {
	stray := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(soundReply), soundReply)
	var b table.Batch
	b.Put("a", nil)
	for _, status := range []int{204, 304} {
		c := NewTableClient(Config{Address: startRaw(t, fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(stray), stray))})
		var strayed atomic.Int32
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 250 {
					if _, err := c.Commit(t.Context(), b); err == nil {
						strayed.Add(1)
					}
				}
			})
		}
		callers.Wait()
		assert.Equal(t, strayed.Load(), int32(0), "status %d", status)
	}
}
