package claim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
)

// TestTickets guards against a ticket that runs twice, is honoured by another
// incarnation or account, or is called unused when that is not certain.
func TestTickets(t *testing.T) {
	key := func(b *claim.Manager) claim.Key {
		tk, _ := b.IssueTicket("hotel")
		return claim.Key{Account: "hotel", Service: "desk", Key: tk}
	}
	bubble(t, "once, without writes", func(t *testing.T, w *flaky, open func(string) *claim.Manager) {
		w.set(true, false)
		a := open("a")
		k := key(a)
		c := begin(t, a, k)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		_, _, err := a.Begin(within(t, time.Second), k, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
		_, o, err := a.Begin(within(t, time.Second), k, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, whole)
		_, _, err = a.Begin(within(t, time.Second), k, digest+1)
		wantError(t, err, fault.NotRun, fault.KeyReused)
		assert.Equal(t, w.table.Counts().Writes, uint64(0))
	})
	bubble(t, "other incarnation and account", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		k := key(open("a"))
		_, _, err := open("b").Begin(within(t, time.Second), k, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		_, _, err = open("a").Begin(within(t, time.Second), k, digest) // restarted under its old name
		wantError(t, err, fault.NotRun, fault.Invalid)
		a := open("c")
		k = key(a)
		k.Account = "shop"
		_, _, err = a.Begin(within(t, time.Second), k, digest)
		wantError(t, err, fault.NotRun, fault.Invalid)
	})
	bubble(t, "expiry", func(t *testing.T, _ *flaky, open func(string) *claim.Manager) {
		a := open("a")
		used, unused := key(a), key(a)
		c := begin(t, a, used)
		assert.NilError(t, a.Start(within(t, time.Second), c))
		assert.NilError(t, a.Finish(within(t, time.Second), c, whole))
		time.Sleep(11 * time.Minute)
		_, o, err := a.Begin(within(t, time.Second), used, digest)
		assert.NilError(t, err)
		assert.Equal(t, o.Status, 201)
		_, _, err = a.Begin(within(t, time.Second), unused, digest)
		wantError(t, err, fault.NotRun, fault.Invalid)
		time.Sleep(10 * time.Minute)
		_, _, err = a.Begin(within(t, time.Second), unused, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
}
