package heads

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzHeads guards against input of clients after which a charge or a connection stays in the account, and against a
// request that is refused as not run although it was handled.
func FuzzHeads(f *testing.F) {
	short := strings.Repeat("a:\r\n", 1000)
	for _, text := range []string{
		head("/", short+"Content-Length: 9\r\n"), head("/", "Content-Length: 0\r\n"+short),
		strings.Repeat(head("/", "Content-Length: 0\r\n"+short[:2000]), 5), "POST / HTTP/1.1\r\n" + short, "",
		head("/", "a: b\r\n"+strings.Repeat(" c\r\n", 500)),
		head("/", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n" + short[:3000] + "\r\n",
		head("/", "Transfer-Encoding: chunked\r\n") + strings.Repeat("1;"+strings.Repeat("x", 500)+"\r\nb\r\n", 40) + "0\r\n\r\n",
		head("/", "Transfer-Encoding: chunked\r\nTrailer: "+strings.Repeat("a,", 1000)+"\r\n") + "0\r\n\r\n" + head("/", short),
		head("/", "Content-Length: 4\r\nExpect: 100-continue\r\n") + "body" + head("/", ""),
		"GET / HTTP/1.0\nHost: h\n\nGET /", "\r\n\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", head("/", "Connection: "+strings.Repeat("a,", 3000)+"\r\n"),
	} {
		f.Add([]byte(text), uint16(0))
		f.Add([]byte(text), uint16(1))
		f.Add([]byte(text), uint16(97))
	}
	x := serve(f, Config{Bytes: 256 << 10, Conns: 4})
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		for len(x.handled) > 0 {
			<-x.handled
		}
		for len(x.trailer) > 0 {
			<-x.trailer
		}
		text = text[:min(len(text), 64<<10)]
		c, err := net.Dial("unix", x.address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		go func() {
			for size := int(piece); len(text) > 0; {
				n := len(text)
				if size > 0 {
					n = min(n, max(size, len(text)/100))
				}
				if _, err := c.Write(text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
			_ = c.(*net.UnixConn).CloseWrite()
		}()
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		served, last := 0, 0
		in := bufio.NewReader(c)
		for {
			rs, err := http.ReadResponse(in, nil)
			if err != nil {
				assert.Check(t, !isTimeout(err), "no response and no close: %v", err)
				break
			}
			_, _ = io.Copy(io.Discard, rs.Body)
			assert.Check(t, last != http.StatusServiceUnavailable, "a response follows a refusal")
			if last = rs.StatusCode; last == http.StatusOK {
				served++
			}
		}
		for end := time.Now().Add(10 * time.Second); x.account.Held() != 0 || x.account.Conns() != 0; time.Sleep(100 * time.Microsecond) {
			assert.Assert(t, time.Now().Before(end), "%d bytes and %d connections stay in the account", x.account.Held(), x.account.Conns())
		}
		assert.Check(t, last != http.StatusServiceUnavailable || len(x.handled) == served, "%d requests were handled, %d served, and one was refused", len(x.handled), served)
	})
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
