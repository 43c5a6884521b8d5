package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/object"
)

// Start marks the work of a claim as started. The caller must call it right
// before it first sends the work to a backend server. When Start fails, the
// caller must not send the work and must release the claim.
func (m *Manager) Start(ctx context.Context, c *Claim) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A process that was paused may resume here after the deadline. Its claim is
	// still exclusive, but the caller no longer waits for the answer.
	if deadline, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Now().After(deadline) {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Timeout, Reason: "the deadline passed before the request was sent", Cause: ctx.Err()})
	}
	if c.phase != ready {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "the claim was given up"})
	}
	c.phase = running
	return nil
}

// Finish records the outcome of a claim. When the write fails, the outcome stays
// in memory and the write is retried; until it succeeds only this process can
// replay the outcome.
func (m *Manager) Finish(ctx context.Context, c *Claim, o Outcome) error {
	if err := m.endClaim(c, finished, &o); err != nil {
		return err
	}
	if c.ticket {
		return nil
	}
	return m.record(ctx, c, done)
}

// Release records that the claimed work was not run, so that a repeat may run
// it. The caller must have a NotRun verdict from every server that it tried.
func (m *Manager) Release(ctx context.Context, c *Claim) error {
	if err := m.endClaim(c, refused, nil); err != nil || c.ticket {
		return err
	}
	return m.record(ctx, c, released)
}

// Abandon records that it is not known whether the claimed work ran. The work
// is not run again under its key.
func (m *Manager) Abandon(ctx context.Context, c *Claim) error {
	if err := m.endClaim(c, abandoned, nil); err != nil || c.ticket {
		return err
	}
	return m.record(ctx, c, unclear)
}

// endClaim moves a claim to its last phase. Each claim ends only once: an
// outcome after a refusal, or a refusal after an outcome, would contradict what
// a caller or another process was told before.
func (m *Manager) endClaim(c *Claim, p phase, o *Outcome) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.phase != running && (c.phase != ready || p != refused) {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: fmt.Sprintf("a claim in phase %d can't go to phase %d", c.phase, p)})
	}
	c.phase, c.outcome = p, o
	if !c.ticket {
		// The retention counts from the end of the work. Work that started late,
		// for example after a pause, is kept for the whole retention too.
		c.until = time.Now().Add(m.cfg.Retention).UTC()
	}
	if p == refused {
		m.unregister(c)
	}
	if o != nil {
		m.limitMemory(c)
	}
	return nil
}

// outcomePart is the part of the memory that outcomes may take. The rest is for the tickets themselves.
const outcomePart = 2

// limitMemory drops the body of an outcome for which there is no memory. The caller holds the lock.
func (m *Manager) limitMemory(c *Claim) {
	if m.outcomeBytes+c.outcome.size() > m.cfg.Memory/outcomePart {
		c.outcome = &Outcome{Status: c.outcome.Status, BodyLost: true}
	} else {
		o := *c.outcome
		o.Body = bytes.Clone(o.Body) // without the free part of the buffer into which it was read
		c.outcome = &o
	}
	m.outcomeBytes += c.outcome.size()
}

// size returns the memory of what a server chose in an outcome, in bytes.
func (o *Outcome) size() int64 {
	n := len(o.Body)
	for k, values := range o.Header {
		n += len(k)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// unregister removes a claim from the lookup by key: repeats of the key go to the
// table, and a ticket may be used again. The caller holds the lock.
func (m *Manager) unregister(c *Claim) {
	if m.byKey[c.key] == c {
		delete(m.byKey, c.key)
	}
	if m.tickets[c.key] == c {
		delete(m.tickets, c.key)
	}
}

// setPhase sets the phase of a claim.
func (m *Manager) setPhase(c *Claim, p phase) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.phase = p
}

// remove deletes a claim from memory once its row holds everything that this
// process knows about it.
func (m *Manager) remove(c *Claim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unregister(c)
	delete(m.byID, c.id)
	delete(m.unwritten, c)
	if c.outcome != nil {
		m.outcomeBytes -= c.outcome.size()
		c.outcome = nil
	}
}

// giveUp ends a claim whose row was not written. When it is not certain that the
// row will never be written, the claim is kept, so that other processes can ask
// about it and a later write replaces the row.
func (m *Manager) giveUp(c *Claim, err error) {
	if errors.Is(err, errNotWritten) {
		m.remove(c)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c.phase = refused
	m.unregister(c)
	m.unwritten[c] = released
}

// record writes the last state of a claim. When the write fails, it is left to
// RetryPendingWrites.
func (m *Manager) record(ctx context.Context, c *Claim, s state) error {
	r := m.write(ctx, c, s, m.storeOutcome(ctx, c))
	if r.err == nil {
		m.remove(c)
		return nil
	}
	if errors.Is(r.err, errChanged) {
		m.remove(c)
		if s == released {
			return nil // a repeat has already taken over the released claim
		}
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: "the claim was taken over by another process", Cause: r.err})
	}
	m.mu.Lock()
	m.unwritten[c] = s
	m.mu.Unlock()
	return fmt.Errorf("record claim %s: %w", c.id, r.err)
}

