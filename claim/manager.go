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

// Config configures a Manager.
type Config struct {
	Table         *table.Client  // holds the claim rows
	Objects       *object.Client // holds bodies over MaxInlineBody; nil drops them
	Holder        string         // incarnation of this process
	Retention     time.Duration  // how long outcomes are kept; default 24 h
	MaxClockSkew  time.Duration  // upper bound on the difference between wall clocks of processes; default 1 h
	MaxBatchRows  int            // rows in one transaction; default 200
	MaxInlineBody int            // largest body stored in a row, in bytes; default 16 KiB
	Rand          *rand.Rand     // chooses where sweeping starts; default a random seed
	NewID         func() string  // returns unique claim IDs, called concurrently; default random UUIDs
	Memory        int64          // bytes for used tickets and outcomes; default 64 MiB
	Log           zerolog.Logger
	// QueryHolder asks another incarnation for the run status of a claim that it
	// made. An error means that the incarnation was not reached. Nil when no
	// other incarnation can be reached.
	QueryHolder func(ctx context.Context, holder, claim string) (RunStatus, error)
	// ProcessCount returns the number of entry processes, which share the probes
	// of a failing table and the sweeping of expired rows; default 1.
	ProcessCount func() int
}

// Manager makes claims, records their outcomes and issues tickets. Its methods
// are safe for concurrent use, except that calls of Maintain and SweepPage must
// not overlap.
type Manager struct {
	cfg          Config
	committer    *committer
	ticketMACKey ticketMACKey

	mu           sync.Mutex
	byKey        map[string]*Claim // by row key: claims of this process that are in progress or not recorded yet
	byID         map[string]*Claim // by ID: claims that other processes may ask about
	unwritten    map[*Claim]state  // states that are still to be written to the table
	tickets      map[string]*Claim // by row key: claims made with a ticket
	outcomeBytes int64             // total size of outcomes in memory
	nextProbe    time.Time         // when a failing table is probed next
	cursor       string            // row key after which the next sweep starts; used by Maintain and SweepPage only
	nextSweep    time.Time         // when the next page is swept; used by Maintain and SweepPage only
}

// New returns a Manager with the defaults of cfg filled in.
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
	if cfg.Memory == 0 {
		cfg.Memory = 64 << 20
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
		cfg: cfg, committer: &committer{table: cfg.Table, maxRows: cfg.MaxBatchRows}, ticketMACKey: newTicketMACKey(),
		byKey: map[string]*Claim{}, byID: map[string]*Claim{}, unwritten: map[*Claim]state{}, tickets: map[string]*Claim{},
		cursor: fmt.Sprintf("%s%08x", prefix, cfg.Rand.Uint32()),
	}
}

// Holder returns the incarnation of this process.
func (m *Manager) Holder() string { return m.cfg.Holder }

// maxTakeovers bounds how often Begin tries to take over a released row while
// other requests try the same.
const maxTakeovers = 4

// Begin claims a key. It returns a claim when the work may run now, or the
// recorded outcome when the work has run before. A claim is valid until ctx
// ends. The caller must call Start before it sends the work, and end the claim
// with Finish, Release or Abandon.
//
// Errors are of type *fault.Error, among them:
//   - fault.KeyReused for a key that belongs to another request
//   - fault.Conflict with verdict MayHaveRun for work that was started before
//     and is still running or whose outcome is not known
//   - verdict Ran for work that has run before and whose answer was not kept or
//     can't be read
//   - fault.Unavailable with verdict NotRun when the claim could not be recorded
func (m *Manager) Begin(ctx context.Context, k Key, digest uint64) (*Claim, *Outcome, error) {
	if isTicket(k.Key) {
		return m.beginTicket(k, digest)
	}
	c := &Claim{id: m.cfg.NewID(), key: k.row(), digest: digest, until: time.Now().Add(m.cfg.Retention).UTC()}
	if o, err := m.register(c); o != nil || err != nil {
		return nil, o, err
	}
	c.revision = table.Absent
	for range maxTakeovers {
		r := m.write(ctx, c, claimed, nil)
		if r.err == nil {
			m.setPhase(c, ready)
			return c, nil, nil
		}
		if !errors.Is(r.err, errChanged) {
			m.giveUp(c, r.err)
			return nil, nil, unavailableError(r.err)
		}
		o, revision, err := m.resolve(ctx, r.row, digest)
		if o != nil || err != nil {
			m.remove(c)
			return nil, o, err
		}
		c.revision = revision
	}
	m.remove(c)
	return nil, nil, unclearError("other requests with this idempotency key came first", time.Second)
}

