package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/table"
)

// Config holds the parts of a Book.
type Config struct {
	Table         *table.Client
	Objects       *object.Client // for large outcomes; nil drops their bodies
	Holder        string         // incarnation of this process
	Retention     time.Duration  // how long outcomes are kept; 0 for 24 h
	MaxClockSkew  time.Duration  // how far wall clocks may differ; 0 for 1 h
	MaxBatchRows  int            // rows in one transaction; 0 for 200
	MaxInlineBody int            // largest body kept in a row, in bytes; 0 for 16 KiB
	Rand          *rand.Rand     // nil for a random seed
	NewID         func() string  // unique IDs of claims, called concurrently; nil for random UUIDs
	Log           zerolog.Logger
	// QueryHolder asks the incarnation that made a claim whether it ran. An error means
	// that it was not reached. Nil when no other incarnation can be reached.
	QueryHolder func(ctx context.Context, holder, claim string) (RunStatus, error)
	// ProcessCount returns the number of entry processes, which share the sweeping of
	// expired rows; nil for one.
	ProcessCount func() int
}

// Manager makes claims and issues tickets.
type Manager struct {
	cfg   Config
	group *group
	seal  sealer

	mu      sync.Mutex
	byKey   map[string]*Claim // claims in progress of this process
	byID    map[string]*Claim // claims that others may ask about
	settle  map[*Claim]state  // rows still to be written
	tickets map[string]*Claim // tickets that were used
	bytes   int               // of outcomes in memory
	probe   time.Time         // when a failing table is probed next
	cursor  string            // position of sweeping; used by steps only
	sweepAt time.Time         // when the next page is swept; used by steps only
}

// New returns a book.
func New(cfg Config) *Manager {
	if cfg.Retention == 0 {
		cfg.Retention = 24 * time.Hour
	}
	if cfg.MaxClockSkew == 0 {
		cfg.MaxClockSkew = time.Hour
	}
	if cfg.MaxBatchRows == 0 {
		cfg.MaxBatchRows = 200
	}
	if cfg.MaxInlineBody == 0 {
		cfg.MaxInlineBody = 16 << 10
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	if cfg.ProcessCount == nil {
		cfg.ProcessCount = func() int { return 1 }
	}
	return &Manager{
		cfg: cfg, group: &group{table: cfg.Table, max: cfg.MaxBatchRows}, seal: newSealer(),
		byKey: map[string]*Claim{}, byID: map[string]*Claim{}, settle: map[*Claim]state{}, tickets: map[string]*Claim{},
		cursor: fmt.Sprintf("%s%08x", prefix, cfg.Rand.Uint32()),
	}
}

// Holder returns the incarnation of this process.
func (b *Manager) Holder() string { return b.cfg.Holder }

// maxRounds bounds how often Begin takes over a released row that others take
// over at the same time.
const maxRounds = 4

// Begin claims a key. It returns a claim when the work may run now, or the
// outcome when it has run before. A claim is valid until ctx ends; it must be
// started with Start and ended with Finish, Release or Abandon. Errors:
// fault.Reused for a key that belongs to another request; fault.Conflict, may
// have run, for work that was started before and whose outcome is not known;
// fault.Unavailable, not run, when the claim could not be recorded.
func (b *Manager) Begin(ctx context.Context, k Key, digest uint64) (*Claim, *Outcome, error) {
	if isTicket(k.Key) {
		return b.beginTicket(k, digest)
	}
	c := &Claim{id: b.cfg.NewID(), key: k.row(), digest: digest, until: time.Now().Add(b.cfg.Retention).UTC()}
	if o, err := b.enter(c); o != nil || err != nil {
		return nil, o, err
	}
	c.revision = table.Absent
	for range maxRounds {
		r := b.write(ctx, c, claimed, nil)
		if r.err == nil {
			b.set(c, held)
			return c, nil, nil
		}
		if !errors.Is(r.err, errOther) {
			b.refuse(c, r.err)
			return nil, nil, unavailable(r.err)
		}
		o, revision, err := b.decide(ctx, r.row, digest)
		if o != nil || err != nil {
			b.forget(c)
			return nil, o, err
		}
		c.revision = revision
	}
	b.forget(c)
	return nil, nil, unclearError("other requests with this idempotency key came first", time.Second)
}

// enter registers a claim of this process. It answers a repeat of work that
// this process has in progress.
func (b *Manager) enter(c *Claim) (*Outcome, error) {
	down, now := b.group.down(), time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.byKey[c.key]; old != nil {
		if old.phase != finished || now.Before(old.until) {
			return old.repeat(c.digest)
		}
		// Its outcome is past its time and still to be recorded; the key may
		// have been used for new work elsewhere.
		b.leave(old)
	}
	if !down.IsZero() && now.Sub(down) > failAfter {
		if !now.Before(b.probe) {
			b.probe = now.Add(max(minProbe, time.Duration(b.cfg.ProcessCount())*probeShare))
			go b.group.check()
		}
		return nil, unavailable(fmt.Errorf("the table has taken no write for %s", now.Sub(down).Round(time.Millisecond)))
	}
	b.byKey[c.key], b.byID[c.id] = c, c
	return nil, nil
}

const (
	// failAfter is how long the table must fail before claims are refused
	// without a try. A single lost reply is resolved in less.
	failAfter = 500 * time.Millisecond
	// minProbe is the time between two probes of a failing table.
	minProbe = 500 * time.Millisecond
	// probeShare makes all processes together send at most 200 probes/s, which
	// the table takes when it comes back.
	probeShare = 5 * time.Millisecond
)

// repeat answers a repeat of a claim that this process holds.
func (c *Claim) repeat(digest uint64) (*Outcome, error) {
	switch {
	case c.digest != digest:
		return nil, reusedError()
	case c.phase == finished:
		return c.outcome.replay()
	case c.phase == lost:
		return nil, unclearError("the outcome of the request with this idempotency key is not known", 0)
	default:
		return nil, unclearError("a request with this idempotency key is running", time.Second)
	}
}

// replay returns an outcome that can be sent again.
func (o *Outcome) replay() (*Outcome, error) {
	if o.BodyLost {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Conflict, Reason: "the request ran, its answer was not kept"})
	}
	return o, nil
}