// objectPrefix is the prefix of the object keys of outcome bodies. The claim ID
// follows it.
const objectPrefix = "outcome/"

// storeOutcome returns the outcome in the form in which the row holds it. A body
// over MaxInlineBody is written to the object store; when that fails, the row
// states that the body was not kept.
func (m *Manager) storeOutcome(ctx context.Context, c *Claim) *Outcome {
	m.mu.Lock()
	o := c.outcome
	m.mu.Unlock()
	if o == nil || o.BodyLost || len(o.Body) <= m.cfg.MaxInlineBody {
		return o
	}
	kept := *o
	kept.Body, kept.ObjectKey = nil, objectPrefix+c.id
	if m.cfg.Objects == nil {
		return &Outcome{Status: o.Status, BodyLost: true}
	}
	if err := m.cfg.Objects.Put(ctx, kept.ObjectKey, o.Body); err != nil {
		m.cfg.Log.Warn().Err(err).Str("claim", c.id).Msg("outcome body was not written to the object store")
		return &Outcome{Status: o.Status, BodyLost: true}
	}
	return &kept
}

// loadOutcome returns a recorded outcome with its body, which it reads from the
// object store when the row does not hold it.
func (m *Manager) loadOutcome(ctx context.Context, o *Outcome) (*Outcome, error) {
	if o == nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Internal, Reason: "the record of the request has no outcome"})
	}
	if o.ObjectKey == "" {
		return o.replay()
	}
	if m.cfg.Objects == nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be read here"})
	}
	body, err := m.cfg.Objects.Get(ctx, o.ObjectKey)
	if errors.Is(err, object.ErrNotFound) {
		return (&Outcome{BodyLost: true}).replay()
	}
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be read at present", RetryAt: time.Now().Add(2 * time.Second), Cause: err})
	}
	loaded := *o
	loaded.Body = body
	return &loaded, nil
}

const (
	// MaintenanceInterval is the time between two calls of Maintain by Run.
	MaintenanceInterval = 500 * time.Millisecond
	// retryTimeout bounds one call of RetryPendingWrites.
	retryTimeout = 10 * time.Second
	// awaitInterval is the time between two checks in AwaitWrites.
	awaitInterval = 20 * time.Millisecond
)

// Run calls Maintain every MaintenanceInterval until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(MaintenanceInterval):
		}
		m.Maintain(ctx)
	}
}

// Maintain retries pending writes, forgets expired tickets, and sweeps one page
// of expired rows when that is due. Calls must not overlap.
func (m *Manager) Maintain(ctx context.Context) {
	m.RetryPendingWrites(ctx)
	now := time.Now()
	m.purgeTickets(now)
	if m.nextSweep.IsZero() {
		m.nextSweep = now.Add(m.sweepInterval())
	}
	if now.Before(m.nextSweep) {
		return
	}
	if err := m.SweepPage(ctx); err != nil {
		m.cfg.Log.Debug().Err(err).Msg("sweep of expired claims failed")
	}
	m.nextSweep = time.Now().Add(m.sweepInterval())
}

// PendingWrites returns the number of claims whose last state is not written to
// the table yet.
func (m *Manager) PendingWrites() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.unwritten)
}

// AwaitWrites waits until PendingWrites is zero or ctx ends. Maintain must be called
// meanwhile.
func (m *Manager) AwaitWrites(ctx context.Context) {
	for m.PendingWrites() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(awaitInterval):
		case <-ctx.Done():
		}
	}
}

// RetryPendingWrites tries once to write the rows that could not be written
// before, up to MaxBatchRows of them.
func (m *Manager) RetryPendingWrites(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	m.mu.Lock()
	todo := map[*Claim]state{}
	for c, s := range m.unwritten {
		if len(todo) == m.cfg.MaxBatchRows {
			break
		}
		todo[c] = s
	}
	m.mu.Unlock()
	written := make(chan struct{})
	for c, s := range todo {
		go func() {
			m.retryWrite(ctx, c, s)
			written <- struct{}{}
		}()
	}
	for range todo {
		<-written
	}
}

// retryWrite writes the last state of one claim again, and stops retrying when the
// row has that state or belongs to another claim. A claim whose first write had an
// unknown outcome is refused, but that write may still be applied later. The state
// "released" then replaces its row in state "claimed".
func (m *Manager) retryWrite(ctx context.Context, c *Claim, s state) {
	r := m.write(ctx, c, s, m.storeOutcome(ctx, c))
	if r.err == nil {
		m.remove(c)
		return
	}
	if !errors.Is(r.err, errChanged) {
		return
	}
	if v, err := decode(r.row.Key(), r.row.Value()); err == nil && v.Claim == c.id && v.State == claimed {
		c.revision = r.row.Revision()
		return
	}
	m.remove(c)
}
