package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// Guards against a status that is none and that the caller gets, or that ends its connection: an order ends as 502, and a
// lookup goes to another server.
func TestInvalidStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 0)
		s.services = []*fakes.Service{fakes.NewService(), fakes.NewService()} // tell updateFleet of the servers
		faulty, sound := &cutServer{}, &cutServer{}
		sound.set(cutAnswers["length"])
		for i, server := range []*cutServer{faulty, sound} {
			l := s.listen(fmt.Sprintf("desk-%d", i))
			defer l.Close()
			go server.serve(l)
		}
		n := s.start(t)
		time.Sleep(time.Second)
		for _, status := range []string{"000", "001", "099", "-01", "600", "999", "1000", "abc", "101"} {
			faulty.set("HTTP/1.1 " + status + " x\r\nX-Not-Run: true\r\nContent-Length: 12\r\n\r\ndamaged text")
			for range 4 { // either server may be chosen first
				rs, text, err := s.call(context.Background(), n.name, "POST", "/services/desk/orders", "order")
				assert.NilError(t, err, status)
				if rs.StatusCode == 200 {
					assert.Equal(t, text, "booked table", status)
				} else {
					assert.Equal(t, rs.StatusCode, http.StatusBadGateway, status)
					assert.Equal(t, decodeProblem(t, rs, text).Verdict, "may-have-run", status)
				}
				rs, text, err = s.call(context.Background(), n.name, "POST", "/services/desk/lookup/1", "lookup")
				assert.NilError(t, err, status)
				assert.Equal(t, rs.StatusCode, 200, "%s: %s", status, text)
				assert.Equal(t, text, "booked table")
				time.Sleep(10 * time.Second) // budgets of retries and suspicions recover
			}
		}
	})
}

// Guards against a request that is refused before its body was read, and that is never answered since the body does not
// arrive.
func TestRefusedRequestWithoutItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		for name, head := range map[string]string{
			"no key": "POST /services/desk/orders HTTP/1.1\r\nHost: x\r\n", "no path": "POST /x HTTP/1.1\r\nHost: x\r\n",
			"no service": "POST /services/x/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n",
		} {
			c, err := s.dial(t.Context(), "", n.name)
			assert.NilError(t, err)
			defer c.Close()
			begun := time.Now()
			_, err = io.WriteString(c, head+"Content-Length: 4\r\n\r\n")
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(begun.Add(time.Hour)))
			rs, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err, name)
			assert.Assert(t, rs.StatusCode >= 400, "%s: status %d", name, rs.StatusCode)
			assert.Assert(t, time.Since(begun) < time.Minute, "%s: answered after %v", name, time.Since(begun))
		}
	})
}
