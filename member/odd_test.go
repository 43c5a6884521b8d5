package member_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/member"
	"github.com/cranberrybay/cranberrybay/table"
)

// Guards against a process whose row is lost, or that no longer serves, because another writer overwrote its row, and against
// members that no process can be.
func TestOverwrittenRows(t *testing.T) {
	for kind, value := range map[string]string{
		"bytes": "\xff\x00", "empty": "", "null": "null", "type": `{"name":7}`, "nested": strings.Repeat("[", 20_000), "no incarnation": `{"name":"NAME","callers":"a","peers":"b","sequence":3}`,
		"sequence": `{"name":"NAME","incarnation":"x","callers":"a","peers":"b","sequence":18446744073709551615}`, "huge": `{"name":"NAME","sequence":1e99}`,
		"line": `{"name":"NAME","incarnation":"a\nb","callers":"a","peers":"b","sequence":9999999999999}`,
		"long": `{"name":"NAME","incarnation":"x","callers":"` + strings.Repeat("x", 30_000) + `","peers":"b","sequence":9999999999999}`,
	} {
		t.Run(kind, func(t *testing.T) {
			runCluster(t, 4, func(t *testing.T, c *cluster) {
				overwrite := func(i int) {
					var b table.Batch
					b.Put("member/"+name(i), []byte(strings.ReplaceAll(value, "NAME", name(i))))
					_, err := c.table.Client().Commit(t.Context(), b)
					assert.NilError(t, err)
				}
				overwrite(1) // of a running process
				overwrite(4) // of one that starts
				overwrite(9) // of none
				c.start(4)
				checkSettled(t, c)
				for i := range 5 {
					var m member.Member
					r := c.table.Row("member/" + name(i))
					assert.NilError(t, json.Unmarshal(r.Value(), &m), "row of process %d", i)
					assert.Assert(t, m.Incarnation != "" && m.PeerAddress != "", "%+v", m)
				}
				for _, p := range c.all() {
					assert.Assert(t, !p.Superseded())
					assert.Equal(t, len(p.Live()), 5)
				}
				time.Sleep(time.Minute)
				assert.NilError(t, c.check())
			})
		})
	}
}