// decide reads a row of another claim. It returns its outcome, or the revision
// at which the row may be taken over.
func (b *Manager) decide(ctx context.Context, r table.Row, digest uint64) (*Outcome, uint64, error) {
	if !r.Exists() {
		return nil, table.Absent, nil
	}
	v, err := decode(r.Key(), r.Value())
	if err != nil {
		return nil, 0, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: "the record of this idempotency key can't be read", Cause: err})
	}
	if v.Digest != digest {
		return nil, 0, reusedError()
	}
	switch v.State {
	case done:
		o, err := b.load(ctx, v.Outcome)
		return o, 0, err
	case released:
		return nil, r.Revision(), nil
	case claimed:
		switch b.ask(ctx, v) {
		case StatusNotRun:
			return nil, r.Revision(), nil
		case StatusRunning:
			return nil, 0, unclearError("a request with this idempotency key is running", time.Second)
		}
		return nil, 0, unclearError("a request with this idempotency key was started and its entry process does not answer", 5*time.Second)
	default:
		return nil, 0, unclearError("the outcome of the request with this idempotency key is not known", 0)
	}
}

const askTimeout = time.Second

// ask returns the word of the incarnation that made a claim.
func (b *Manager) ask(ctx context.Context, v row) RunStatus {
	if v.Holder == b.cfg.Holder {
		return b.RunStatus(v.Claim)
	}
	if b.cfg.QueryHolder == nil {
		return StatusUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	w, err := b.cfg.QueryHolder(ctx, v.Holder, v.Claim)
	if err != nil {
		return StatusUnknown
	}
	return w
}

// RunStatus returns the word of this incarnation on a claim that it made. It says
// that a claim was not run only when it has recorded the refusal, which it
// never takes back.
func (b *Manager) RunStatus(id string) RunStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.byID[id]
	switch {
	case c == nil || c.phase == lost:
		return StatusUnknown
	case c.phase == refused:
		return StatusNotRun
	default:
		return StatusRunning
	}
}

// write writes the claim's row in a state at its revision and waits for the
// result, at most until ctx ends.
func (b *Manager) write(ctx context.Context, c *Claim, s state, o *Outcome) result {
	value, err := c.encode(b.cfg.Holder, s, o)
	if err != nil {
		return result{err: errors.Join(errNotWritten, err)}
	}
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(maxWait)
	}
	w := &write{claim: c, state: s, expect: c.revision, value: value, by: by, result: make(chan result, 1)}
	b.group.submit(w)
	select {
	case r := <-w.result:
		if r.err == nil {
			c.revision = r.revision
		}
		return r
	case <-ctx.Done():
		// The write stays in the queue and may still be committed.
		return result{err: errors.Join(errUnresolved, ctx.Err())}
	}
}

// maxWait bounds a write whose context has no deadline.
const maxWait = 5 * time.Second

func unavailable(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "the request could not be claimed and was not run", RetryAt: time.Now().Add(2 * time.Second), Cause: err})
}

func reusedError() error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.KeyReused, Reason: "the idempotency key was used with another request"})
}

// unclearError is the answer to a repeat of work whose outcome is not known.
func unclearError(reason string, retry time.Duration) error {
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: reason}
	if retry > 0 {
		cfg.RetryAt = time.Now().Add(retry)
	}
	return fault.New(cfg)
}
