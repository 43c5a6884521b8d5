package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/object"
)

// Start marks the work of a claim as started. It must be called right before
// the work is first sent to a server; when it fails, the work must not be sent
// and the claim must be released.
func (b *Manager) Start(ctx context.Context, c *Claim) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A process that was paused wakes up here with its old claim. The claim
	// itself is still exclusive, but nobody waits for the answer.
	if by, ok := ctx.Deadline(); ctx.Err() != nil || ok && time.Now().After(by) {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Timeout, Reason: "the deadline passed before the request was sent", Cause: ctx.Err()})
	}
	if c.phase != held {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "the claim was given up"})
	}
	c.phase = running
	return nil
}

// Finish records the outcome of a claim. When that fails, the outcome stays in
// memory and is written when the table allows; until then only this process
// can replay it.
func (b *Manager) Finish(ctx context.Context, c *Claim, o Outcome) error {
	if err := b.advance(c, finished, &o); err != nil {
		return err
	}
	if c.ticket {
		return nil
	}
	return b.record(ctx, c, done)
}

// Release records that the claimed work was not run, so that a repeat may run.
// It must follow a not-run verdict on every server that was tried.
func (b *Manager) Release(ctx context.Context, c *Claim) error {
	if err := b.advance(c, refused, nil); err != nil || c.ticket {
		return err
	}
	return b.record(ctx, c, released)
}

// Abandon records that it is not known whether the claimed work ran. It will
// not run again under its key.
func (b *Manager) Abandon(ctx context.Context, c *Claim) error {
	if err := b.advance(c, lost, nil); err != nil || c.ticket {
		return err
	}
	return b.record(ctx, c, unclear)
}

// advance moves a claim to its last phase. Each claim ends once: an outcome
// after a refusal, or a refusal after an outcome, would break the promise that
// was given first.
func (b *Manager) advance(c *Claim, p phase, o *Outcome) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase != running && (c.phase != held || p != refused) {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: fmt.Sprintf("a claim in phase %d can't go to phase %d", c.phase, p)})
	}
	c.phase, c.outcome = p, o
	if !c.ticket {
		// Counted from the end: work that started late, after a pause, must
		// still be remembered for the whole time.
		c.until = time.Now().Add(b.cfg.Retention).UTC()
	}
	if p == refused {
		b.leave(c)
	}
	if o != nil {
		b.bound(c)
	}
	return nil
}

// maxBytes bounds the bodies of outcomes that are held in memory.
const maxBytes = 32 << 20

// bound drops the body of an outcome when too much memory is in use. The
// caller holds the lock.
func (b *Manager) bound(c *Claim) {
	if b.bytes+len(c.outcome.Body) > maxBytes {
		c.outcome = &Outcome{Status: c.outcome.Status, BodyLost: true}
	}
	b.bytes += len(c.outcome.Body)
}

// leave lets repeats of the key go to the table, or use the ticket again. The
// caller holds the lock.
func (b *Manager) leave(c *Claim) {
	if b.byKey[c.key] == c {
		delete(b.byKey, c.key)
	}
	if b.tickets[c.key] == c {
		delete(b.tickets, c.key)
	}
}

func (b *Manager) set(c *Claim, p phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase = p
}

// forget removes a claim whose row tells others all there is to know.
func (b *Manager) forget(c *Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leave(c)
	delete(b.byID, c.id)
	delete(b.settle, c)
	if c.outcome != nil {
		b.bytes -= len(c.outcome.Body)
		c.outcome = nil
	}
}

// refuse gives up a claim whose row was not written for certain or perhaps. In
// the latter case the row may appear later, and others may ask about it.
func (b *Manager) refuse(c *Claim, err error) {
	if errors.Is(err, errNotWritten) {
		b.forget(c)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.phase = refused
	b.leave(c)
	b.settle[c] = released
}

// record writes the last state of a claim. When that fails, it stays to be
// settled.
func (b *Manager) record(ctx context.Context, c *Claim, s state) error {
	r := b.write(ctx, c, s, b.store(ctx, c))
	if r.err == nil {
		b.forget(c)
		return nil
	}
	if errors.Is(r.err, errOther) {
		b.forget(c)
		if s == released {
			return nil // a repeat has already taken over the refused claim
		}
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: "the claim was taken over by another process", Cause: r.err})
	}
	b.mu.Lock()
	b.settle[c] = s
	b.mu.Unlock()
	return fmt.Errorf("record claim %s: %w", c.id, r.err)
}

