package link_test

import (
	"bufio"
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

// damageTimeout is how long an exchange may take to fail after a damaged head. It is shorter than the time-outs of the
// client, so that waiting for one of them is seen.
const damageTimeout = time.Second

// answering runs a server that answers the first request of each connection with an answer and reads on.
func answering(t *testing.T, answer string) string {
	return listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if rq, _ := receive(r); rq == nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_, _ = receive(r)
	})
}

// invalidStatuses are no statuses, beside 101, which no request asks for.
var invalidStatuses = []string{"000", "001", "099", "-01", "-00", "+99", "+20", "600", "999", "1000", "0200", "20", "2", "2x0", "abc", "", "101"}

// Guards against a status that is none and that is taken for an interim answer, which made the exchange wait until its
// time-out, or for the answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, after := range map[string]string{"": "Id: 1\r\nContent-Length: 4\r\n\r\nbody", ", then an answer": "\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"} {
			t.Run(fmt.Sprintf("%q%s", status, name), func(t *testing.T) {
				t.Parallel()
				checkFails(t, link.New(link.Config{}), answering(t, "HTTP/1.1 "+status+" x\r\n"+after), damageTimeout)
			})
		}
	}
	for _, status := range []int{200, 299, 404, 599} {
		got, err := do(t, link.New(link.Config{}), answering(t, fmt.Sprintf("HTTP/1.1 199 x\r\n\r\nHTTP/1.1 %d x\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody", status)), request("1", true))
		assert.NilError(t, err)
		assert.Equal(t, got, "body")
	}
}

const damaged = "" // no answer