// register adds a new claim of this process. For a key that this process has
// in progress it returns the answer to the repeat instead. While the table is
// failing it returns an error at once and starts a probe when one is due.
func (m *Manager) register(c *Claim) (*Outcome, error) {
	since, now := m.committer.unavailableSince(), time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.byKey[c.key]; old != nil {
		if old.phase != finished || now.Before(old.until) {
			return old.repeat(c.digest)
		}
		// The outcome is not recorded yet and its retention is over. The key
		// may have been used for new work by another process.
		m.unregister(old)
	}
	if !since.IsZero() && now.Sub(since) > failFastAfter {
		if !now.Before(m.nextProbe) {
			m.nextProbe = now.Add(max(minProbeInterval, time.Duration(m.cfg.ProcessCount())*probeIntervalPerProcess))
			go m.committer.probe()
		}
		return nil, unavailableError(fmt.Errorf("the table has taken no write for %s", now.Sub(since).Round(time.Millisecond)))
	}
	m.byKey[c.key], m.byID[c.id] = c, c
	return nil, nil
}

const (
	// failFastAfter is how long the table must fail before claims are refused
	// without a write. A single lost reply is resolved in less time.
	failFastAfter = 500 * time.Millisecond
	// minProbeInterval is the shortest time between two probes of a failing
	// table by one process.
	minProbeInterval = 500 * time.Millisecond
	// probeIntervalPerProcess is multiplied by the number of processes, so that
	// all of them together send at most 200 probes/s. A table that comes back
	// can take that many.
	probeIntervalPerProcess = 5 * time.Millisecond
)

// repeat returns the answer to a repeated request for a claim that this process
// holds.
func (c *Claim) repeat(digest uint64) (*Outcome, error) {
	switch {
	case c.digest != digest:
		return nil, reusedError()
	case c.phase == finished:
		return c.outcome.replay()
	case c.phase == abandoned:
		return nil, unclearError("the outcome of the request with this idempotency key is not known", 0)
	default:
		return nil, unclearError("a request with this idempotency key is running", time.Second)
	}
}

// replay returns the outcome if it can be sent again, or an error if its body
// was not kept.
func (o *Outcome) replay() (*Outcome, error) {
	if o.BodyLost {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Conflict, Reason: "the request ran, its answer was not kept"})
	}
	return o, nil
}

// resolve decides what a request gets whose key has a row of another claim:
// the recorded outcome, the revision at which the row may be taken over, or an
// error.
func (m *Manager) resolve(ctx context.Context, r table.Row, digest uint64) (*Outcome, uint64, error) {
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
		o, err := m.loadOutcome(ctx, v.Outcome)
		return o, 0, err
	case released:
		return nil, r.Revision(), nil
	case claimed:
		switch m.queryHolder(ctx, v) {
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

// queryTimeout bounds one call of Config.QueryHolder. A holder may be silent for a
// second or so.
const queryTimeout = 2 * time.Second

// queryHolder returns the run status of a claim according to the incarnation
// that made it.
func (m *Manager) queryHolder(ctx context.Context, v row) RunStatus {
	if v.Holder == m.cfg.Holder {
		return m.RunStatus(v.Claim)
	}
	if m.cfg.QueryHolder == nil {
		return StatusUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := m.cfg.QueryHolder(ctx, v.Holder, v.Claim)
	if err != nil {
		return StatusUnknown
	}
	return status
}

// RunStatus returns what this incarnation knows of a claim that it made. It
// returns StatusNotRun only once the claim is refused, which is never reversed.
func (m *Manager) RunStatus(id string) RunStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.byID[id]
	switch {
	case c == nil || c.phase == abandoned:
		return StatusUnknown
	case c.phase == refused:
		return StatusNotRun
	default:
		return StatusRunning
	}
}

// write writes the claim's row with state s, on the condition that the row still
// has the claim's revision, and waits for the result until ctx ends at most.
func (m *Manager) write(ctx context.Context, c *Claim, s state, o *Outcome) result {
	value, err := c.encode(m.cfg.Holder, s, o)
	if err != nil {
		return result{err: errors.Join(errNotWritten, err)}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultWriteTimeout)
	}
	w := &write{claim: c, state: s, expected: c.revision, value: value, deadline: deadline, result: make(chan result, 1)}
	m.committer.submit(w)
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

// defaultWriteTimeout applies to a write whose context has no deadline.
const defaultWriteTimeout = 5 * time.Second

// unavailableError reports that a claim was not recorded and its work not run.
func unavailableError(err error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "the request could not be claimed and was not run", RetryAt: time.Now().Add(2 * time.Second), Cause: err})
}

func reusedError() error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.KeyReused, Reason: "the idempotency key was used with another request"})
}

// unclearError is the answer to a repeat of work whose outcome is not known. A
// zero retry means that a later repeat gets the same answer.
func unclearError(reason string, retry time.Duration) error {
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Conflict, Reason: reason}
	if retry > 0 {
		cfg.RetryAt = time.Now().Add(retry)
	}
	return fault.New(cfg)
}
