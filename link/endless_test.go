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

// writeForever writes until the other side closes the connection, and returns the number of
// bytes written.
func writeForever(w io.Writer, unit string) (n int64) {
	b := []byte(strings.Repeat(unit, 1+4096/len(unit)))
	for {
		m, err := w.Write(b)
		n += int64(m)
		if err != nil {
			return n
		}
	}
}

// writeSlowly writes a byte every 50 ms until the other side closes the connection.
func writeSlowly(w io.Writer, text string) {
	for i := 0; ; i++ {
		if _, err := w.Write([]byte{text[i%len(text)]}); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkFails checks that an exchange fails within a time, with the verdict of a request that
// may have run.
func checkFails(t *testing.T, c *link.Client, address string, within time.Duration) {
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

// Faulty servers may send answers without end: header lines without end took a process to
// 531 MB within 5 s. The client must close the connection soon after the limit.
func TestEndlessAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for name, sendAnswer := range map[string]func(w io.Writer) int64{
		"status line": func(w io.Writer) int64 { return writeForever(w, "H") },
		"header lines": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok)
			return writeForever(w, "X: y\r\n")
		},
		"header line": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"X: ")
			return writeForever(w, "y")
		},
		"interim answers": func(w io.Writer) int64 { return writeForever(w, "HTTP/1.1 103 Early Hints\r\n\r\n") },
		"other answers": func(w io.Writer) int64 {
			return writeForever(w, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nbody")
		},
		"long other answer": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n")
			return writeForever(w, "body")
		},
		"body without a length": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"\r\n")
			return writeForever(w, "body")
		},
		"chunks": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n")
			return writeForever(w, "4\r\nbody\r\n")
		},
		"chunk extension": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n4;")
			return writeForever(w, "x")
		},
		"chunk extensions": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n")
			return writeForever(w, "1;"+strings.Repeat("x", 2000)+"\r\nb\r\n")
		},
		"trailers": func(w io.Writer) int64 {
			_, _ = io.WriteString(w, ok+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n")
			return writeForever(w, "X: y\r\n")
		},
		"bytes before the answer": func(w io.Writer) int64 { return writeForever(w, "\x00\xff") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int64, 4)
			address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if rq, _ := receive(r); rq != nil {
					sent <- sendAnswer(c)
				}
			})
			checkFails(t, link.New(link.Config{}), address, 3*time.Second)
			select {
			case n := <-sent:
				// The server can send more than the limit, because the kernels buffer some of it.
				assert.Assert(t, n < 16<<20, "the server sent %d bytes", n)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// A head that arrives too slowly must fail, even if it stays below the limit of bytes.
func TestSlowHead(t *testing.T) {
	for name, text := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy", "garbage": "x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if rq, _ := receive(r); rq != nil {
					writeSlowly(c, text)
				}
			})
			checkFails(t, link.New(link.Config{}), address, 4*time.Second)
		})
	}
}

// Guards against an exchange that waits for the rest of an answer to another request.
func TestOtherAnswerIsCutShort(t *testing.T) {
	t.Parallel()
	address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if rq, _ := receive(r); rq != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 100\r\n\r\nhalf")
			_, _ = receive(r)
		}
	})
	checkFails(t, link.New(link.Config{}), address, 4*time.Second)
}

// Many endless answers at once must not exhaust the memory of a VM: 64 exchanges, half of
// them with an endless head and half with an endless body, which are read under one quota
// of 8 MB.
func TestMemoryOfAnswersWithoutEnd(t *testing.T) {
	const exchanges, quotaBytes = 64, 8 << 20
	address := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		rq, _ := receive(r)
		switch {
		case rq == nil:
		case n%2 == 0:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n")
			writeForever(c, "X: y\r\n")
		default:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")
			writeForever(c, "body")
		}
	})
	q := quota.New(quotaBytes)
	var peak atomic.Uint64
	stop := make(chan struct{})
	var sampler, requests sync.WaitGroup
	sampler.Go(func() {
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
		requests.Go(func() {
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
	requests.Wait()
	close(stop)
	sampler.Wait()
	grown := int64(peak.Load()) - int64(before.HeapAlloc)
	t.Logf("%d answers without end took %d KB of heap at most", exchanges, grown>>10)
	assert.Assert(t, grown < 4*quotaBytes, "%d MB", grown>>20)
}

// A valid answer with a long head of many lines, within the limits, must be accepted.
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

// Arbitrary bytes from a server must neither cause a panic nor be accepted as the answer to
// another request, whether or not the connection has carried a refusal of an earlier one.
func FuzzAnswer(f *testing.F) {
	const refusal, answer = "HTTP/1.1 503 x\r\nId: 0\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
	for _, s := range []string{
		"", answer, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nbody\r\n0\r\nT: u\r\n\r\n", "\x00\x01\x02", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		refusal + answer, refusal + refusal + answer, answer + refusal, strings.Replace(refusal, "Id: 0\r\n", "", 1) + answer, refusal + "x" + answer,
	} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	for _, s := range damagedAnswers() {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, raw []byte, used bool) {
		near, far := net.Pipe()
		go func() {
			r := bufio.NewReader(far)
			if rq, _ := receive(r); rq != nil && used {
				_, _ = io.WriteString(far, refusal)
				_, _ = receive(r)
			}
			_, _ = far.Write(raw)
			_ = far.Close()
		}()
		c := link.New(link.Config{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if used {
			ans, err := c.Do(ctx, "x", request("0", true))
			assert.NilError(t, err)
			assert.NilError(t, ans.Body.Close())
		}
		rq := request("1", used)
		if isThis := rq.Origin; used {
			rq.Origin = func(h http.Header) link.Origin {
				if h.Get("Id") == "" {
					return link.OriginUnknown
				}
				return isThis(h)
			}
		}
		ans, err := c.Do(ctx, "x", rq)
		if err != nil {
			return
		}
		_, _, _ = quota.New(1<<20).Read(ans.Body, 64<<10)
		_ = ans.Body.Close()
		_ = far.Close()
		assert.Assert(t, ans.Status >= http.StatusOK && ans.Status <= 599, "status %d", ans.Status)
		for name, values := range ans.Header {
			assert.Assert(t, !strings.ContainsAny(name, " \x00\r\n"), "header name %q", name)
			for _, v := range values {
				assert.Assert(t, !strings.ContainsAny(v, "\x00\r\n"), "header value %q", v)
			}
		}
		assert.Assert(t, ans.Header.Get("Id") == "1", "an answer of another request")
	})
}

// BenchmarkExchange measures short answers on a reused connection, which shows the cost of
// the limits on answers.
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
