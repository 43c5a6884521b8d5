// Package limit enforces the limits of client accounts across all entry processes
// without a shared store on the request path.
//
// Each account has a home process, selected by rendezvous hashing among the live
// processes. A process reports the demand of the accounts that it served in the
// last second to their homes, and receives shares of the limits. A share is valid
// for two seconds, counted by the process from the time it sent its report. The
// shares of a home that may still be in use never add up to more than the limit. A
// process without a valid share uses the equal share limit/n, where n is the
// number of live processes.
//
// Over any time T, the processes that see the same members admit at most
// limit*(T+1s)+n requests while all of them hold shares, at most limit*u/n*T more
// while u of n hold none, and limit/n*1s more for each process that starts. If a
// partition leaves processes with disjoint lists of members, the bound holds on
// each side.
//
// Lock order: mu and homeMu are never held together. Config.SendReport and
// Config.SendShare are called without a lock. Config.Limits is called with a lock
// held and must not call the limiter.
package limit

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Config configures a Limiter.
type Config struct {
	Self        string                              // name of this process
	Incarnation string                              // incarnation of this process
	Now         func() time.Time                    // nil for time.Now
	Rand        *rand.Rand                          // for jitter of retry times; nil for a fixed seed
	Limits      func(account string) (Limits, bool) // returns the published limits; false if the account is unknown
	SendReport  func(home string, r Report)         // sends a report; may lose it, must not block
	SendShare   func(process string, s Share)       // sends a share; may lose it, must not block
	Metrics     *Metrics                            // nil for none
}

// Limiter admits requests of client accounts in one process. It is also the home
// process of some accounts.
type Limiter struct {
	cfg Config

	mu          sync.Mutex
	accounts    map[string]*account
	active      map[string]*account        // used since they were last reported as idle
	number      uint64                     // number of the last report
	sent        [maxSentReports]sentReport // recent reports, indexed by number modulo the length
	members     []string                   // sorted; replaced as a whole, never modified
	lastCleanup time.Time                  // last removal of unused accounts

	homeMu      sync.Mutex
	records     map[string]*accountRecord
	homeMembers []string     // members as seen by the home part
	pastMembers []memberList // lists that were replaced within shareValidity
}

// maxSentReports is the number of reports whose time of sending is kept. At most
// ten per second are sent to each of a few homes while a share is valid.
const maxSentReports = 256

// sentReport records when a report was sent.
type sentReport struct {
	number uint64
	at     time.Time
}

// account is the state of one account in this process. It is guarded by
// Limiter.mu.
type account struct {
	name             string
	limits           Limits
	home             string
	members          int       // number of live processes
	buckets          [2]bucket // Rate, Tokens
	inflight         int
	share            AccountShare
	shareIncarnation string // incarnation of the home that issued the share
	deadline         time.Time
	attempts         int     // since measuredSince
	cost             float64 // since measuredSince
	peak             int     // maximum in flight since measuredSince
	rejectedInflight int     // rejected by the in-flight limit since measuredSince
	demand           Amounts // smoothed demand
	reportedDemand   Amounts // demand in the last report
	reportedAt       time.Time
	measuredSince    time.Time // beginning of the current measurement of demand
	lastUsed         time.Time
	meanDuration     float64 // mean duration of requests in seconds
}

// New returns a limiter whose only member is its own process.
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
	l := &Limiter{cfg: cfg, accounts: map[string]*account{}, active: map[string]*account{}, records: map[string]*accountRecord{}}
	l.SetMembers([]string{cfg.Self})
	return l
}

// Grant is the permission to run one request. It must be ended with Done.
type Grant struct {
	limiter   *Limiter
	account   *account
	cost      float64
	startedAt time.Time
	done      bool // guarded by Limiter.mu
	charged   bool // the cost was charged to the token bucket
}

// Admit admits a request of an account with an expected cost in tokens. Otherwise
// it returns an error with the verdict not-run; if a limit is exceeded, the error
// carries the time at which a request may be admitted again.
func (l *Limiter) Admit(name string, cost float64) (*Grant, error) {
	now := l.cfg.Now()
	l.mu.Lock()
	a, ok := l.account(name, now)
	if !ok {
		l.mu.Unlock()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: "the account is not known"})
	}
	newlyActive := l.active[name] == nil
	l.active[name] = a
	a.attempts++
	a.cost += cost
	a.lastUsed = now
	l.updateBuckets(a, now)
	wait, exceeded := a.exceeded(now)
	limited := len(exceeded) > 0
	var g *Grant
	if !limited {
		// Nothing is charged without a limit. Otherwise a limit that is published
		// later would start with the debt of all earlier use.
		g = &Grant{limiter: l, account: a, cost: cost, startedAt: now, charged: a.limits.Amounts[Tokens] > 0}
		a.inflight++
		a.peak = max(a.peak, a.inflight)
		if a.limits.Amounts[Rate] > 0 {
			a.buckets[Rate].level--
		}
		if g.charged {
			a.buckets[Tokens].level -= cost
		}
	}
	jitter := l.cfg.Rand.Float64() * 0.25
	var r *Report
	if newlyActive {
		r = l.buildReport(now, []*account{a})
	}
	home := a.home
	l.mu.Unlock()
	if r != nil {
		l.sendReport(home, *r)
	}
	if limited {
		l.cfg.Metrics.countRejection()
		wait += time.Duration(jitter * float64(wait))
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Limited, Reason: "the account is over its limit of " + strings.Join(exceeded, " and of "), RetryAt: now.Add(max(wait, 10*time.Millisecond))})
	}
	return g, nil
}

