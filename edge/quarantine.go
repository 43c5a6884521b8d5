package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/poison"
)

// quarantineRetryDelay is the least pause between two writes of the row of quarantined parts.
const quarantineRetryDelay = 2 * time.Second

// quarantineRow is one part in the row with the quarantined parts. The times are those of the
// machine that wrote it; clocks differ by little compared with a quarantine.
type quarantineRow struct {
	Service string    `json:"service"`
	Part    string    `json:"part"`
	Since   time.Time `json:"since"` // last crash of the evidence
	Until   time.Time `json:"until"`
	Terms   int       `json:"terms"`
}

// decodeQuarantines returns the quarantined parts from their row. Another writer may have written it.
func decodeQuarantines(raw []byte) ([]quarantineRow, error) {
	var rows []quarantineRow
	if err := json.Unmarshal(raw, &rows); err != nil {
		return nil, fmt.Errorf("decode quarantined parts: %w", err)
	}
	for _, x := range rows {
		// The texts are in heartbeats.
		part := poison.Part{Service: x.Service, ID: x.Part}
		if (x.Service == "") != part.IsRequest() || x.Part == "" || !label.IsValid(x.Service) || !label.IsValid(x.Part) || len(x.Part) > poison.MaxIDBytes {
			return nil, fmt.Errorf("quarantined part %.100q of %.100q has unusable texts", x.Part, x.Service)
		}
	}
	return rows, nil
}

// quarantineChanged makes the pollers write the row of quarantined parts. It never blocks.
func (reg *registrar) quarantineChanged() {
	select {
	case reg.quarantine <- struct{}{}:
	default:
	}
}

// writeQuarantines writes the quarantined parts for processes that start when no other one runs,
// unless the row holds them already.
func (reg *registrar) writeQuarantines(ctx context.Context) error {
	rows, err := reg.readRows(ctx)
	if err != nil {
		return err
	}
	records := reg.cfg.Poison.Quarantines()
	if !rows.quarantinesLost && coversQuarantines(rows.quarantines, records) {
		return nil
	}
	err = reg.writeRow(ctx, poisonRow, rows.quarantineRevision, quarantineRows(records))
	reg.cfg.Log.Info().Err(err).Int("parts", len(records)).Msg("row of quarantined parts written")
	return err
}

// quarantineRows returns the rows of quarantined parts.
func quarantineRows(records []poison.Record) []quarantineRow {
	now, wall := poison.Now(), time.Now()
	out := []quarantineRow{}
	for _, r := range records {
		out = append(out, quarantineRow{
			Service: r.Part.Service, Part: r.Part.ID, Since: wall.Add(r.Since - now).UTC(), Until: wall.Add(r.Until - now).UTC(), Terms: r.Terms,
		})
	}
	return out
}

// recordsOf returns the records of the quarantined parts in rows.
func recordsOf(rows []quarantineRow) []poison.Record {
	now, wall := poison.Now(), time.Now()
	var out []poison.Record
	for _, x := range rows {
		left := min(x.Until.Sub(wall), poison.MaxTerm)
		if left <= 0 {
			continue
		}
		age := min(max(wall.Sub(x.Since), 0), poison.MaxTerm)
		out = append(out, poison.Record{Part: poison.Part{Service: x.Service, ID: x.Part}, Since: now - age, Until: now + left, Terms: max(x.Terms, 1)})
	}
	return out
}

// coversQuarantines reports whether rows hold exactly the quarantines of records.
func coversQuarantines(rows []quarantineRow, records []poison.Record) bool {
	terms := map[poison.Part]int{}
	for _, x := range rows {
		terms[poison.Part{Service: x.Service, ID: x.Part}] = x.Terms
	}
	for _, r := range records {
		if terms[r.Part] != r.Terms {
			return false
		}
	}
	return len(terms) == len(records)
}