// heads are header lines of answers with a body, and the body that the caller gets.
var heads = map[string]struct{ lines, body, want string }{
	"negative length":              {"Content-Length: -4\r\n", "body", damaged},
	"signed length":                {"Content-Length: +4\r\n", "body", damaged},
	"empty length":                 {"Content-Length: \r\n", "body", damaged},
	"length with a blank":          {"Content-Length: 4 4\r\n", "body", damaged},
	"huge length":                  {"Content-Length: 99999999999999999999\r\n", "body", damaged},
	"equal lengths":                {"Content-Length: 4\r\nContent-Length: 4\r\n", "body", "body"},
	"different lengths":            {"Content-Length: 4\r\nContent-Length: 3\r\n", "body", damaged},
	"list of lengths":              {"Content-Length: 4, 4\r\n", "body", damaged},
	"length and chunks":            {"Content-Length: 99\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
	"chunks and length":            {"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "4\r\nbody\r\n0\r\n\r\n", "body"},
	"negative length and chunks":   {"Content-Length: -1\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
	"chunks twice":                 {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
	"unknown encoding":             {"Transfer-Encoding: gzip, chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
	"negative chunk":               {"Transfer-Encoding: chunked\r\n", "-4\r\nbody\r\n0\r\n\r\n", damaged},
	"blank in a name":              {"X Y: z\r\nContent-Length: 4\r\n", "body", damaged},
	"blank after the length":       {"Content-Length : 4\r\n", "body", damaged},
	"blank after the encoding":     {"Transfer-Encoding : chunked\r\n", "4\r\nbody\r\n0\r\n\r\n", damaged},
	"tab after a name":             {"Content-Length\t: 4\r\n", "body", damaged},
	"empty name":                   {": x\r\nContent-Length: 4\r\n", "body", damaged},
	"no name":                      {"x\r\nContent-Length: 4\r\n", "body", damaged},
	"NUL in a name":                {"X\x00: y\r\nContent-Length: 4\r\n", "body", damaged},
	"NUL in a value":               {"X: a\x00b\r\nContent-Length: 4\r\n", "body", damaged},
	"carriage return in a value":   {"X: a\rContent-Length: 9\r\nContent-Length: 4\r\n", "body", damaged},
	"carriage return at the end":   {"X: a\r\r\nContent-Length: 4\r\n", "body", damaged},
	"control character in a value": {"X: a\x01b\r\nContent-Length: 4\r\n", "body", damaged},
	"delete character in a value":  {"X: a\x7fb\r\nContent-Length: 4\r\n", "body", damaged},
	"continuation line":            {"X: a\r\n b\r\nContent-Length: 4\r\n", "body", "body"},
	"bytes above ASCII":            {"X: \xff\xc3\xa9\r\nContent-Length: 4\r\n", "body", "body"},
}

// damagedAnswers returns answers with these heads, statuses and bodies, for the corpus of FuzzAnswer.
func damagedAnswers() []string {
	const stray = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nstray"
	var out []string
	for _, status := range invalidStatuses {
		out = append(out, "HTTP/1.1 "+status+" x\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody")
	}
	for _, x := range heads {
		out = append(out, "HTTP/1.1 200 OK\r\nId: 1\r\n"+x.lines+"\r\n"+x.body)
	}
	for _, status := range []int{103, 204, 304} {
		for _, id := range []string{"1", "2"} {
			for _, lines := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", len(stray)), "Transfer-Encoding: chunked\r\n", "Content-Length : 5\r\n"} {
				out = append(out, fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\n%s\r\n%s", status, id, lines, stray))
			}
		}
	}
	return append(out, strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 9)+stray)
}

// Guards against heads whose framing can be read in two ways, or whose lines another process would read differently.
func TestInvalidHeads(t *testing.T) {
	for name, x := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := answering(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+x.lines+"\r\n"+x.body)
			if x.want == damaged {
				checkFails(t, link.New(link.Config{}), address, damageTimeout)
				return
			}
			ans, err := link.New(link.Config{}).Do(t.Context(), address, request("1", true))
			assert.NilError(t, err)
			defer func() { _ = ans.Body.Close() }()
			b, err := io.ReadAll(ans.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(b), x.want)
			if ans.Length < 0 {
				assert.Equal(t, ans.Header.Get("Content-Length"), "")
			}
		})
	}
	t.Run("blank before the first name", func(t *testing.T) {
		checkFails(t, link.New(link.Config{}), answering(t, "HTTP/1.1 200 OK\r\n X: y\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"), damageTimeout)
	})
}

// Guards against the body of an answer that has none, which is taken for the answer itself or for the answer to the next
// request on the connection.
func TestBodyOfAnswerWithoutBody(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	stated := map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(stray), stray),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + stray,
		"none":   "\r\n" + stray,
	}
	for _, status := range []int{204, 304} {
		for framing, rest := range stated {
			for _, delay := range []time.Duration{0, 30 * time.Millisecond, -1} { // -1: with the next request
				t.Run(fmt.Sprintf("%d, %s, %v", status, framing, delay), func(t *testing.T) {
					t.Parallel()
					address := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
						rq, _ := receive(r)
						if rq == nil {
							return
						}
						if n > 1 {
							respond(c, rq.Header.Get("Id"), "answer")
							return
						}
						head, body, _ := strings.Cut(rest, "\r\n\r\n")
						if framing == "none" {
							head, body = "", stray
						} else {
							head += "\r\n"
						}
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: 1\r\n%s\r\n", status, head)
						if delay < 0 {
							_, _ = r.Peek(1)
						}
						time.Sleep(max(delay, 0))
						_, _ = io.WriteString(c, body)
						if rq, _ := receive(r); rq != nil {
							respond(c, rq.Header.Get("Id"), "answer")
						}
					})
					c := link.New(link.Config{})
					ans, err := c.Do(t.Context(), address, request("1", true))
					assert.NilError(t, err)
					assert.Equal(t, ans.Status, status)
					b, err := io.ReadAll(ans.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(b), "")
					assert.NilError(t, ans.Body.Close())
					rq := request("2", true)
					if framing == "none" { // nothing but the name of the request tells the bytes from an answer
						rq.Origin = func(h http.Header) link.Origin {
							if h.Get("Id") == "" {
								return link.OriginUnknown
							}
							return link.OriginThis
						}
					} else {
						rq.Origin = nil
					}
					got, err := do(t, c, address, rq)
					if framing == "none" && err != nil {
						assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
						return
					}
					assert.NilError(t, err)
					assert.Equal(t, got, "answer")
				})
			}
		}
	}
}

// Guards against an interim answer, or an answer to another request, whose body is taken for the answer.
func TestAnswerInsideAnother(t *testing.T) {
	const stray = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nstray"
	for name, head := range map[string]string{
		"interim, length":  fmt.Sprintf("103 x\r\nContent-Length: %d\r\n\r\n", len(stray)),
		"interim, chunks":  fmt.Sprintf("103 x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(stray)),
		"interim, blank":   "103 x\r\nContent-Length : 9\r\n\r\n",
		"no body, length":  fmt.Sprintf("204 x\r\nId: 2\r\nContent-Length: %d\r\n\r\n", len(stray)),
		"no body, chunks":  fmt.Sprintf("304 x\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(stray)),
		"invalid, no body": "600 x\r\nId: 2\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkFails(t, link.New(link.Config{}), answering(t, "HTTP/1.1 "+head+stray), damageTimeout)
		})
	}
}

// Guards against an exchange that goes on as long as the server sends interim answers.
func TestEndlessInterimAnswers(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		for _, status := range []int{100, 102, 103, 199} {
			t.Run(fmt.Sprintf("%d, %v", status, pause), func(t *testing.T) {
				t.Parallel()
				address := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
					rq, _ := receive(r)
					for err := error(nil); rq != nil && err == nil; time.Sleep(pause) {
						_, err = fmt.Fprintf(c, "HTTP/1.1 %d x\r\n\r\n", status)
					}
				})
				checkFails(t, link.New(link.Config{}), address, damageTimeout)
			})
		}
	}
}
