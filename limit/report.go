package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportInterval is the time between reports of an account in use.
	reportInterval = 250 * time.Millisecond
	// idleAfter is how long an account counts as in use.
	idleAfter = time.Second
	// forgetAfter is how long the state of an unused account is kept; its
	// buckets are full again by then.
	forgetAfter = time.Minute
	// sweepInterval is the time between searches for state to forget.
	sweepInterval = 5 * time.Second
)

// steadyInterval is the time between reports of an account whose demand stays
// the same. A share holds for 2 s, so that one lost report does not end it. At
// the target size a report every 250 ms would take more than the 13 KB/s of a
// node: 80 messages a second to the homes of 20 accounts.
const steadyInterval = 700 * time.Millisecond

// changedPart is the change of demand that is reported at the next tick.
const changedPart = 0.25

// ReportInterval is the interval at which Tick is to be called.
const ReportInterval = reportInterval

// Tick sends the reports of the accounts in use whose report is due. It is
// called every ReportInterval.
func (k *Limiter) Tick() {
	now := k.cfg.Now()
	k.mu.Lock()
	byHome := map[string][]*account{}
	for _, n := range names(k.active) {
		a := k.active[n]
		a.measure(now)
		if a.due(now) {
			byHome[a.home] = append(byHome[a.home], a)
		}
	}
	type message struct {
		home   string
		report Report
	}
	var out []message
	for _, h := range names(byHome) {
		out = append(out, message{h, *k.report(now, byHome[h])})
	}
	for n, a := range k.active {
		if a.idle(now) {
			delete(k.active, n)
		}
	}
	tidy := now.Sub(k.swept) >= sweepInterval
	if tidy {
		k.swept = now
		for n, a := range k.accounts {
			if a.inflight == 0 && now.Sub(a.used) > forgetAfter {
				delete(k.accounts, n)
			}
		}
	}
	k.mu.Unlock()
	for _, m := range out {
		k.deliver(m.home, m.report)
	}
	if tidy {
		k.tidy(now)
	}
}

// due tells whether the home has to hear of the account now.
func (a *account) due(now time.Time) bool {
	if a.idle(now) || !a.valid(now) || now.Sub(a.reported) >= steadyInterval {
		return true
	}
	for i, v := range a.want {
		if math.Abs(v-a.told[i]) > changedPart*max(1, a.told[i]) {
			return true
		}
	}
	return false
}

func (a *account) idle(now time.Time) bool {
	return a.inflight == 0 && now.Sub(a.used) > idleAfter
}

// deliver sends a report to its home, which may be this process.
func (k *Limiter) deliver(home string, r Report) {
	if home == k.cfg.Self {
		k.HandleReport(r)
		return
	}
	k.cfg.SendReport(home, r)
}

// report builds a report of accounts with the same home and remembers when it
// was sent. The caller holds the lock.
func (k *Limiter) report(now time.Time, all []*account) *Report {
	k.number++
	k.sent[k.number%sentKept] = sentAt{k.number, now}
	r := &Report{From: k.cfg.Self, Incarnation: k.cfg.Incarnation, Number: k.number, Demands: make([]Demand, 0, len(all))}
	for _, a := range all {
		a.told, a.reported = a.want, now
		d := Demand{Account: a.name, Want: a.want, Running: a.inflight, Idle: a.idle(now)}
		if a.valid(now) {
			d.AppliedShare = a.share.Number
		}
		if d.Idle {
			// The share is given back before the home hears of it.
			a.deadline = time.Time{}
		}
		r.Demands = append(r.Demands, d)
	}
	return r
}

// minMeasure is the shortest time over which a rate is measured; the first
// request of an account would otherwise count as an endless rate.
const minMeasure = 100 * time.Millisecond

