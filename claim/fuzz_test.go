package claim

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

// FuzzTicket guards against a forged or malformed ticket that is accepted, is
// refused without a verdict, makes the process panic or is remembered.
func FuzzTicket(f *testing.F) {
	p := fakes.NewPlatform()
	m := New(Config{Table: p.Table().Client(), Objects: p.Objects().Client(), Holder: "a"})
	issued, _ := m.IssueTicket("hotel")
	other := New(Config{Table: p.Table().Client(), Objects: p.Objects().Client(), Holder: "b"})
	foreign, _ := other.IssueTicket("hotel")
	for _, s := range []string{issued, issued + "=", issued[:len(issued)-1], foreign, "ticket...", "ticket.YQ..", "key"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, key string) {
		parsed, ok := parseTicket(key)
		holder, named := TicketHolder(key)
		assert.Equal(t, ok, named)
		if !ok {
			assert.Equal(t, holder, "")
		} else {
			assert.Equal(t, holder, parsed.holder)
			_ = parsed.deadline()
		}
		c, o, err := m.beginTicket(Key{Account: "shop", Service: "desk", Key: key}, 1)
		assert.Assert(t, c == nil && o == nil, "the ticket %q was not issued to this account", key)
		assert.Assert(t, err != nil && err.Error() != "")
		if ok && holder != "a" {
			assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
		} else {
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
		}
		assert.Equal(t, len(m.tickets), 0)
	})
}
