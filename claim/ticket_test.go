package claim_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
)

// TestTickets guards against a ticket whose work runs twice, a ticket accepted by
// another incarnation or for another account, and a ticket reported as unused
// when that is not certain.
func TestTickets(t *testing.T) {
	key := func(b *claim.Manager) claim.Key {
		tk, _ := b.IssueTicket("hotel")
		return claim.Key{Account: "hotel", Service: "desk", Key: tk}
	}
	runCase(t, "runs once, without writes", func(t *testing.T, w *faultyTable, newManager func(string) *claim.Manager) {
		w.set(true, false)
		a := newManager("a")
		k := key(a)
		c := begin(t, a, k)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		_, _, err := a.Begin(timeout(t, time.Second), k, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
		_, o, err := a.Begin(timeout(t, time.Second), k, digest)
		assert.NilError(t, err)
		assert.DeepEqual(t, *o, order)
		_, _, err = a.Begin(timeout(t, time.Second), k, digest+1)
		wantError(t, err, fault.NotRun, fault.KeyReused)
		assert.Equal(t, w.table.Counts().Writes, uint64(0))
	})
	runCase(t, "other incarnation and account", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		k := key(newManager("a"))
		_, _, err := newManager("b").Begin(timeout(t, time.Second), k, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
		_, _, err = newManager("a").Begin(timeout(t, time.Second), k, digest) // restarted under its old name
		wantError(t, err, fault.NotRun, fault.Invalid)
		a := newManager("c")
		k = key(a)
		k.Account = "shop"
		_, _, err = a.Begin(timeout(t, time.Second), k, digest)
		wantError(t, err, fault.NotRun, fault.Invalid)
	})
	runCase(t, "expiry", func(t *testing.T, _ *faultyTable, newManager func(string) *claim.Manager) {
		a := newManager("a")
		used, unused := key(a), key(a)
		c := begin(t, a, used)
		assert.NilError(t, a.Start(timeout(t, time.Second), c))
		assert.NilError(t, a.Finish(timeout(t, time.Second), c, order))
		time.Sleep(11 * time.Minute)
		_, o, err := a.Begin(timeout(t, time.Second), used, digest)
		assert.NilError(t, err)
		assert.Equal(t, o.Status, 201)
		_, _, err = a.Begin(timeout(t, time.Second), unused, digest)
		wantError(t, err, fault.NotRun, fault.Invalid)
		time.Sleep(10 * time.Minute)
		_, _, err = a.Begin(timeout(t, time.Second), unused, digest)
		wantError(t, err, fault.MayHaveRun, fault.Conflict)
	})
}
