package route

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Entries of the cache index, over all servers and of one server, at most.
// 64k entries take about 3 MB.
const (
	maxBlocks       = 64 << 10
	maxServerBlocks = 4 << 10
)

var cacheGaps = metrics.NewCounter(`cranberrybay_cache_gaps`)

// Cache is what this process knows of the prompt blocks in the prefix caches
// of engines. It is a hint: events come late and some are lost. A gap in the
// numbers of a server's events clears its entries, since an eviction may be
// among the lost ones.
type Cache struct {
	mu      sync.Mutex
	servers map[string]*serverCache
	total   int
}

type serverCache struct {
	boot   string
	number uint64 // latest event merged
	blocks map[uint64]struct{}
}

// NewCache returns an empty index.
func NewCache() *Cache { return &Cache{servers: map[string]*serverCache{}} }

// After returns the number of the latest event of a server that was merged.
func (c *Cache) After(name string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[name]; s != nil {
		return s.number
	}
	return 0
}

// Merge merges events of a server.
func (c *Cache) Merge(name string, e engine.CacheEvents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
	if s == nil {
		s = &serverCache{boot: e.Boot, blocks: map[uint64]struct{}{}}
		c.servers[name] = s
	}
	if s.boot != e.Boot {
		c.clear(s)
		s.boot, s.number = e.Boot, 0
	}
	for _, x := range e.Events {
		if x.Number <= s.number {
			continue
		}
		if x.Number != s.number+1 && s.number != 0 {
			cacheGaps.Inc()
			c.clear(s)
		}
		s.number = x.Number
		_, known := s.blocks[x.Block]
		switch {
		case x.Stored && !known:
			if len(s.blocks) < maxServerBlocks && c.total < maxBlocks {
				s.blocks[x.Block] = struct{}{}
				c.total++
			}
		case !x.Stored && known:
			delete(s.blocks, x.Block)
			c.total--
		}
	}
}

// Forget drops what is known of a server.
func (c *Cache) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.servers[name]; s != nil {
		c.clear(s)
		delete(c.servers, name)
	}
}

func (c *Cache) clear(s *serverCache) {
	c.total -= len(s.blocks)
	clear(s.blocks)
}

// Match returns the number of leading blocks that a server is known to hold.
func (c *Cache) Match(name string, blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[name]
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
