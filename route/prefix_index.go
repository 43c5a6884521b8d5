package route

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Limits on the entries of a PrefixIndex, over all servers and for one server.
// 64k entries take about 3 MB.
const (
	maxBlocks       = 64 << 10
	maxServerBlocks = 4 << 10
)

var eventGaps = metrics.NewCounter(`cranberrybay_cache_gaps`)

// PrefixIndex records which prompt blocks engines hold in their prefix caches, as
// far as this process knows from their events. It is a hint only: events arrive
// late and some are lost. A gap in the event numbers of a server clears its entries,
// since an eviction may be among the lost events.
type PrefixIndex struct {
	mu      sync.Mutex
	servers map[string]*serverBlocks // by server name
	total   int                      // entries of all servers
}

// serverBlocks holds the known blocks of one incarnation of a server.
type serverBlocks struct {
	boot      string
	lastEvent uint64 // number of the last merged event
	blocks    map[uint64]struct{}
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{servers: map[string]*serverBlocks{}} }

// LastEvent returns the number of the last merged event of a server, or 0 if there
// is none.
func (p *PrefixIndex) LastEvent(name string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		return s.lastEvent
	}
	return 0
}

// Merge applies the cache events of a server. Events of a new incarnation replace
// all entries of the one before.
func (p *PrefixIndex) Merge(name string, e engine.CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		s = &serverBlocks{boot: e.Boot, blocks: map[uint64]struct{}{}}
		p.servers[name] = s
	}
	if s.boot != e.Boot {
		p.clear(s)
		s.boot, s.lastEvent = e.Boot, 0
	}
	for _, x := range e.Events {
		if x.Number <= s.lastEvent {
			continue
		}
		if x.Number != s.lastEvent+1 && s.lastEvent != 0 {
			eventGaps.Inc()
			p.clear(s)
		}
		s.lastEvent = x.Number
		_, known := s.blocks[x.Block]
		switch {
		case x.Stored && !known:
			if len(s.blocks) < maxServerBlocks && p.total < maxBlocks {
				s.blocks[x.Block] = struct{}{}
				p.total++
			}
		case !x.Stored && known:
			delete(s.blocks, x.Block)
			p.total--
		}
	}
}

// Forget removes all entries of a server.
func (p *PrefixIndex) Forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[name]; s != nil {
		p.clear(s)
		delete(p.servers, name)
	}
}

// clear removes the entries of a server. The caller holds p.mu.
func (p *PrefixIndex) clear(s *serverBlocks) {
	p.total -= len(s.blocks)
	clear(s.blocks)
}

// Match returns how many of the leading blocks a server is known to hold.
func (p *PrefixIndex) Match(name string, blocks []uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[name]
	if s == nil {
		return 0
	}
	for i, b := range blocks {
		if _, ok := s.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
