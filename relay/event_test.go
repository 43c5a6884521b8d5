package relay

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/quota"
)

// FuzzEvents guards against a panic, lost or repeated bytes, and quota that is not released, when
// a faulty server sends arbitrary bytes in arbitrary reads.
func FuzzEvents(f *testing.F) {
	const one = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, s := range []string{one, "", "id: 1\n", "id: 1\ndata: x\r\n\r\nid: 2\n\n", "\n\n", one + one, "id: x\n\n", "x-weights: 3\nid: 1\n\n", strings.Repeat("x", 9000)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		q := quota.New(1 << 20)
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(input), "bytes": iotest.OneByteReader(bytes.NewReader(input)), "end": iotest.DataErrReader(bytes.NewReader(input))} {
			e := eventReader{src: r, quota: q}
			var got []byte
			previous := ""
			for {
				complete, lastID, err := e.next()
				if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF itself
					break
				}
				got = append(got, complete...)
				if err == nil {
					if _, cerr := validateEvents(complete, previous); cerr == nil && lastID == "" {
						t.Fatalf("%s: events without a number were accepted: %q", name, complete)
					}
					previous = lastID
				}
				if err != nil {
					break
				}
			}
			e.close()
			if !bytes.HasPrefix(input, got) {
				t.Fatalf("%s: %q of %q", name, got, input)
			}
		}
		if !q.TryAcquire(1 << 20) {
			t.Fatal("quota was not released")
		}
	})
}

// Guards against an event that is rejected although its lines are fields, and against one that is passed
// on with other lines.
func TestEventLines(t *testing.T) {
	for text, want := range map[string]error{
		"id: 1\ndata: x\n\n":                                 nil,
		"id: 1\r\ndata: x\r\n\r\n":                           nil,
		"x-weight-versions:3\nid: 1\ndata: x\ndata\n\n":      nil,
		": comment\nevent: done\nretry: 5\nid: 1\ndata:\n\n": nil,
		"\nid: 1\ndata: a: b\n\n":                            nil,
		"id: 1\ndata: x\nunavailable\n\n":                    errEventLine,
		"id: 1\ndata: x\nContent-Length: 5\n\n":              errEventLine,
		"HTTP/1.1 500 x\r\nid: 1\r\n\r\n":                    errEventLine,
		"an error: x\nid: 1\n\n":                             errEventLine,
		"{\"error\": 1}\nid: 1\n\n":                          errEventLine,
	} {
		_, err := validateEvents([]byte(text), "")
		assert.Equal(t, err, want, "%q", text)
	}
}
