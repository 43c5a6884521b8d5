package relay

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cranberrybay/cranberrybay/quota"
)

// FuzzEvents guards against a panic, bytes that are lost or passed on twice, and memory
// that is not given back, on the bytes of a server in trouble, however they arrive.
func FuzzEvents(f *testing.F) {
	const one = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, s := range []string{one, "", "id: 1\n", "id: 1\ndata: x\r\n\r\nid: 2\n\n", "\n\n", one + one, "id: x\n\n", "x-weights: 3\nid: 1\n\n", strings.Repeat("x", 9000)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		q := quota.New(1 << 20)
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(raw), "bytes": iotest.OneByteReader(bytes.NewReader(raw)), "end": iotest.DataErrReader(bytes.NewReader(raw))} {
			e := events{from: r, quota: q}
			var got []byte
			before := ""
			for {
				whole, last, err := e.next()
				if err != nil && err != io.EOF { //nolint:errorlint // next returns io.EOF itself
					break
				}
				got = append(got, whole...)
				if err == nil {
					if _, cerr := check(whole, before); cerr == nil && last == "" {
						t.Fatalf("%s: events without a number pass: %q", name, whole)
					}
					before = last
				}
				if err != nil {
					break
				}
			}
			e.close()
			if !bytes.HasPrefix(raw, got) {
				t.Fatalf("%s: %q of %q", name, got, raw)
			}
		}
		if !q.TryAcquire(1 << 20) {
			t.Fatal("memory is not given back")
		}
	})
}
