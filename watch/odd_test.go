package watch_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/watch"
)

// Guards against a writer that floods the log by writing its odd entry many times a second, and against an odd row
// that nobody can find in the logs.
func TestOddRowsAreLoggedAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		odd := watch.NewOddRows("servers", zerolog.New(&out))
		lines := func() int { return strings.Count(out.String(), "\n") }
		for i := range 600 { // a minute
			odd.Reject(watch.Row{Key: "a", Value: []byte("x"), Revision: uint64(i)}, errors.New("odd"))
			odd.Reject(watch.Row{Key: "b", Value: []byte("x"), Revision: 7}, errors.New("odd"))
			if i%2 == 0 {
				odd.Accept("a")
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, lines(), 7, "%s", out.String())
		assert.Assert(t, strings.Contains(out.String(), `"table":"servers","key":"a","revision":100,"bytes":1,"unlogged":99`), "%s", out.String())
		assert.Equal(t, odd.Count(), 2)
		odd.Accept("b")
		assert.Equal(t, odd.Count(), 1)
		odd.Retain(func(string) bool { return false })
		assert.Equal(t, odd.Count(), 0)
		out.Reset()
		for i := range 20_000 {
			odd.Reject(watch.Row{Key: fmt.Sprint(i), Revision: 1}, errors.New("odd"))
		}
		assert.Assert(t, lines() <= 40, "%d lines", lines())
		assert.Assert(t, odd.Count() <= 4096, "%d rows remembered", odd.Count())
	})
}
