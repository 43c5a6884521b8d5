package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportInterval is the interval between reports of an account whose demand
	// changes.
	reportInterval = 250 * time.Millisecond
	// idleAfter is the time without requests after which an account is idle.
	idleAfter = time.Second
	// forgetAfter is how long the state of an unused account is kept. Its buckets
	// are full again by then.
	forgetAfter = time.Minute
	// cleanupInterval is the interval between removals of unused state.
	cleanupInterval = 5 * time.Second
)

// steadyReportInterval is the interval between reports of an account with steady
// demand. A share is valid for 2 s, so one lost report does not end it. At the
// target size, a report every 250 ms would exceed the 13 KB/s of a node: 80
// messages per second to the homes of 20 accounts.
const steadyReportInterval = 700 * time.Millisecond

// demandChange is the relative change of demand that is reported at the next tick.
const demandChange = 0.25

// ReportInterval is the interval at which Tick must be called.
const ReportInterval = reportInterval

// Tick sends the reports that are due for the accounts in use and removes unused
// state. It must be called every ReportInterval.
func (l *Limiter) Tick() {
	now := l.cfg.Now()
	l.mu.Lock()
	byHome := map[string][]*account{}
	for _, n := range sortedKeys(l.active) {
		a := l.active[n]
		a.updateDemand(now)
		if a.reportDue(now) {
			byHome[a.home] = append(byHome[a.home], a)
		}
	}
	type message struct {
		home   string
		report Report
	}
	var out []message
	for _, h := range sortedKeys(byHome) {
		out = append(out, message{h, *l.buildReport(now, byHome[h])})
	}
	for n, a := range l.active {
		if a.idle(now) {
			delete(l.active, n)
		}
	}
	cleanup := now.Sub(l.lastCleanup) >= cleanupInterval
	if cleanup {
		l.lastCleanup = now
		for n, a := range l.accounts {
			if a.inflight == 0 && now.Sub(a.lastUsed) > forgetAfter {
				delete(l.accounts, n)
			}
		}
	}
	l.mu.Unlock()
	for _, m := range out {
		l.sendReport(m.home, m.report)
	}
	if cleanup {
		l.removeEmptyRecords(now)
	}
}

// reportDue reports whether a report of the account has to be sent now.
func (a *account) reportDue(now time.Time) bool {
	if a.idle(now) || !a.shareValid(now) || now.Sub(a.reportedAt) >= steadyReportInterval {
		return true
	}
	for i, v := range a.demand {
		if math.Abs(v-a.reportedDemand[i]) > demandChange*max(1, a.reportedDemand[i]) {
			return true
		}
	}
	return false
}

// idle reports whether the account is not in use.
func (a *account) idle(now time.Time) bool {
	return a.inflight == 0 && now.Sub(a.lastUsed) > idleAfter
}

// sendReport sends a report to a home process, which may be this process.
func (l *Limiter) sendReport(home string, r Report) {
	if home == l.cfg.Self {
		l.HandleReport(r)
		return
	}
	l.cfg.SendReport(home, r)
}

// buildReport builds a report of accounts with the same home and records the time
// of sending. The caller holds mu.
func (l *Limiter) buildReport(now time.Time, accounts []*account) *Report {
	l.number++
	l.sent[l.number%maxSentReports] = sentReport{l.number, now}
	r := &Report{From: l.cfg.Self, Incarnation: l.cfg.Incarnation, Number: l.number, Demands: make([]Demand, 0, len(accounts))}
	for _, a := range accounts {
		a.reportedDemand, a.reportedAt = a.demand, now
		d := Demand{Account: a.name, Want: a.demand, Running: a.inflight, Idle: a.idle(now)}
		if a.shareValid(now) {
			d.AppliedShare = a.share.Number
		}
		if d.Idle {
			// The process stops using its share before it tells the home.
			a.deadline = time.Time{}
		}
		r.Demands = append(r.Demands, d)
	}
	return r
}

// minMeasureTime is the shortest time over which a rate is measured. Otherwise the
// first request of an account would count as an unlimited rate.
const minMeasureTime = 100 * time.Millisecond

