package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAddresses is the maximum number of addresses in one list.
const maxAddresses = 16

// shortListAge is how long a caller may cache a list that has less than two
// addresses, as before this process has heard from the others, or whose members all
// missed pings or were not heard since a pause of this process.
const shortListAge = 5 * time.Second

// AddressList is the list of addresses that a caller should use.
type AddressList struct {
	Addresses []string  // IP:port, best first
	Expires   time.Time // the caller should fetch a new list at this time
}

// Ranks of members in a list; a lower rank comes first.
const (
	sameDomain = iota
	sameRegion
	elsewhere
	unverifiedRank // added for a member that missed pings or was not heard since a pause of this process
)

// Addresses returns the addresses for a caller in a failure domain ("" when it
// is not known, which stands for that of this process). Addresses in the caller's
// failure domain come first, then those in the region of this process. Members that
// missed pings, or were not heard since a pause of this process, come last. Addresses
// of equal rank are ordered by rendezvous hashing, so that callers spread over the
// processes and keep their process when others join or leave. Addresses reads only memory and works during an outage of the table
// service.
func (ms *Membership) Addresses(caller, domain string) AddressList {
	ms.pauses.Check()
	type candidate struct {
		address string
		rank    int
		hash    uint64
	}
	var candidates []candidate
	ms.mu.Lock()
	if domain == "" {
		domain = ms.self.Domain
	}
	region := ms.self.Region
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
		candidates = append(candidates, candidate{m.CallerAddress, rank, xxhash.Sum64String(caller + "\x00" + m.Name)})
	}
	if !ms.superseded {
		add(ms.self, 0)
	}
	for _, rec := range ms.peers {
		switch {
		case rec.state == live && rec.misses < maxMisses-1:
			add(rec.member, 0)
		case rec.state == live, rec.state == unverified && !rec.lastHeard.IsZero():
			add(rec.member, unverifiedRank)
		}
	}
	ms.mu.Unlock()
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].rank != candidates[j].rank {
			return candidates[i].rank < candidates[j].rank
		}
		return candidates[i].hash < candidates[j].hash
	})
	out := AddressList{Addresses: []string{}, Expires: time.Now().Add(maxListAge)}
	if len(candidates) < 2 || candidates[0].rank >= unverifiedRank {
		out.Expires = time.Now().Add(shortListAge)
	}
	for _, c := range candidates[:min(maxAddresses, len(candidates))] {
		out.Addresses = append(out.Addresses, c.address)
	}
	return out
}
