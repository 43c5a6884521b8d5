package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/lease"
	"github.com/cranberrybay/cranberrybay/table"
)

// oddRows are values of a lease's row that no holder has written.
var oddRows = map[string]string{
	"empty": "", "bytes": "\xff\x00", "null": "null", "object": "{}", "number": "7", "nested": `{"holder":[[[]]]}`, "type": `{"holder":7,"fence":3,"write":"w","term":8000}`,
	"fence": `{"holder":"x","fence":18446744073709551615,"write":"w","term":8000}`, "negative": `{"holder":"x","fence":-1,"write":"w","term":8000}`,
	"no fence": `{"holder":"","fence":0,"write":"w","term":8000}`, "term": `{"holder":"x","fence":1,"write":"w","term":9223372036854775807}`,
	"negative term": `{"holder":"x","fence":1,"write":"w","term":-8000}`,
}

// overwrite writes the row of the lease like another writer.
func overwrite(t *testing.T, c *table.Client, value string) {
	t.Helper()
	var b table.Batch
	b.Put("lease/place", []byte(value))
	_, err := c.Commit(t.Context(), b)
	assert.NilError(t, err)
}

// Guards against a lease that nobody holds any more, or that two processes hold, because another writer overwrote its row.
func TestOverwrittenRow(t *testing.T) {
	for name, value := range oddRows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := fakes.NewTable()
				logged := 0
				newHolder := func(name string) *lease.Holder {
					return lease.New(lease.Config{
						Table: tb.Client(), Name: "place", Holder: name, Term: term, SendTimeout: send, Era: tb.Era, OnUnreadable: func(uint64, error) { logged++ },
					})
				}
				a, b := newHolder("a"), newHolder("b")
				assert.NilError(t, a.Step(t.Context()))
				assert.NilError(t, b.Step(t.Context()))
				fence, _, _ := a.Held()
				overwrite(t, tb.Client(), value)
				for range 3 * int(term/time.Second) { // the holder writes it again
					time.Sleep(time.Second)
					assert.NilError(t, b.Step(t.Context()))
					assert.NilError(t, a.Step(t.Context()))
					now, ok := a.MaySend()
					assert.Assert(t, ok && now == fence, "lease lost")
				}
				assert.Equal(t, logged, 2)
				overwrite(t, tb.Client(), value) // the holder has ended, and a new process knows nothing of it
				c, since := newHolder("c"), time.Now()
				for {
					assert.NilError(t, c.Step(t.Context()))
					if now, ok := c.MaySend(); ok {
						_, still := a.MaySend()
						assert.Assert(t, !still, "two holders")
						assert.Assert(t, now > fence, "fencing number %d after %d", now, fence)
						break
					}
					assert.Assert(t, time.Since(since) < 2*term, "nobody holds the lease")
					time.Sleep(500 * time.Millisecond)
				}
				assert.Equal(t, logged, 3)
			})
		})
	}
}
