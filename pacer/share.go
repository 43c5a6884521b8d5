package pacer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what a process knows of the processes that share the rates. The zero value stands for a
// process that does not know the others yet.
type Fleet struct {
	Self    string   // name of this process
	Domain  string   // its failure domain
	Members []string // processes of its failure domain, with this one
	Domains []string // all failure domains
	Size    int      // number of processes in all failure domains
}

const (
	// burst is the number of requests that a process may save up for a server.
	burst = 1.0
	// spareBursts is how many processes more than the rate of a server share it, so that all
	// processes of a small fleet do. Together they may send burst times their number at once, beside
	// what the rate allows.
	spareBursts = 4
)

// Share returns the requests per second that this process may send of a rate for all processes, or
// 0 if it may send none.
//
// Each failure domain has a part in proportion to its processes. Within it as many processes share
// the part as still get about a request per second each: with smaller shares, the saved-up requests
// of all processes would exceed the rate. The processes are chosen by rendezvous hashing, for each
// server others.
func (f Fleet) Share(server uint64, rate float64) float64 {
	if f.Size == 0 || len(f.Members) == 0 || rate <= 0 {
		return 0
	}
	sharers := rate + spareBursts
	domains := len(f.Domains)
	if chosen := int(sharers); domains > chosen {
		if rank(server, f.Domain, f.Domains) >= chosen {
			return 0
		}
		rate *= float64(domains) / float64(chosen)
	}
	part := math.Min(float64(len(f.Members))/float64(f.Size), 1)
	owners := min(max(int(sharers*part), 1), len(f.Members))
	if rank(server, f.Self, f.Members) >= owners {
		return 0
	}
	return rate * part / float64(owners)
}

// rank returns the place of a name among all names in the order of their hashes with a server.
func rank(server uint64, name string, all []string) int {
	own, n := hash(server, name), 0
	for _, other := range all {
		if other != name && hash(server, other) > own {
			n++
		}
	}
	return n
}

// hash mixes a server and a name. Hashes of names alone would give the same order for all servers.
func hash(server uint64, name string) uint64 {
	x := (xxhash.Sum64String(name) ^ server) * 0x9e3779b97f4a7c15
	return (x ^ x>>32) * 0xd6e8feb86659fd93
}
