package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// recordingServer is a server of service "desk" that keeps the requests that it reads from its connections.
type recordingServer struct {
	mu       sync.Mutex
	requests []string // method, target, body
}

func (s *recordingServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			for r := bufio.NewReader(c); ; {
				rq, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(rq.Body)
				s.mu.Lock()
				s.requests = append(s.requests, fmt.Sprint(rq.Method, " ", rq.RequestURI, " ", string(body), strings.Join(rq.TransferEncoding, "")))
				s.mu.Unlock()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// Guards against a request that reaches a plain service inside another one.
func TestRequestsAreForwardedOneByOne(t *testing.T) {
	const head = "POST /services/desk/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n"
	const hidden = "GET /services/desk/hidden HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n"
	const refused = "" // no request
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 0)
		s.services = []*fakes.Service{fakes.NewService()} // tells updateFleet of the server
		server, l := &recordingServer{}, s.listen("desk-0")
		defer l.Close()
		go server.serve(l)
		n := s.start(t)
		time.Sleep(time.Second)
		for name, x := range map[string]struct{ raw, want string }{
			"length":                     {head + "Content-Length: 4\r\n\r\nbody", "POST /orders body"},
			"request in a body":          {head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden, "POST /orders " + hidden},
			"request in a chunk":         {head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(hidden)) + hidden + "\r\n0\r\n\r\n", "POST /orders " + hidden},
			"two requests":               {head + "Content-Length: 4\r\n\r\nbody" + hidden, "POST /orders body|GET /hidden "},
			"negative length":            {head + "Content-Length: -4\r\n\r\nbody", refused},
			"equal lengths":              {head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "POST /orders body"},
			"different lengths":          {head + "Content-Length: 4\r\nContent-Length: 0\r\n\r\nbody" + hidden, refused},
			"length and chunks":          {head + "Content-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "POST /orders body"},
			"chunks twice":               {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", refused},
			"length named by Connection": {head + "Connection: Content-Length, Host\r\nContent-Length: 4\r\n\r\nbody", "POST /orders body"},
			"blank in a name":            {head + "X Y: z\r\n\r\n", refused},
			"blank after the encoding":   {head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", refused},
			"NUL in a value":             {head + "X: a\x00b\r\n\r\n", refused},
			"carriage return in a value": {head + "X: a\rContent-Length: 9\r\n\r\n", refused},
			"control character":          {head + "X: a\x01b\r\n\r\n", refused},
			"encoded line in the target": {strings.Replace(head, "/orders", "/orders%0d%0aX:%20y", 1) + "\r\n", "POST /orders%0d%0aX:%20y "},
			"trailer":                    {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n", "POST /orders body"},
			"upgrade":                    {head + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "POST /orders "},
		} {
			server.requests = nil
			c, err := s.dial(t.Context(), "", n.name)
			assert.NilError(t, err)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, _ = io.WriteString(c, x.raw) // a refusal may end the connection before the last byte
			time.Sleep(5 * time.Second)
			_ = c.Close()
			server.mu.Lock()
			got := strings.Join(server.requests, "|")
			server.mu.Unlock()
			assert.Check(t, got == x.want, "%s: %q, want %q", name, got, x.want)
		}
	})
}
