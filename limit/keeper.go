// Package limit keeps client accounts within their limits over all entry
// processes without a store on the request path.
//
// Each account has a home process, selected by rendezvous hash among the live
// processes. A process reports the demand of the accounts that it served in
// the last second to their homes and gets shares of the limits that are valid
// for two seconds from its own time of reporting. A home never has more than
// the limit in shares that may still be in use. A process without a valid share
// uses an equal part, limit/n.
//
// Over any time T, the processes that see the same members admit at most
// limit*(T+1s)+n requests while all of them hold shares, at most limit*u/n*T
// more while u of n hold none, and limit/n*1s more for each process that starts. Processes that see disjoint members
// (a partition) keep that bound on each side.
//
// Lock order: mu and homeMu are never held together. Config.Send and
// Config.Grant are called without a lock; Config.Limits is called under one and
// must not call the keeper.
package limit

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Config holds the parts of a Keeper.
type Config struct {
	Self        string                              // name of this process
	Incarnation string                              // incarnation of this process
	Now         func() time.Time                    // nil for time.Now
	Rand        *rand.Rand                          // jitter of retry times, nil for a fixed seed
	Limits      func(account string) (Limits, bool) // published limits; false for an unknown account
	SendReport  func(home string, r Report)         // sends a report; may lose it, must not block
	SendShare   func(process string, s Share)       // sends a share; may lose it, must not block
	Metrics     *Metrics                            // nil for none
}

// Limiter admits requests of client accounts in one process, and is the home
// process of some accounts.
type Limiter struct {
	cfg Config

	mu       sync.Mutex
	accounts map[string]*account
	active   map[string]*account // used since they were last reported idle
	number   uint64              // of the last report
	sent     [sentKept]sentAt    // when recent reports were sent, by number
	members  []string            // sorted; replaced as a whole
	swept    time.Time           // last search for state to forget

	homeMu sync.Mutex
	books  map[string]*book
	now    []string // members as the home part sees them
	past   []view   // earlier lists, ended within the last term
}

// sentKept is the number of reports whose time of sending is kept; ten a second
// at most are sent to each of a few homes within a term.
const sentKept = 256

type sentAt struct {
	number uint64
	at     time.Time
}

// account is the state of one account in this process. The lock is Keeper.mu.
type account struct {
	name     string
	limits   Limits
	home     string
	members  int       // live processes
	buckets  [2]bucket // Rate, Tokens
	inflight int
	share    AccountShare
	shareRun string // incarnation of the home that gave the share
	deadline time.Time
	attempts int     // since the last report
	cost     float64 // since the last report
	peak     int     // most in flight or refused at once since the last report
	refused  int     // by the limit of requests in flight, since the last report
	want     Amounts // smoothed demand
	told     Amounts // demand in the last report
	reported time.Time
	since    time.Time
	used     time.Time
	hold     float64 // mean seconds in flight
}

// New returns a keeper that is its only member.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2))
	}
	if cfg.SendReport == nil {
		cfg.SendReport = func(string, Report) {}
	}
	if cfg.SendShare == nil {
		cfg.SendShare = func(string, Share) {}
	}
	k := &Limiter{cfg: cfg, accounts: map[string]*account{}, active: map[string]*account{}, books: map[string]*book{}}
	k.SetMembers([]string{cfg.Self})
	return k
}

// Grant is the permission to run one request.
type Grant struct {
	k       *Limiter
	a       *account
	cost    float64
	began   time.Time
	done    bool // guarded by Keeper.mu
	charged bool // the cost was taken from the token bucket
}

// Admit admits a request of an account with an expected cost in tokens, or
// rejects it, not run, with the time at which the limit allows the next one.
func (k *Limiter) Admit(name string, cost float64) (*Grant, error) {
	now := k.cfg.Now()
	k.mu.Lock()
	a, ok := k.account(name, now)
	if !ok {
		k.mu.Unlock()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: "the account is not known"})
	}
	fresh := k.active[name] == nil
	k.active[name] = a
	a.attempts++
	a.cost += cost
	a.used = now
	k.apply(a, now)
	wait, over := a.check(now)
	limited := len(over) > 0
	var g *Grant
	if !limited {
		// Without a limit nothing is charged: a limit that is published later
		// would start with the debt of all that was used before.
		g = &Grant{k: k, a: a, cost: cost, began: now, charged: a.limits.Amounts[Tokens] > 0}
		a.inflight++
		a.peak = max(a.peak, a.inflight)
		if a.limits.Amounts[Rate] > 0 {
			a.buckets[Rate].level--
		}
		if g.charged {
			a.buckets[Tokens].level -= cost
		}
	}
	jitter := k.cfg.Rand.Float64() * 0.25
	var r *Report
	if fresh {
		r = k.report(now, []*account{a})
	}
	home := a.home
	k.mu.Unlock()
	if r != nil {
		k.deliver(home, *r)
	}
	if limited {
		k.cfg.Metrics.limited()
		wait += time.Duration(jitter * float64(wait))
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Limited, Reason: "the account is over its limit of " + strings.Join(over, " and of "), RetryAt: now.Add(max(wait, 10*time.Millisecond))})
	}
	return g, nil
}

