package link_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/quota"
)

// pour writes bytes until the other side closes, and returns how many it took.
func pour(w io.Writer, unit string) (n int64) {
	b := []byte(strings.Repeat(unit, 1+4096/len(unit)))
	for {
		m, err := w.Write(b)
		n += int64(m)
		if err != nil {
			return n
		}
	}
}

// drip writes a byte now and then until the other side closes.
func drip(w io.Writer, text string) {
	for i := 0; ; i++ {
		if _, err := w.Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkGivenUp checks that an exchange fails within a time, with the verdict of a
// request that may have run.
func checkGivenUp(t *testing.T, c *link.Client, address string, within time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	begun := time.Now()
	ans, err := c.Do(ctx, address, request("1", true))
	if err == nil {
		_, _, err = quota.New(1<<20).Read(ans.Body, 64<<10)
		_ = ans.Body.Close()
	}
	assert.Assert(t, err != nil)
	if !errors.Is(err, quota.ErrTooLong) {
		assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun, "%v", err)
	}
	assert.Assert(t, time.Since(begun) < within, "%v: %v", time.Since(begun), err)
}

// Guards against answers without an end, as servers in trouble send: one that sent
// header lines took a process to 531 MB within 5 s. The server must see the connection
// closed after little more than the bound.
func TestAnswersWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, send := range map[string]func(w io.Writer) int64{
		"status line": func(w io.Writer) int64 { return pour(w, "H") },
		"header lines": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok)
			return pour(w, "X: y\r\n")
		},
		"header line": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"X: ")
			return pour(w, "y")
		},
		"interim answers": func(w io.Writer) int64 { return pour(w, "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"other answers":   func(w io.Writer) int64 { return pour(w, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nbody") },
		"long other answer": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n")
			return pour(w, "body")
		},
		"body without a length": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"\r\n")
			return pour(w, "body")
		},
		"chunks": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n")
			return pour(w, "4\r\nbody\r\n")
		},
		"chunk extension": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n4;")
			return pour(w, "x")
		},
		"chunk extensions": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n")
			return pour(w, "1;"+strings.Repeat("x", 2000)+"\r\nb\r\n")
		},
		"trailers": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n")
			return pour(w, "X: y\r\n")
		},
		"bytes before the answer": func(w io.Writer) int64 { return pour(w, "\x00\xff") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			took := make(chan int64, 4)
			address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if rq, _ := receive(r); rq != nil {
					took <- send(c)
				}
			})
			checkGivenUp(t, link.New(link.Config{}), address, 3*time.Second)
			select {
			case n := <-took:
				// What the kernel buffers on the way is not held by the process.
				assert.Assert(t, n < 16<<20, "the server sent %d bytes", n)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// Guards against a head that never ends although its bytes are few.
func TestDrippingHead(t *testing.T) {
	for name, text := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy", "garbage": "x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if rq, _ := receive(r); rq != nil {
					drip(c, text)
				}
			})
			checkGivenUp(t, link.New(link.Config{}), address, 4*time.Second)
		})
	}
}

// Guards against many servers that send without end and together take the memory of a
// VM: 64 exchanges at once, each with a head without end, and answers that are held
// under one quota of 8 MB.
func TestMemoryOfAnswersWithoutEnd(t *testing.T) {
	const exchanges, most = 64, 8 << 20
	address := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		rq, _ := receive(r)
		switch {
		case rq == nil:
		case n%2 == 0:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n")
			pour(c, "X: y\r\n")
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")
			pour(c, "body")
		}
	})
	q := quota.New(most)
	var peak atomic.Uint64
	stop := make(chan struct{})
	var watch, all sync.WaitGroup
	watch.Go(func() {
		var m runtime.MemStats
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				runtime.ReadMemStats(&m)
				peak.Store(max(peak.Load(), m.HeapAlloc))
			}
		}
	})
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	c := link.New(link.Config{})
	for range exchanges {
		all.Go(func() {
			ans, err := c.Do(t.Context(), address, request("1", false))
			if err != nil {
				return
			}
			_, free, _ := q.Read(ans.Body, 4<<20)
			_ = ans.Body.Close()
			time.Sleep(10 * time.Millisecond)
			free()
		})
	}
	all.Wait()
	close(stop)
	watch.Wait()
	grown := int64(peak.Load()) - int64(before.HeapAlloc)
	t.Logf("%d answers without end took %d KB of heap at most", exchanges, grown>>10)
	assert.Assert(t, grown < 4*most, "%d MB", grown>>20)
}

// Guards against a good answer that the bounds refuse: the longest head that servers
// may send, with many lines.
func TestLongestHead(t *testing.T) {
	lines := strings.Repeat("X-Line: "+strings.Repeat("y", 100)+"\r\n", 90)
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			rq, _ := receive(r)
			if rq == nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+lines+"Content-Length: 4\r\n\r\nbody")
		}
	})
	c := link.New(link.Config{})
	for range 3 {
		got, err := do(t, c, address, request("1", true))
		assert.NilError(t, err)
		assert.Equal(t, got, "body")
	}
	assert.Equal(t, c.Opened(), uint64(1))
}

// Guards against a panic, or an answer that is taken for good, on the bytes of a server
// in trouble.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nbody\r\n0\r\nT: u\r\n\r\n", "\x00\x01\x02", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		go func() {
			r := bufio.NewReader(far)
			if rq, _ := receive(r); rq != nil {
				_, _ = far.Write(raw)
			}
			_ = far.Close()
		}()
		c := link.New(link.Config{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ans, err := c.Do(ctx, "x", request("1", false))
		if err != nil {
			return
		}
		_, _, _ = quota.New(1<<20).Read(ans.Body, 64<<10)
		_ = ans.Body.Close()
		_ = far.Close()
		assert.Assert(t, ans.Status >= http.StatusSwitchingProtocols, "status %d", ans.Status)
		assert.Assert(t, ans.Header.Get("Id") == "1", "an answer of another request")
	})
}

// BenchmarkExchange measures a kept connection with a short answer, so that a cost of
// the bounds shows.
func BenchmarkExchange(b *testing.B) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		for r := bufio.NewReader(c); ; {
			if rq, _ := receive(r); rq == nil {
				return
			}
			respond(c, "1", "body")
		}
	}()
	c := link.New(link.Config{})
	b.ReportAllocs()
	for b.Loop() {
		ans, err := c.Do(b.Context(), ln.Addr().String(), request("1", true))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, ans.Body)
		_ = ans.Body.Close()
	}
}
