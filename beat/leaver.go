package beat

import (
	"time"

	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/wire"
)

// Leavers holds the backend servers that said that they leave, for heartbeats.
type Leavers struct {
	Own     []intake.Record // heard lately in answers to this process
	Changed []intake.Record // heard lately from anyone
	All     []intake.Record
}

// ReportLeavers tells all processes at once which backend servers said that they leave.
func (ms *Membership) ReportLeavers(records []intake.Record) {
	ms.broadcast(notice{leavers: EncodeLeavers(records)})
}

// EncodeLeavers converts records to their wire form.
func EncodeLeavers(records []intake.Record) []*wire.Leaver {
	now := intake.Now()
	out := make([]*wire.Leaver, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.Leaver{Server: r.Server, Age: ageOf(r.At, now)})
	}
	return out
}

// DecodeLeavers converts records from their wire form, of which held is the age.
func DecodeLeavers(leavers []*wire.Leaver, held time.Duration) []intake.Record {
	now := intake.Now() - held
	out := make([]intake.Record, 0, len(leavers))
	for _, x := range leavers {
		out = append(out, intake.Record{Server: x.Server, At: now - time.Duration(x.Age)*time.Millisecond})
	}
	return out
}