// Done ends a request with the cost that it had in the end.
func (g *Grant) Done(used float64) {
	now := g.k.cfg.Now()
	g.k.mu.Lock()
	defer g.k.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	a := g.a
	a.inflight--
	a.used = now
	a.cost += max(0, used-g.cost)
	if g.charged {
		a.buckets[Tokens].level -= used - g.cost
	}
	a.hold += 0.1 * (now.Sub(g.began).Seconds() - a.hold)
}

// account returns the state of an account, with its published limits.
func (k *Limiter) account(name string, now time.Time) (*account, bool) {
	l, ok := k.cfg.Limits(name)
	if !ok {
		return nil, false
	}
	a := k.accounts[name]
	if a == nil {
		a = &account{name: name, home: Home(k.members, name), members: len(k.members), since: now, hold: 1}
		k.accounts[name] = a
	}
	a.limits = l
	return a, true
}

// valid tells whether the share of an account is in effect.
func (a *account) valid(now time.Time) bool { return now.Before(a.deadline) }

// allowed returns what the process may use in a dimension: its share, or its
// equal part when it has none; 0 for no limit.
func (a *account) allowed(now time.Time, d int) float64 {
	limit := a.limits.Amounts[d]
	switch {
	case limit <= 0:
		return 0
	case a.valid(now):
		// A published limit that was lowered holds at once.
		return min(a.share.Share[d], limit)
	case d == Inflight:
		return max(1, float64(int(limit)/a.members))
	default:
		return limit / float64(a.members)
	}
}

// apply sets the buckets to what the process may use now.
func (k *Limiter) apply(a *account, now time.Time) {
	for d := range a.buckets {
		a.buckets[d].set(now, a.allowed(now, d))
	}
}

// limitNames are the limits by the words that callers and operators read, in
// the order of Rate, Tokens and Inflight.
var limitNames = [...]string{"requests a second", "tokens a second", "requests in flight"}

// check returns the names of the limits that a request is over, none when it
// is admitted, and how long that lasts.
func (a *account) check(now time.Time) (time.Duration, []string) {
	var wait time.Duration
	var over []string
	for d := range a.buckets {
		if a.limits.Amounts[d] <= 0 {
			continue
		}
		limited := false
		// A share of zero has no rate; the next report renews it.
		if a.buckets[d].rate <= 0 {
			wait, limited = max(wait, reportInterval), true
		}
		need := 1.0
		if d == Tokens {
			need = 1e-9 // any positive level; the cost is charged in full
		}
		if a.buckets[d].level < need {
			wait, limited = max(wait, a.buckets[d].wait(need)), true
		}
		if limited {
			over = append(over, limitNames[d])
		}
	}
	if most := a.limits.Amounts[Inflight]; most > 0 {
		if allowed := a.allowed(now, Inflight); float64(a.inflight) >= allowed {
			a.refused++
			wait = max(wait, time.Duration(a.hold/max(1, allowed)*float64(time.Second)))
			over = append(over, limitNames[Inflight])
		}
	}
	return wait, over
}

// Weight returns the weight of an account on this process: its published
// weight, divided between processes by their demand. An account then gets the
// same part of the hardware whether its callers use one process or all.
func (k *Limiter) Weight(name string) float64 {
	now := k.cfg.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[name]
	if a == nil {
		return 1 / float64(len(k.members))
	}
	part := 1 / float64(len(k.members))
	if a.valid(now) && a.share.Weight > 0 {
		part = max(a.share.Weight, part/8)
	}
	return max(a.limits.Weight, 1e-3) * part
}

// Members returns the number of live processes.
func (k *Limiter) Members() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.members)
}

// Accounts returns the number of accounts with state in this process.
func (k *Limiter) Accounts() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.accounts)
}

// names returns the keys of a map in order.
func names[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
