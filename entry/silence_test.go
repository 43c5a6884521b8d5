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

// TestSilentServiceEndsNoAnswer guards against a call that ends without its answer, or
// runs twice, since the service fell silent for 1.5 s at any byte of its answer.
func TestSilentServiceEndsNoAnswer(t *testing.T) {
	for name, whole := range cutAnswers {
		for _, key := range []string{"", "order"} {
			t.Run(fmt.Sprintf("%s, key %q", name, key), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSystem(t, 1, 0)
					s.services = []*fakes.Service{fakes.NewService()} // tells updateFleet of the server
					l := s.listen("desk-0")
					defer l.Close()
					n := s.start(t)
					time.Sleep(time.Second)
					for at := range len(whole) + 1 {
						go func() { // takes one connection
							c, err := l.Accept()
							if err != nil {
								return
							}
							rq, err := http.ReadRequest(bufio.NewReader(c))
							assert.Check(t, err)
							_, _ = io.Copy(io.Discard, rq.Body)
							_, _ = io.WriteString(c, whole[:at])
							time.Sleep(1500 * time.Millisecond)
							_, _ = io.WriteString(c, whole[at:])
							_ = c.Close()
						}()
						var header []string
						if key != "" {
							header = []string{"Idempotency-Key", fmt.Sprint(key, at)}
						}
						rs, text, err := s.call(context.Background(), n.name, "POST", "/services/desk/orders", fmt.Sprint("order ", at), header...)
						assert.NilError(t, err, "silent at %d", at)
						assert.Equal(t, rs.StatusCode, 200, "silent at %d: %s", at, text)
						assert.Equal(t, text, "booked table", "silent at %d", at)
						time.Sleep(2 * time.Second) // the server has finished
					}
				})
			})
		}
	}
}

// TestSilentTableEndsNoCall guards against a call under a key that is refused or ends
// without an answer, since the table service fell silent for up to 1.5 s.
func TestSilentTableEndsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		s.flakyTable.UpdateFaults(func(f *fakes.FlakyFaults) { f.MaxDelay = 1500 * time.Millisecond })
		for i := range 20 {
			key := fmt.Sprint("order-", i)
			for range 2 {
				rs, text, err := s.call(context.Background(), n.name, "POST", "/services/desk/orders", key, "Idempotency-Key", key)
				assert.NilError(t, err)
				assert.Equal(t, rs.StatusCode, 201, text)
			}
		}
		assert.Equal(t, s.calls(), 20)
		n.kill()
		time.Sleep(5 * time.Second) // calls of the table end
	})
}
