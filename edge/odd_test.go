package edge

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
)

// overwrite writes a shared row like another writer.
func (s *cluster) overwrite(t *testing.T, key, value string) {
	t.Helper()
	var b table.Batch
	b.Put(key, []byte(value))
	_, err := s.rows.client().Commit(t.Context(), b)
	assert.NilError(t, err)
}

// assertSameKey checks that registrars know the same newest key after each has read the rows again.
func assertSameKey(t *testing.T, all ...*registrar) {
	t.Helper()
	for range 2 {
		for _, n := range all {
			_, err := n.readRows(t.Context())
			assert.NilError(t, err)
		}
	}
	for _, n := range all {
		assert.DeepEqual(t, n.cfg.Sealer.NewestKey(), all[0].cfg.Sealer.NewestKey())
	}
}

// Guards against processes that can't start, or no longer understand each other, because another writer overwrote the row of
// their key.
func TestOverwrittenKeyRow(t *testing.T) {
	for name, value := range map[string]string{
		"empty": "", "bytes": "\xff\x00", "null": "null", "object": "{}", "list": "[[[]]]", "type": `{"number":"7"}`, "huge": `{"number":1e99}`,
		"no secret": `{"number":7}`, "short secret": `{"number":7,"secret":"AAAA","made":"2026-12-05T00:00:00Z"}`, "negative": `{"number":-1}`,
		"time":     `{"number":7,"secret":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","made":7}`,
		"greatest": `{"number":4294967295,"secret":"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=","made":"2026-12-05T00:00:00Z"}`,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *cluster) {
				a, _ := s.join(t.Context(), "a", "d0", 800, true)
				s.overwrite(t, sealKeyRow, value)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				late, _ := s.join(ctx, "late", "d1", 192, false)
				assert.NilError(t, ctx.Err())
				assertSameKey(t, a, late)
				s.overwrite(t, sealKeyRow, value)
				assertSameKey(t, late, a)
				assert.Assert(t, s.writes < 20, "%d writes", s.writes)
			})
		})
	}
}

// Guards against a key that is never replaced because its row has a time in the future.
func TestKeyOfTheFuture(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		a, _ := s.join(t.Context(), "a", "d0", 800, true)
		number := a.cfg.Sealer.Newest()
		s.overwrite(t, sealKeyRow, fmt.Sprintf(`{"number":%d,"secret":%q,"made":"9999-01-01T00:00:00Z"}`, number+1, "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="))
		err := a.update(t.Context())
		assert.NilError(t, err)
		_, err = a.readRows(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, a.cfg.Sealer.Newest(), number+2)
	})
}

// Guards against hubs that no process can be, whose texts get into heartbeats and logs.
func TestOverwrittenHubRows(t *testing.T) {
	long := strings.Repeat("x", 60_000)
	for name, value := range map[string]string{
		"empty": "", "bytes": "\xff\x00", "null": "null", "type": `{"name":7}`, "no name": `{"address":"10.0.0.1:1"}`, "long": fmt.Sprintf(`{"name":%q,"address":"10.0.0.1:1"}`, long),
		"long address": fmt.Sprintf(`{"name":"x","address":%q}`, long), "line": `{"name":"a\nb","address":"10.0.0.1:1"}`, "callers": fmt.Sprintf(`{"name":"x","address":"10.0.0.1:1","callers":%q}`, long),
		"weight": `{"name":"x","address":"10.0.0.1:1","weight":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *cluster) {
				a, _ := s.join(t.Context(), "a", "d0", 800, true)
				for i := range 300 {
					s.overwrite(t, fmt.Sprintf("%s%03d", rowPrefix, i), value)
				}
				s.overwrite(t, hubRowPrefix+"d0", value)
				s.overwrite(t, hubRowPrefix+"d1", value)
				late, _ := s.join(t.Context(), "late", "d1", 192, false)
				err := a.update(t.Context())
				assert.NilError(t, err)
				rows, err := late.readRows(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, len(rows.hubs), 2)
				assert.Equal(t, rows.hubs["d0"].Name+" "+rows.hubs["d1"].Name, "a late")
				assert.Equal(t, len(late.cfg.Members.Peers()), 1)
			})
		})
	}
}

// Guards against quarantines that are lost, or that make heartbeats too long to be sent, because another writer overwrote their row.
func TestOverwrittenQuarantineRow(t *testing.T) {
	until := `"since":"2000-01-01T00:00:00Z","until":"2999-01-01T00:00:00Z"`
	for name, value := range map[string]string{
		"bytes": "\xff\x00", "type": `{"a":7}`, "element": `[7]`, "time": `[{"service":"s","part":"p","until":7}]`, "empty": `[{"service":"","part":"",` + until + `}]`,
		"long": `[{"service":"s","part":"` + strings.Repeat("x", 60_000) + `",` + until + `}]`, "service": `[{"service":"` + strings.Repeat("x", 60_000) + `","part":"p",` + until + `}]`,
		"terms": `[{"service":"s","part":"p","terms":1e99,` + until + `}]`, "line": `[{"service":"s","part":"a\nb",` + until + `}]`,
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *cluster) {
				s.trackers["a"] = quarantineOf("deadly")
				a, _ := s.join(t.Context(), "a", "d0", 800, true)
				s.overwrite(t, poisonRow, value)
				late, _ := s.join(t.Context(), "late", "d1", 192, false)
				assert.Equal(t, len(late.cfg.Poison.Records()), 0)
				err := a.update(t.Context())
				assert.NilError(t, err)
				select {
				case <-a.quarantine:
				default:
					t.Fatal("the row is not written again")
				}
				assert.NilError(t, a.writeQuarantines(t.Context()))
				n := newRegistrar(registrarConfig{Rows: s.countingClient(), Sealer: &seal.Sealer{}, Poison: poison.New(poison.Config{Log: zerolog.Nop()}), Log: zerolog.Nop()})
				_, err = n.readRows(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, len(n.cfg.Poison.Quarantines()), 1)
			})
		})
	}
}