// measure renews the smoothed demand.
func (a *account) measure(now time.Time) {
	d := now.Sub(a.since)
	a.want[Inflight] = max(float64(a.inflight), float64(a.peak+min(a.refused, a.peak+1)))
	if d < minMeasure {
		if a.want[Rate] == 0 {
			a.want[Rate], a.want[Tokens] = 1, max(1, a.cost)
		}
		return
	}
	// Rises count at once and falls over a few reports, so that a share is not
	// given back between two requests.
	for i, v := range [2]float64{float64(a.attempts) / d.Seconds(), a.cost / d.Seconds()} {
		if v > a.want[i] {
			a.want[i] = v
		} else {
			a.want[i] += 0.3 * (v - a.want[i])
		}
	}
	a.attempts, a.cost, a.refused, a.peak, a.since = 0, 0, 0, a.inflight, now
}

// HandleShare takes a share from a home process.
func (k *Limiter) HandleShare(s Share) {
	now := k.cfg.Now()
	k.mu.Lock()
	sent := k.sent[s.ReportNumber%sentKept]
	if s.ReceiverIncarnation != k.cfg.Incarnation || sent.number != s.ReportNumber {
		k.mu.Unlock()
		return
	}
	deadline := sent.at.Add(term)
	var lowered []*account
	for _, p := range s.Parts {
		a := k.accounts[p.Account]
		if a == nil || a.home != s.Home || !now.Before(deadline) {
			continue
		}
		if a.shareRun == s.HomeIncarnation && p.Number <= a.share.Number {
			continue // an older share that was overtaken
		}
		if a.valid(now) && a.lower(p.Share) {
			lowered = append(lowered, a)
		}
		a.share, a.shareRun, a.deadline = p, s.HomeIncarnation, deadline
		k.apply(a, now)
	}
	var r *Report
	if len(lowered) > 0 {
		// The home waits for this before it gives the difference away.
		r = k.report(now, lowered)
	}
	k.mu.Unlock()
	if r != nil {
		k.deliver(s.Home, *r)
	}
}

// lower tells whether a share is lower than the present one in any dimension.
func (a *account) lower(s Amounts) bool {
	for d, v := range s {
		if v < a.share.Share[d]*(1-slackPart/2) {
			return true
		}
	}
	return false
}

// SetMembers tells the keeper which processes are live. Shares of a home that
// is no longer the home of an account stay valid until their deadline.
func (k *Limiter) SetMembers(members []string) {
	set := map[string]bool{k.cfg.Self: true}
	for _, m := range members {
		set[m] = true
	}
	list := names(set)
	k.mu.Lock()
	same := equal(list, k.members)
	if !same {
		k.members = list
		for _, a := range k.accounts {
			a.home, a.members = Home(list, a.name), len(list)
		}
	}
	k.mu.Unlock()
	if same {
		return
	}
	k.homeMu.Lock()
	defer k.homeMu.Unlock()
	now := k.cfg.Now()
	for len(k.past) > 0 && !now.Before(k.past[0].until.Add(term)) {
		k.past = k.past[1:]
	}
	k.past = append(k.past, view{k.now, now})
	k.now = list
	for n := range k.books {
		if Home(list, n) != k.cfg.Self {
			delete(k.books, n)
		}
	}
}

// view is a list of members that was replaced.
type view struct {
	members []string
	until   time.Time
}

// safeFrom returns the time from which this process may give shares of an
// account: a term after another process may have been its home. The caller
// holds homeMu.
func (k *Limiter) safeFrom(account string) time.Time {
	var from time.Time
	for _, v := range k.past {
		if Home(v.members, account) != k.cfg.Self {
			from = v.until.Add(term)
		}
	}
	return from
}

// tidy forgets books without holders.
func (k *Limiter) tidy(now time.Time) {
	k.homeMu.Lock()
	defer k.homeMu.Unlock()
	for n, b := range k.books {
		for run, h := range b.holders {
			if !now.Before(h.deadline) {
				delete(b.holders, run)
			}
		}
		if len(b.holders) == 0 && !now.Before(b.from) {
			delete(k.books, n)
		}
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Home returns the home process of an account: the member with the highest hash
// of both names. A member that joins or leaves changes the home of 1/n of the
// accounts.
func Home(members []string, account string) string {
	best, most := "", uint64(0)
	for _, m := range members {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(account)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(m)
		if h := d.Sum64(); best == "" || h > most || h == most && m < best {
			best, most = m, h
		}
	}
	return best
}
