package beat

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/wire"
)

// Hash returns the hash of a backend server's name, as heartbeats carry it.
func Hash(server string) uint64 { return xxhash.Sum64String(server) }

// short returns the part of a hash that loads carry. Two of 4,000 servers share one
// in 500 fleets, and are then seen with the load of both.
func short(hash uint64) uint32 { return uint32(hash) }

// load is work in flight at one backend server.
type load struct {
	streams int
	tokens  int64 // layer tokens
}

// tokenUnit is the unit of layer tokens in a heartbeat: it keeps most numbers in two
// bytes.
const tokenUnit = 64

// maxLoads bounds the servers of which one heartbeat tells, so that its bytes do not
// grow with the fleet; with 4,000 servers each is told of every 2.5 s.
const maxLoads = 400

// packLoads encodes the part of the loads whose turn it is.
func packLoads(all map[uint32]load, turn uint64) *wire.Loads {
	parts := uint32(max((len(all)+maxLoads-1)/maxLoads, 1))
	out := &wire.Loads{Part: uint32(turn % uint64(parts)), Parts: parts}
	for server, x := range all {
		if server%parts != out.Part || (x.streams <= 0 && x.tokens <= 0) {
			continue
		}
		out.Server = append(out.Server, server)
		out.Streams = append(out.Streams, uint32(max(x.streams, 0)))
		out.Tokens = append(out.Tokens, uint32(min((max(x.tokens, 0)+tokenUnit-1)/tokenUnit, int64(^uint32(0)))))
	}
	return out
}

// unpackLoads replaces a part of the loads that a process told before. Lists of
// different lengths hold none.
func unpackLoads(into map[uint32]load, l *wire.Loads) map[uint32]load {
	if l.Parts <= 1 || into == nil {
		into = make(map[uint32]load, len(l.Server))
	} else {
		maps.DeleteFunc(into, func(server uint32, _ load) bool { return server%l.Parts == l.Part })
	}
	if len(l.Server) != len(l.Streams) || len(l.Server) != len(l.Tokens) {
		return into
	}
	for i, server := range l.Server {
		into[server] = load{streams: int(l.Streams[i]), tokens: int64(l.Tokens[i]) * tokenUnit}
	}
	return into
}

// add adds loads to a sum.
func add(sum, all map[uint32]load) {
	for server, x := range all {
		s := sum[server]
		s.streams += x.streams
		s.tokens += x.tokens
		sum[server] = s
	}
}

// work returns the work of this process.
func (r *Membership) work() map[uint32]load {
	out := map[uint32]load{}
	for _, w := range r.cfg.Work() {
		out[short(Hash(w.Server))] = load{streams: w.Streams, tokens: w.Tokens}
	}
	return out
}

// sum adds up the work of the other processes: of this failure domain and of all. The
// caller holds mu.
func (r *Membership) sum(now time.Duration) (domain, all map[uint32]load) {
	domain, all = map[uint32]load{}, map[uint32]load{}
	for _, m := range r.members {
		if now-m.heard < loadAge && !m.hub {
			add(domain, m.loads)
		}
	}
	add(all, domain)
	for _, m := range r.others {
		if m.hub && now-m.heard < loadAge {
			add(all, m.loads)
		}
	}
	return domain, all
}

// without returns loads less those of this process, which the hub had heard of.
func without(all, own map[uint32]load) map[uint32]load {
	out := make(map[uint32]load, len(all))
	for server, x := range all {
		y := own[server]
		out[server] = load{streams: max(x.streams-y.streams, 0), tokens: max(x.tokens-y.tokens, 0)}
	}
	return out
}
