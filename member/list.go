package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxList bounds the addresses of one answer.
const maxList = 16

// shortTimeout is how long a list may be cached that names few processes or
// that was made before this process has heard the others.
const shortTimeout = 5 * time.Second

// AddressList is the answer to a caller that asks which addresses to use.
type AddressList struct {
	Addresses []string  // IP:port, best first
	Expires   time.Time // ask again at this time
}

// Ranks of members in a list.
const (
	sameDomain = iota
	sameRegion
	elsewhere
	doubtful // added for a member that missed pings or was not heard since a pause
)

// Addresses returns the addresses for a caller in a failure domain ("" when it
// is not known): near ones first, and among equals in an order that differs
// from caller to caller, so that callers spread over the processes and keep
// their process when others come and go. It needs nothing but memory, so that
// it answers during an outage of the table service too.
func (t *Membership) Addresses(caller, domain string) AddressList {
	t.pulse.Check()
	type item struct {
		address string
		rank    int
		hash    uint64
	}
	var items []item
	t.mu.Lock()
	if domain == "" {
		domain = t.self.Domain
	}
	region := t.self.Region
	add := func(m Member, rank int) {
		if m.Leaving {
			return
		}
		switch {
		case m.Domain == domain:
			rank += sameDomain
		case m.Region == region:
			rank += sameRegion
		default:
			rank += elsewhere
		}
		items = append(items, item{m.CallerAddress, rank, xxhash.Sum64String(caller + "\x00" + m.Name)})
	}
	if !t.superseded {
		add(t.self, 0)
	}
	for _, e := range t.entries {
		switch {
		case e.state == live && e.misses < maxMisses-1:
			add(e.member, 0)
		case e.state == live, e.state == unproven && !e.heard.IsZero():
			add(e.member, doubtful)
		}
	}
	t.mu.Unlock()
	sort.Slice(items, func(i, j int) bool {
		if items[i].rank != items[j].rank {
			return items[i].rank < items[j].rank
		}
		return items[i].hash < items[j].hash
	})
	out := AddressList{Addresses: []string{}, Expires: time.Now().Add(listTimeout)}
	if len(items) < 2 || items[0].rank >= doubtful {
		out.Expires = time.Now().Add(shortTimeout)
	}
	for _, it := range items[:min(maxList, len(items))] {
		out.Addresses = append(out.Addresses, it.address)
	}
	return out
}