// Done ends a request and corrects its cost to the actual one. Further calls have
// no effect.
func (g *Grant) Done(used float64) {
	now := g.limiter.cfg.Now()
	g.limiter.mu.Lock()
	defer g.limiter.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	a := g.account
	a.inflight--
	a.lastUsed = now
	a.cost += max(0, used-g.cost)
	if g.charged {
		a.buckets[Tokens].level -= used - g.cost
	}
	a.meanDuration += 0.1 * (now.Sub(g.startedAt).Seconds() - a.meanDuration)
}

// account returns the state of an account with its published limits and creates it
// if necessary. It returns false if the account is unknown.
func (l *Limiter) account(name string, now time.Time) (*account, bool) {
	published, ok := l.cfg.Limits(name)
	if !ok {
		return nil, false
	}
	a := l.accounts[name]
	if a == nil {
		a = &account{name: name, home: Home(l.members, name), members: len(l.members), measuredSince: now, meanDuration: 1}
		l.accounts[name] = a
	}
	a.limits = published
	return a, true
}

// shareValid reports whether the share of the account is in effect.
func (a *account) shareValid(now time.Time) bool { return now.Before(a.deadline) }

// allowed returns the amount that the process may use in a dimension: its share,
// or the equal share if it has none. 0 means that there is no limit, or that the share is
// zero.
func (a *account) allowed(now time.Time, d int) float64 {
	limit := a.limits.Amounts[d]
	switch {
	case limit <= 0:
		return 0
	case a.shareValid(now):
		// A lowered published limit takes effect immediately.
		return min(a.share.Share[d], limit)
	case d == Inflight:
		return max(1, float64(int(limit)/a.members))
	default:
		return limit / float64(a.members)
	}
}

// updateBuckets sets the rates of the buckets to what the process may use now.
func (l *Limiter) updateBuckets(a *account, now time.Time) {
	for d := range a.buckets {
		a.buckets[d].setRate(now, a.allowed(now, d))
	}
}

// limitNames are the names of the limits in error messages, in the order of Rate,
// Tokens and Inflight.
var limitNames = [...]string{"requests a second", "tokens a second", "requests in flight"}

// exceeded returns the names of the limits that block a request, none if it can be
// admitted, and the time until the limits allow it.
func (a *account) exceeded(now time.Time) (time.Duration, []string) {
	var wait time.Duration
	var exceeded []string
	for d := range a.buckets {
		if a.limits.Amounts[d] <= 0 {
			continue
		}
		limited := false
		// A share of zero has no rate. The reply to the next report may raise it.
		if a.buckets[d].rate <= 0 {
			wait, limited = max(wait, reportInterval), true
		}
		need := 1.0
		if d == Tokens {
			need = 1e-9 // any positive level; the cost is charged in full
		}
		if a.buckets[d].level < need {
			wait, limited = max(wait, a.buckets[d].timeUntil(need)), true
		}
		if limited {
			exceeded = append(exceeded, limitNames[d])
		}
	}
	if limit := a.limits.Amounts[Inflight]; limit > 0 {
		if allowed := a.allowed(now, Inflight); float64(a.inflight) >= allowed {
			a.rejectedInflight++
			wait = max(wait, time.Duration(a.meanDuration/max(1, allowed)*float64(time.Second)))
			exceeded = append(exceeded, limitNames[Inflight])
		}
	}
	return wait, exceeded
}

// Weight returns the weight of an account on this process: its published weight,
// divided among the processes by demand. An account therefore gets the same share
// of the hardware whether its callers use one process or all of them. A process gets at
// least an eighth of an equal part.
func (l *Limiter) Weight(name string) float64 {
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return 1 / float64(len(l.members))
	}
	part := 1 / float64(len(l.members))
	if a.shareValid(now) && a.share.Weight > 0 {
		part = max(a.share.Weight, part/8)
	}
	return max(a.limits.Weight, 1e-3) * part
}

// Members returns the number of live processes.
func (l *Limiter) Members() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.members)
}

// Accounts returns the number of accounts with state in this process.
func (l *Limiter) Accounts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}

// sortedKeys returns the sorted keys of a map.
func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}
