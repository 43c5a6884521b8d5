package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/beat"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/table"
)

// nodeTable holds one row for each entry process.
const nodeTable = "nodes/"

// node is the value of a row.
type node struct {
	Address string `json:"address"` // of heartbeats
	Callers string `json:"callers"`
	Domain  string `json:"domain"`
}

// nodes keeps the row of this process and reads those of the others.
type nodes struct {
	self  Settings
	rows  *table.Client
	ring  *beat.Ring
	after func(size int)
	log   zerolog.Logger

	mu      sync.Mutex
	leaving bool
	written bool
}

func newNodes(s Settings, rows *table.Client, g *beat.Ring, u *budgets, log zerolog.Logger) *nodes {
	return &nodes{self: s, rows: rows, ring: g, after: u.resize, log: log}
}

const (
	rereadWait = time.Second // after a failed read
	maxNodes   = 500         // rows of one read
)

// run writes the row of this process and reads all rows in an interval.
func (n *nodes) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := peersEvery
		if err := n.step(ctx); err != nil {
			n.log.Warn().Err(err).Msg("rows of the entry processes not read")
			wait = rereadWait
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (n *nodes) step(ctx context.Context) error {
	n.mu.Lock()
	write := !n.leaving && !n.written
	n.mu.Unlock()
	if write {
		if err := n.write(ctx); err != nil {
			return err
		}
	}
	rows, err := n.rows.Scan(ctx, nodeTable, "", maxNodes)
	if err != nil {
		return err
	}
	var all []beat.Peer
	listed := false
	for _, r := range rows {
		var v node
		name := r.Key()[len(nodeTable):]
		if err := json.Unmarshal(r.Value(), &v); err != nil {
			n.log.Warn().Err(err).Str("peer", name).Msg("row of an entry process can't be read")
			continue
		}
		listed = listed || name == n.self.Name
		all = append(all, beat.Peer{Name: name, Address: v.Address, Callers: v.Callers, Domain: v.Domain})
	}
	n.mu.Lock()
	n.written = listed
	n.mu.Unlock()
	n.ring.Listed(all)
	n.after(n.ring.Size())
	return nil
}

func (n *nodes) write(ctx context.Context) error {
	value, err := json.Marshal(node{Address: n.self.Listen.Beats, Callers: n.self.Listen.Callers, Domain: n.self.Domain})
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	var b table.Batch
	b.Put(nodeTable+n.self.Name, value)
	if _, err := n.rows.Commit(ctx, b); err != nil {
		return fmt.Errorf("write the row of this process: %w", err)
	}
	n.mu.Lock()
	n.written = true
	n.mu.Unlock()
	return nil
}

// leave removes the row of this process.
func (n *nodes) leave(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	var b table.Batch
	b.Delete(nodeTable + n.self.Name)
	if _, err := n.rows.Commit(ctx, b); err != nil && !errors.Is(err, context.Canceled) {
		n.log.Warn().Err(err).Msg("row of this process not removed")
	}
}

const (
	// budgetShare is the part of the bound on repeats that the processes use
	// together: their views of how many they are differ for seconds.
	budgetShare = 0.7
	// fewProcesses divides the bound before the others are known.
	fewProcesses = 8
)

// budgets holds this process's share of the repeats of each service.
type budgets struct {
	ratio, slack float64

	mu       sync.Mutex
	size     int
	services map[string]*retry.Budget
}

func newBudgets(s Settings) *budgets {
	return &budgets{ratio: s.Bounds.Ratio * budgetShare, slack: s.Bounds.Slack * budgetShare, size: fewProcesses, services: map[string]*retry.Budget{}}
}

// of returns the budget of a service.
func (u *budgets) of(service string) *retry.Budget {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.services[service]
	if b == nil {
		burst := u.slack / float64(u.size)
		b = retry.New(retry.Config{Share: u.ratio, Burst: burst, Start: burst})
		u.services[service] = b
	}
	return b
}

// resize takes the number of entry processes. Shares only become smaller while a
// process runs: one that left may come back.
func (u *budgets) resize(size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if size <= u.size {
		return
	}
	u.size = size
	for _, b := range u.services {
		b.Bound(u.slack / float64(size))
	}
}
