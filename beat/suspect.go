package beat

import (
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/wire"
)

// maxSuspectAge bounds the ages in a message, so that sums with the clock of records stay positive.
const maxSuspectAge = 8 * time.Hour

// minHeld is the age from which a message is taken to have waited. Below it the age is mostly the
// difference of what two processes take for the platform's clock.
const minHeld = 500 * time.Millisecond

// maxReported bounds the records in one datagram. A record takes up to 300 bytes.
const maxReported = 64

// Suspects holds records of parts of prompts that may crash backend servers, for heartbeats.
type Suspects struct {
	Own     []poison.Record // that this process itself changed lately
	Changed []poison.Record // that changed lately for any reason
	All     []poison.Record
}

// ReportSuspects tells all processes at once what this one has seen of parts of prompts.
func (ms *Membership) ReportSuspects(records []poison.Record) {
	for some := range slices.Chunk(records, maxReported) {
		ms.broadcast(notice{suspects: EncodeSuspects(some)})
	}
}

// EncodeSuspects converts records to their wire form.
func EncodeSuspects(records []poison.Record) []*wire.Suspect {
	now := poison.Now()
	var out []*wire.Suspect
	for _, r := range records {
		x := &wire.Suspect{Service: r.Part.Service, Part: r.Part.ID}
		for _, c := range r.Crashes {
			x.Servers = append(x.Servers, c.Server)
			x.Requests = append(x.Requests, c.Request)
			x.Ages = append(x.Ages, ageOf(c.At, now))
		}
		if r.AnsweredAt > 0 {
			age := ageOf(r.AnsweredAt, now)
			x.Answered = &age
		}
		if r.TriedAt > 0 {
			age := ageOf(r.TriedAt, now)
			x.Tried, x.Trial = &age, r.Trial
		}
		if r.Terms > 0 {
			x.Terms, x.Since, x.Left = uint32(r.Terms), ageOf(r.Since, now), (r.Until - now).Milliseconds()
		}
		out = append(out, x)
	}
	return out
}

// ageOf returns the age of a time in milliseconds.
func ageOf(at, now time.Duration) uint32 {
	return uint32(min(max(now-at, 0), maxSuspectAge).Milliseconds())
}

// DecodeSuspects converts records from their wire form, of which held is the age. A record whose
// lists differ in length is left out.
func DecodeSuspects(suspects []*wire.Suspect, held time.Duration) []poison.Record {
	now := poison.Now()
	if held >= minHeld {
		now -= held
	}
	at := func(age uint32) time.Duration {
		return now - min(time.Duration(age)*time.Millisecond, maxSuspectAge)
	}
	var out []poison.Record
	for _, x := range suspects {
		if len(x.Servers) != len(x.Requests) || len(x.Servers) != len(x.Ages) {
			continue
		}
		r := poison.Record{Part: poison.Part{Service: x.Service, ID: x.Part}}
		for i, age := range x.Ages {
			r.Crashes = append(r.Crashes, poison.Crash{Server: x.Servers[i], Request: x.Requests[i], At: at(age)})
		}
		if x.Answered != nil {
			r.AnsweredAt = at(*x.Answered)
		}
		if x.Tried != nil {
			r.TriedAt, r.Trial = at(*x.Tried), x.Trial
		}
		if x.Terms > 0 {
			left := min(max(time.Duration(x.Left)*time.Millisecond, -maxSuspectAge), poison.MaxTerm)
			r.Terms, r.Since, r.Until = int(x.Terms), at(x.Since), now+left
		}
		out = append(out, r)
	}
	return out
}
