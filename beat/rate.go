package beat

import (
	"time"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/wire"
)

const (
	// sharesAfter is the time after the start and after a pause from which a process takes part in
	// what processes share: by then it knows the others. It is isolatedAfter, so that a process
	// without others takes part too.
	sharesAfter = isolatedAfter
	// sizeMemory is how long the largest number of processes counts at least. Processes that are cut
	// off still use their shares.
	sizeMemory = 5 * time.Minute
)

// Rates holds what backend servers said of their rates, for heartbeats.
type Rates struct {
	Own     []pacer.Record // changed lately by answers to this process
	Changed []pacer.Record // changed lately for any reason
	All     []pacer.Record
}

// ReportRates tells all processes at once what backend servers said of their rates.
func (ms *Membership) ReportRates(records []pacer.Record) {
	ms.broadcast(notice{rates: EncodeRates(records)})
}

// Fleet returns the processes that share the rates of backend servers. Those that were heard or
// listed within forgetAfter count, also when they are silent: they may only be cut off from this one.
func (ms *Membership) Fleet() pacer.Fleet {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	now := clock.Now()
	if now-ms.lastSent > ms.deadline() || now-ms.sharesFrom < 0 {
		return pacer.Fleet{}
	}
	f := pacer.Fleet{Self: ms.cfg.Self.Name, Domain: ms.cfg.Self.Domain, Members: []string{ms.cfg.Self.Name}, Domains: []string{ms.cfg.Self.Domain}}
	for name := range ms.members {
		f.Members = append(f.Members, name)
	}
	seen := map[string]bool{f.Domain: true}
	for _, m := range ms.others {
		if !seen[m.peer.Domain] {
			seen[m.peer.Domain] = true
			f.Domains = append(f.Domains, m.peer.Domain)
		}
	}
	f.Size = max(ms.size(), ms.sizePeak, ms.oldSizePeak, 1+len(ms.members)+len(ms.others))
	return f
}

// recordSize keeps the largest number of processes of the last sizeMemory or longer. The caller
// holds mu.
func (ms *Membership) recordSize(now time.Duration) {
	if now-ms.sizePeakSince > sizeMemory {
		ms.oldSizePeak, ms.sizePeak, ms.sizePeakSince = ms.sizePeak, 0, now
	}
	ms.sizePeak = max(ms.sizePeak, ms.size())
}

// EncodeRates converts records to their wire form.
func EncodeRates(records []pacer.Record) []*wire.Rate {
	now := pacer.Now()
	out := make([]*wire.Rate, 0, len(records))
	for _, r := range records {
		out = append(out, &wire.Rate{Server: r.Server, Rate: r.Rate, Age: ageOf(r.At, now)})
	}
	return out
}

// DecodeRates converts records from their wire form, of which held is the age.
func DecodeRates(rates []*wire.Rate, held time.Duration) []pacer.Record {
	now := pacer.Now() - held
	out := make([]pacer.Record, 0, len(rates))
	for _, x := range rates {
		out = append(out, pacer.Record{Server: x.Server, Rate: x.Rate, At: now - time.Duration(x.Age)*time.Millisecond})
	}
	return out
}