// objectPrefix is followed by the ID of the claim.
const objectPrefix = "outcome/"

// store returns the outcome as the row keeps it. A large body goes to the
// object store; when that fails, the row says that the body was not kept.
func (b *Manager) store(ctx context.Context, c *Claim) *Outcome {
	b.mu.Lock()
	o := c.outcome
	b.mu.Unlock()
	if o == nil || o.BodyLost || len(o.Body) <= b.cfg.MaxInlineBody {
		return o
	}
	kept := *o
	kept.Body, kept.ObjectKey = nil, objectPrefix+c.id
	if b.cfg.Objects == nil {
		return &Outcome{Status: o.Status, BodyLost: true}
	}
	if err := b.cfg.Objects.Put(ctx, kept.ObjectKey, o.Body); err != nil {
		b.cfg.Log.Warn().Err(err).Str("claim", c.id).Msg("body of an outcome was not stored")
		return &Outcome{Status: o.Status, BodyLost: true}
	}
	return &kept
}

// load returns a recorded outcome with its body.
func (b *Manager) load(ctx context.Context, o *Outcome) (*Outcome, error) {
	if o == nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Internal, Reason: "the record of the request has no outcome"})
	}
	if o.ObjectKey == "" {
		return o.replay()
	}
	if b.cfg.Objects == nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be read here"})
	}
	body, err := b.cfg.Objects.Get(ctx, o.ObjectKey)
	if errors.Is(err, object.ErrAbsent) {
		return (&Outcome{BodyLost: true}).replay()
	}
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the request ran, its answer can't be read at present", RetryAt: time.Now().Add(2 * time.Second), Cause: err})
	}
	whole := *o
	whole.Body = body
	return &whole, nil
}

const (
	// MaintenanceInterval is the time between two steps of a book.
	MaintenanceInterval = 500 * time.Millisecond
	settleTimeout       = 10 * time.Second
)

// Run calls Step until ctx ends.
func (b *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(MaintenanceInterval):
		}
		b.Maintain(ctx)
	}
}

// Maintain settles rows, forgets used tickets that expired, and sweeps expired rows
// when a page of them is due. Steps must not overlap.
func (b *Manager) Maintain(ctx context.Context) {
	b.RetryPendingWrites(ctx)
	now := time.Now()
	b.purge(now)
	if b.sweepAt.IsZero() {
		b.sweepAt = now.Add(b.sweepInterval())
	}
	if now.Before(b.sweepAt) {
		return
	}
	if err := b.SweepPage(ctx); err != nil {
		b.cfg.Log.Debug().Err(err).Msg("expired claims were not swept")
	}
	b.sweepAt = time.Now().Add(b.sweepInterval())
}

// PendingWrites returns the number of claims whose row does not say yet what this
// process knows.
func (b *Manager) PendingWrites() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.settle)
}

// RetryPendingWrites tries once to write the rows that could not be written before.
func (b *Manager) RetryPendingWrites(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	b.mu.Lock()
	todo := map[*Claim]state{}
	for c, s := range b.settle {
		if len(todo) == b.cfg.MaxBatchRows {
			break
		}
		todo[c] = s
	}
	b.mu.Unlock()
	results := make(chan struct{})
	for c, s := range todo {
		go func() {
			b.settleOne(ctx, c, s)
			results <- struct{}{}
		}()
	}
	for range todo {
		<-results
	}
}

// settleOne writes one row. For a refused claim the row "released" takes the
// place of the row "claimed" that may still arrive.
func (b *Manager) settleOne(ctx context.Context, c *Claim, s state) {
	r := b.write(ctx, c, s, b.store(ctx, c))
	if r.err == nil {
		b.forget(c)
		return
	}
	if !errors.Is(r.err, errOther) {
		return
	}
	if v, err := decode(r.row.Key(), r.row.Value()); err == nil && v.Claim == c.id && v.State == claimed {
		c.revision = r.row.Revision()
		return
	}
	b.forget(c)
}
