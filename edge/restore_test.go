package edge

import (
	"bytes"
	"context"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/seal"
	"github.com/cranberrybay/cranberrybay/table"
)

// restoreRows replaces the shared rows by those of an older copy.
func (s *cluster) restoreRows(older map[string]table.Row) {
	s.rows.mu.Lock()
	defer s.rows.mu.Unlock()
	s.rows.all = map[string]table.Row{}
	maps.Copy(s.rows.all, older)
}

func (s *cluster) copyRows() map[string]table.Row {
	s.rows.mu.Lock()
	defer s.rows.mu.Unlock()
	return maps.Clone(s.rows.all)
}

// Guards against processes that no longer understand each other after the store lost their key, and
// against hubs and quarantines that a process which starts then does not find.
func TestRowsAreWrittenAgainAfterARestore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		older func(t *testing.T, s *cluster) map[string]table.Row
	}{
		{"no rows", func(*testing.T, *cluster) map[string]table.Row { return nil }},
		{"an older key", func(t *testing.T, s *cluster) map[string]table.Row {
			b, err := newRegistrar(registrarConfig{Rows: s.countingClient(), Sealer: &seal.Sealer{}, Poison: s.tracker("reader"), Log: zerolog.Nop()}).readRows(t.Context())
			assert.NilError(t, err)
			older := s.copyRows()
			n := newRegistrar(registrarConfig{Rows: s.countingClient(), Sealer: &seal.Sealer{}, Poison: s.tracker("reader"), Log: zerolog.Nop()})
			_, err = n.writeKey(t.Context(), b.key.Number+1, b.keyRevision)
			assert.NilError(t, err)
			return older
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, s *cluster) {
				s.trackers["a"] = quarantineOf("deadly")
				a, _ := s.join(t.Context(), "a", "d0", 800, true)
				older := tc.older(t, s)
				_, err := a.readRows(t.Context())
				assert.NilError(t, err)
				key := a.cfg.Sealer.NewestKey()
				s.restoreRows(older)

				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a.cfg.Members.SendHeartbeat()
				go a.maintain(ctx)
				time.Sleep(2 * hubRowDelay)
				s.restoreRows(older)
				a.storeRestored()
				time.Sleep(2 * hubCheckInterval)
				late, _ := s.join(t.Context(), "late", "d1", 192, false)
				got := late.cfg.Sealer.NewestKey()
				assert.Equal(t, got.Number, key.Number)
				assert.Assert(t, bytes.Equal(got.Secret, key.Secret))
				assert.Equal(t, len(late.cfg.Members.Peers()), 2, "the hub of the other failure domain is known")
				cancel()
			})
		})
	}
}

// Guards against two keys with one number, when a process that started after the restore has written
// another key.
func TestKeyWithTheSameNumberIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		a, _ := s.join(t.Context(), "a", "d0", 800, true)
		key := a.cfg.Sealer.NewestKey()
		s.restoreRows(nil)
		b, _ := s.join(t.Context(), "b", "d1", 800, false)
		assert.Equal(t, b.cfg.Sealer.NewestKey().Number, key.Number)
		_, err := a.readRows(t.Context())
		assert.NilError(t, err)
		_, err = b.readRows(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, a.cfg.Sealer.NewestKey(), b.cfg.Sealer.NewestKey())
		assert.Equal(t, a.cfg.Sealer.NewestKey().Number, key.Number+1)
	})
}

// Guards against a quarantine that an older copy brings back after the part was answered.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	withCluster(t, func(t *testing.T, s *cluster) {
		s.trackers["a"] = quarantineOf("deadly")
		a, _ := s.join(t.Context(), "a", "d0", 800, true)
		assert.NilError(t, a.writeQuarantines(t.Context()))
		older := s.copyRows()
		time.Sleep(time.Second)
		part := []poison.Part{{Service: "s", ID: "deadly"}}
		a.cfg.Poison.RecordAnswered(part)
		assert.NilError(t, a.writeQuarantines(t.Context()))
		s.restoreRows(older)
		_, err := a.readRows(t.Context())
		assert.NilError(t, err)
		_, _, blocked := a.cfg.Poison.Blocked(part)
		assert.Assert(t, !blocked)
	})
}
