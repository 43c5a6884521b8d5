package fakes

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// requestState is the KV cache of one request on one stage. Guarded by Engine.mu.
type requestState struct {
	attempt    int
	slot       bool
	prompt     int // positions of the prompt
	held       int // positions in the cache
	downstream int // first position missing on a later stage of the route
	blocks     []uint64
	touched    time.Time
	deadly     bool // the prompt crashes the engine
}

// endedAttempt records that the attempts of a request up to a number have ended,
// so that late calls of these attempts are rejected.
type endedAttempt struct {
	attempt int
	at      time.Time
}

const (
	endedAttemptTTL = 30 * time.Second // late calls of an ended attempt arrive within this time
	stateTTL        = 30 * time.Second // a state unused for this long has lost its driving stage
	blockTokens     = 64               // positions per cache block
	maxEvents       = 1024             // cache events kept for readers
)

// promptTokens returns the number of positions of a prompt, one for each word.
func promptTokens(prompt string) int { return max(1, len(strings.Fields(prompt))) }

// release ends the attempts of a request up to the given number, frees its slot
// and moves its prompt to the prefix cache.
func (e *Engine) release(request string, attempt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.ended) > 4096 {
		for r, x := range e.ended {
			if now.Sub(x.at) > endedAttemptTTL {
				delete(e.ended, r)
			}
		}
	}
	if attempt >= e.ended[request].attempt {
		e.ended[request] = endedAttempt{attempt: attempt, at: now}
	}
	if s := e.states[request]; s != nil && s.attempt <= attempt {
		e.dropState(request, s)
	}
}

// dropState removes a state, frees its slot and caches its prompt. The caller holds
// e.mu.
func (e *Engine) dropState(request string, s *requestState) {
	delete(e.states, request)
	if s.held >= s.prompt {
		e.cache.store(s.blocks, e.cfg.Memory-e.usedPositions(), e.faults.LoseEvents)
	}
	if s.slot {
		e.slots.release()
	}
}

// expireStates drops the states that were unused for stateTTL. The caller holds
// e.mu.
func (e *Engine) expireStates() {
	now := time.Now()
	for r, s := range e.states {
		if now.Sub(s.touched) > stateTTL {
			e.dropState(r, s)
		}
	}
}

// usedPositions returns the number of cache positions of running requests. The
// caller holds e.mu.
func (e *Engine) usedPositions() int {
	n := 0
	for _, s := range e.states {
		n += s.held
	}
	return n
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q engine.AttemptID
	if decodeBody(w, r, &q) {
		e.release(q.Request, q.Attempt)
		writeJSON(w, e.load(0))
	}
}

// prefixCache is an LRU cache of the prompt blocks of ended requests. Guarded by
// Engine.mu.
type prefixCache struct {
	blocks     map[uint64]uint64 // block hash to logical time of last use
	clock      uint64
	lastNumber uint64
	events     []timedEvent
}

type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

// match returns the number of leading blocks that are cached and marks them used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
		c.clock++
		c.blocks[b] = c.clock
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones while the cache
// exceeds capacity positions.
func (c *prefixCache) store(blocks []uint64, capacity int, loseEvents bool) {
	for _, b := range blocks {
		c.clock++
		if _, ok := c.blocks[b]; !ok {
			c.addEvent(b, true, loseEvents)
		}
		c.blocks[b] = c.clock
	}
	for len(c.blocks) > 0 && len(c.blocks)*blockTokens > capacity {
		var oldest uint64
		first := true
		for b, t := range c.blocks {
			if first || t < c.blocks[oldest] {
				oldest, first = b, false
			}
		}
		delete(c.blocks, oldest)
		c.addEvent(oldest, false, loseEvents)
	}
}

// addEvent records that a block was stored or evicted. With loseEvents every third
// event is lost.
func (c *prefixCache) addEvent(block uint64, stored, loseEvents bool) {
	c.lastNumber++
	if loseEvents && c.lastNumber%3 == 0 {
		return
	}
	c.events = append(c.events, timedEvent{engine.CacheEvent{Number: c.lastNumber, Block: block, Stored: stored}, time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a higher number that are at least delay old.
func (c *prefixCache) eventsAfter(number uint64, delay time.Duration) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, x := range c.events {
		if x.Number > number && time.Since(x.at) >= delay {
			out = append(out, x.CacheEvent)
		}
	}
	return out
}

// lastPublished returns the number of the latest event that is at least delay old.
func (c *prefixCache) lastPublished(delay time.Duration) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if time.Since(c.events[i].at) >= delay {
			return c.events[i].Number
		}
	}
	return 0
}

// ExportStore is the shared storage that engines export KV caches to.
type ExportStore struct {
	mu    sync.Mutex
	items map[string]exportedCache
}

type exportedCache struct{ first, last, prompt, held int }

// NewExportStore returns an empty store.
func NewExportStore() *ExportStore { return &ExportStore{items: map[string]exportedCache{}} }

const positionBytes = 4096 // KV cache size of one position on a stage

// export serves POST /export: it stores the KV cache of a request.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var q engine.AttemptID
	if !decodeBody(w, r, &q) {
		return
	}
	e.mu.Lock()
	s := e.states[q.Request]
	if s == nil || s.held < s.prompt {
		e.mu.Unlock()
		http.Error(w, "no state of this request", http.StatusNotFound)
		return
	}
	item := exportedCache{first: e.cfg.First, last: e.cfg.Last, prompt: s.prompt, held: s.held}
	e.mu.Unlock()
	handle := fmt.Sprintf("%s/%d/%d", q.Request, item.first, item.held)
	e.cfg.Exports.mu.Lock()
	e.cfg.Exports.items[handle] = item
	e.cfg.Exports.mu.Unlock()
	writeJSON(w, engine.Export{Handle: handle, Position: item.held - item.prompt, Bytes: int64(item.held) * positionBytes})
}

// importState serves POST /import: it creates a state from an exported KV cache.
func (e *Engine) importState(w http.ResponseWriter, r *http.Request) {
	var q engine.Import
	if !decodeBody(w, r, &q) {
		return
	}
	e.cfg.Exports.mu.Lock()
	item, ok := e.cfg.Exports.items[q.Handle]
	e.cfg.Exports.mu.Unlock()
	e.mu.Lock()
	first, last := e.cfg.First, e.cfg.Last
	e.mu.Unlock()
	if !ok || item.first != first || item.last != last {
		http.Error(w, "no such export for this layer range", http.StatusNotFound)
		return
	}
	if err := sleep(r.Context(), time.Duration(item.held)*e.cfg.Import); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[q.Request]
	if s == nil && q.Attempt > e.ended[q.Request].attempt {
		s = &requestState{}
		e.states[q.Request] = s
	}
	if s == nil || s.attempt > q.Attempt {
		http.Error(w, "attempt has ended", http.StatusConflict)
		return
	}
	s.attempt, s.prompt, s.held, s.touched = q.Attempt, item.prompt, item.held, time.Now()
	writeJSON(w, engine.Export{Handle: q.Handle, Position: item.held - item.prompt})
}