// updateDemand updates the smoothed demand of the account.
func (a *account) updateDemand(now time.Time) {
	d := now.Sub(a.measuredSince)
	a.demand[Inflight] = max(float64(a.inflight), float64(a.peak+min(a.rejectedInflight, a.peak+1)))
	if d < minMeasureTime {
		if a.demand[Rate] == 0 {
			a.demand[Rate], a.demand[Tokens] = 1, max(1, a.cost)
		}
		return
	}
	// Increases count immediately and decreases are smoothed over a few measurements,
	// so that a share is not returned between two requests.
	for i, v := range [2]float64{float64(a.attempts) / d.Seconds(), a.cost / d.Seconds()} {
		if v > a.demand[i] {
			a.demand[i] = v
		} else {
			a.demand[i] += 0.3 * (v - a.demand[i])
		}
	}
	a.attempts, a.cost, a.rejectedInflight, a.peak, a.measuredSince = 0, 0, 0, a.inflight, now
}

// HandleShare processes a share from a home process. It ignores shares for another
// incarnation, expired shares, and shares older than the current one.
func (l *Limiter) HandleShare(s Share) {
	now := l.cfg.Now()
	l.mu.Lock()
	sent := l.sent[s.ReportNumber%maxSentReports]
	if s.ReceiverIncarnation != l.cfg.Incarnation || sent.number != s.ReportNumber {
		l.mu.Unlock()
		return
	}
	deadline := sent.at.Add(shareValidity)
	var lowered []*account
	for _, p := range s.Accounts {
		a := l.accounts[p.Account]
		if a == nil || a.home != s.Home || !now.Before(deadline) {
			continue
		}
		if a.shareIncarnation == s.HomeIncarnation && p.Number <= a.share.Number {
			continue // older than the current share
		}
		if a.shareValid(now) && a.lowers(p.Share) {
			lowered = append(lowered, a)
		}
		a.share, a.shareIncarnation, a.deadline = p, s.HomeIncarnation, deadline
		l.updateBuckets(a, now)
	}
	var r *Report
	if len(lowered) > 0 {
		// The home issues the difference to others only after this confirmation.
		r = l.buildReport(now, lowered)
	}
	l.mu.Unlock()
	if r != nil {
		l.sendReport(s.Home, *r)
	}
}

// lowers reports whether a share is lower than the current one in any dimension, by more
// than half of minShareChange.
func (a *account) lowers(s Amounts) bool {
	for d, v := range s {
		if v < a.share.Share[d]*(1-minShareChange/2) {
			return true
		}
	}
	return false
}

// SetMembers sets the list of live processes; this process is always one of them.
// Shares of a home that loses an account stay valid until their deadline.
func (l *Limiter) SetMembers(members []string) {
	set := map[string]bool{l.cfg.Self: true}
	for _, m := range members {
		set[m] = true
	}
	list := sortedKeys(set)
	l.mu.Lock()
	same := equalLists(list, l.members)
	if !same {
		l.members = list
		for _, a := range l.accounts {
			a.home, a.members = Home(list, a.name), len(list)
		}
	}
	l.mu.Unlock()
	if same {
		return
	}
	l.homeMu.Lock()
	defer l.homeMu.Unlock()
	now := l.cfg.Now()
	for len(l.pastMembers) > 0 && !now.Before(l.pastMembers[0].until.Add(shareValidity)) {
		l.pastMembers = l.pastMembers[1:]
	}
	l.pastMembers = append(l.pastMembers, memberList{l.homeMembers, now})
	l.homeMembers = list
	for n := range l.records {
		if Home(list, n) != l.cfg.Self {
			delete(l.records, n)
		}
	}
}

// memberList is a list of members that was replaced.
type memberList struct {
	members []string
	until   time.Time
}

// issueStart returns the time from which this process may issue shares of an
// account: when the shares of a process that may have been its home before have
// expired. The caller holds homeMu.
func (l *Limiter) issueStart(account string) time.Time {
	var from time.Time
	for _, v := range l.pastMembers {
		if Home(v.members, account) != l.cfg.Self {
			from = v.until.Add(shareValidity)
		}
	}
	return from
}

// removeEmptyRecords deletes expired holders, and the records of accounts without
// holders.
func (l *Limiter) removeEmptyRecords(now time.Time) {
	l.homeMu.Lock()
	defer l.homeMu.Unlock()
	for n, rec := range l.records {
		for incarnation, h := range rec.holders {
			if !now.Before(h.deadline) {
				delete(rec.holders, incarnation)
			}
		}
		if len(rec.holders) == 0 && !now.Before(rec.issueFrom) {
			delete(l.records, n)
		}
	}
}

// equalLists reports whether two lists are equal.
func equalLists(a, b []string) bool {
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

// Home returns the home process of an account: the member with the highest hash of
// both names (rendezvous hashing). A member that joins or leaves changes the home
// of about 1/n of the accounts.
func Home(members []string, account string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(account)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(m)
		if h := d.Sum64(); best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best
}
