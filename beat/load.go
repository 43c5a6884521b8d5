package beat

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/wire"
)

// ServerHash returns the hash that identifies a backend server in heartbeats.
func ServerHash(server string) uint64 { return xxhash.Sum64String(server) }

// loadKey returns the part of a hash that identifies a server in loads. With 4,000
// servers two share a key in one of 500 fleets; each then appears with the load of both.
func loadKey(hash uint64) uint32 { return uint32(hash) }

// load is the work in flight at one backend server.
type load struct {
	streams int
	tokens  int64 // layer tokens
}

// tokenUnit is the unit of layer tokens in a heartbeat. It lets most counts fit into two
// bytes as varints.
const tokenUnit = 64

// maxLoads bounds the servers in one heartbeat, so that its size does not grow with the
// fleet. With 4,000 servers each one is reported every 2.5 s.
const maxLoads = 400

// packLoads encodes the part of the loads that is due in a round.
func packLoads(all map[uint32]load, round uint64) *wire.Loads {
	parts := uint32(max((len(all)+maxLoads-1)/maxLoads, 1))
	out := &wire.Loads{Part: uint32(round % uint64(parts)), Parts: parts}
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

// unpackLoads replaces the part of a process's loads that a message carries. A message
// whose lists differ in length counts as empty.
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

// addLoads adds loads to a sum.
func addLoads(sum, all map[uint32]load) {
	for server, x := range all {
		s := sum[server]
		s.streams += x.streams
		s.tokens += x.tokens
		sum[server] = s
	}
}

// ownLoads returns the loads of this process.
func (ms *Membership) ownLoads() map[uint32]load {
	out := map[uint32]load{}
	for _, w := range ms.cfg.Work() {
		out[loadKey(ServerHash(w.Server))] = load{streams: w.Streams, tokens: w.Tokens}
	}
	return out
}

// sumLoads sums the loads of the other processes, of this failure domain and of all. The
// caller holds mu.
func (ms *Membership) sumLoads(now time.Duration) (domain, all map[uint32]load) {
	domain, all = map[uint32]load{}, map[uint32]load{}
	for _, m := range ms.members {
		if now-m.heardAt < maxLoadAge && !m.hub {
			addLoads(domain, m.loads)
		}
	}
	addLoads(all, domain)
	for _, m := range ms.others {
		if m.hub && now-m.heardAt < maxLoadAge {
			addLoads(all, m.loads)
		}
	}
	return domain, all
}

// subtractOwn returns the loads minus those that this process last reported to the hub.
func subtractOwn(all, own map[uint32]load) map[uint32]load {
	out := make(map[uint32]load, len(all))
	for server, x := range all {
		y := own[server]
		out[server] = load{streams: max(x.streams-y.streams, 0), tokens: max(x.tokens-y.tokens, 0)}
	}
	return out
}
