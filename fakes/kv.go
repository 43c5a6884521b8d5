package fakes

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// state is the KV cache of one request on one stage. The engine's lock guards
// it.
type state struct {
	attempt int
	slot    bool
	prompt  int // positions of the prompt
	held    int // positions held
	down    int // first position that a later stage of the route lacks
	blocks  []uint64
	touched time.Time
}

// ending records that attempts of a request up to a number have ended.
type ending struct {
	attempt int
	at      time.Time
}

const (
	endingTime  = 30 * time.Second // late calls of an ended attempt come within this time
	idleTime    = 30 * time.Second // a state untouched for so long has lost its driver
	blockTokens = 64               // positions that a cache block stands for
	maxEvents   = 1024             // events kept for readers
)

// promptTokens returns the positions of a prompt.
func promptTokens(prompt string) int { return max(1, len(strings.Fields(prompt))) }

// release ends the attempts of a request up to the given number, frees its
// slot and keeps its prompt in the prefix cache.
func (e *Engine) release(request string, attempt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if len(e.ended) > 4096 {
		for r, x := range e.ended {
			if now.Sub(x.at) > endingTime {
				delete(e.ended, r)
			}
		}
	}
	if attempt >= e.ended[request].attempt {
		e.ended[request] = ending{attempt: attempt, at: now}
	}
	if s := e.states[request]; s != nil && s.attempt <= attempt {
		e.drop(request, s)
	}
}

// drop removes a state. The caller holds e.mu.
func (e *Engine) drop(request string, s *state) {
	delete(e.states, request)
	if s.held >= s.prompt {
		e.cache.store(s.blocks, e.cfg.Memory-e.positions(), e.faults.LoseEvents)
	}
	if s.slot {
		e.slots.give()
	}
}

// expire drops states whose driver is gone. The caller holds e.mu.
func (e *Engine) expire() {
	now := time.Now()
	for r, s := range e.states {
		if now.Sub(s.touched) > idleTime {
			e.drop(r, s)
		}
	}
}

// positions returns the positions held by running requests.
func (e *Engine) positions() int {
	n := 0
	for _, s := range e.states {
		n += s.held
	}
	return n
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q engine.Release
	if accept(w, r, &q) {
		e.release(q.Request, q.Attempt)
		reply(w, e.load(0))
	}
}

// prefixCache holds the prompt blocks of ended requests, least recently used
// first out. The engine's lock guards it.
type prefixCache struct {
	blocks map[uint64]uint64 // hash to time of use
	clock  uint64
	number uint64
	events []event
}

type event struct {
	engine.Event
	at time.Time
}

// match returns the number of leading blocks that are cached.
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

// store adds blocks and evicts others while they need more than room.
func (c *prefixCache) store(blocks []uint64, room int, gaps bool) {
	for _, b := range blocks {
		c.clock++
		if _, ok := c.blocks[b]; !ok {
			c.tell(b, true, gaps)
		}
		c.blocks[b] = c.clock
	}
	for len(c.blocks) > 0 && len(c.blocks)*blockTokens > room {
		var oldest uint64
		first := true
		for b, t := range c.blocks {
			if first || t < c.blocks[oldest] {
				oldest, first = b, false
			}
		}
		delete(c.blocks, oldest)
		c.tell(oldest, false, gaps)
	}
}

func (c *prefixCache) tell(block uint64, stored, gaps bool) {
	c.number++
	if gaps && c.number%3 == 0 {
		return
	}
	c.events = append(c.events, event{engine.Event{Number: c.number, Block: block, Stored: stored}, time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events that are older than the delay.
func (c *prefixCache) after(number uint64, delay time.Duration) []engine.Event {
	out := []engine.Event{}
	for _, x := range c.events {
		if x.Number > number && time.Since(x.at) >= delay {
			out = append(out, x.Event)
		}
	}
	return out
}

// published returns the number of the latest event that readers can see.
func (c *prefixCache) published(delay time.Duration) uint64 {
	for i := len(c.events) - 1; i >= 0; i-- {
		if time.Since(c.events[i].at) >= delay {
			return c.events[i].Number
		}
	}
	return 0
}

// ExportStore is the storage that engines export KV caches to.
type ExportStore struct {
	mu    sync.Mutex
	items map[string]depotItem
}

type depotItem struct{ first, last, prompt, held int }

// NewExportStore returns an empty depot.
func NewExportStore() *ExportStore { return &ExportStore{items: map[string]depotItem{}} }

const positionBytes = 4096 // size of the KV cache of one position on a stage

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var q engine.Release
	if !accept(w, r, &q) {
		return
	}
	e.mu.Lock()
	s := e.states[q.Request]
	if s == nil || s.held < s.prompt {
		e.mu.Unlock()
		http.Error(w, "no state of this request", http.StatusNotFound)
		return
	}
	it := depotItem{first: e.cfg.First, last: e.cfg.Last, prompt: s.prompt, held: s.held}
	e.mu.Unlock()
	handle := fmt.Sprintf("%s/%d/%d", q.Request, it.first, it.held)
	e.cfg.Exports.mu.Lock()
	e.cfg.Exports.items[handle] = it
	e.cfg.Exports.mu.Unlock()
	reply(w, engine.Export{Handle: handle, Position: it.held - it.prompt, Bytes: int64(it.held) * positionBytes})
}

func (e *Engine) importState(w http.ResponseWriter, r *http.Request) {
	var q engine.Import
	if !accept(w, r, &q) {
		return
	}
	e.cfg.Exports.mu.Lock()
	it, ok := e.cfg.Exports.items[q.Handle]
	e.cfg.Exports.mu.Unlock()
	e.mu.Lock()
	first, last := e.cfg.First, e.cfg.Last
	e.mu.Unlock()
	if !ok || it.first != first || it.last != last {
		http.Error(w, "no such export for this layer range", http.StatusNotFound)
		return
	}
	if err := sleep(r.Context(), time.Duration(it.held)*e.cfg.Import); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[q.Request]
	if s == nil && q.Attempt > e.ended[q.Request].attempt {
		s = &state{}
		e.states[q.Request] = s
	}
	if s == nil || s.attempt > q.Attempt {
		http.Error(w, "attempt has ended", http.StatusConflict)
		return
	}
	s.attempt, s.prompt, s.held, s.touched = q.Attempt, it.prompt, it.held, time.Now()
	reply(w, engine.Export{Handle: q.Handle, Position: it.held - it.prompt})
}
