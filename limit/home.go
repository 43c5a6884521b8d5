package limit

import (
	"math"
	"sort"
	"time"
)

const (
	// shareValidity is how long a share is valid.
	shareValidity = 2 * time.Second
	// minShareChange is the relative change of a share below which no message is
	// sent.
	minShareChange = 0.1
)

// issuedShare is a share that a process may still be using: it has not confirmed a
// later one, and the deadline has not passed.
type issuedShare struct {
	number   uint64
	share    Amounts
	deadline time.Time
}

// holder holds the state of one process for one account at the home process.
type holder struct {
	process     string
	incarnation string
	lastReport  uint64 // number of the newest report
	deadline    time.Time
	demand      Demand
	issued      []issuedShare
	target      Amounts
}

// maxUse returns the most that the process may be using in a dimension.
func (h *holder) maxUse(d int) float64 {
	largest := 0.0
	for _, g := range h.issued {
		largest = max(largest, g.share[d])
	}
	if d == Inflight {
		largest = max(largest, float64(h.demand.Running))
	}
	return largest
}

// accountRecord is the state of one account at its home process.
type accountRecord struct {
	limits    Limits
	holders   map[string]*holder // by incarnation of the process
	number    uint64
	issueFrom time.Time // no share is issued before this time
}

// outgoing is a message to be sent after the lock is released.
type outgoing struct {
	process string
	share   Share
}

// HandleReport processes a report as the home process of the accounts in it. It
// replies with shares, and sends changed shares to other processes, through
// Config.SendShare.
func (l *Limiter) HandleReport(r Report) {
	now := l.cfg.Now()
	l.homeMu.Lock()
	shares := map[*holder][]AccountShare{}
	var holders []*holder
	for _, d := range r.Demands {
		published, ok := l.cfg.Limits(d.Account)
		if !ok {
			continue
		}
		rec := l.record(d.Account, published)
		if rec == nil {
			continue // the sender has another list of members
		}
		h := rec.update(r, d, now)
		if h == nil || now.Before(rec.issueFrom) {
			continue
		}
		for _, o := range rec.reallocate(h, now) {
			if shares[o.holder] == nil {
				holders = append(holders, o.holder)
			}
			shares[o.holder] = append(shares[o.holder], o.share)
		}
	}
	var out []outgoing
	for _, h := range holders {
		out = append(out, outgoing{h.process, Share{Home: l.cfg.Self, HomeIncarnation: l.cfg.Incarnation, ReceiverIncarnation: h.incarnation, ReportNumber: h.lastReport, Accounts: shares[h]}})
	}
	l.homeMu.Unlock()
	for _, o := range mergeMessages(out) {
		if o.process == l.cfg.Self {
			l.HandleShare(o.share)
		} else {
			l.cfg.SendShare(o.process, o.share)
		}
	}
}

// mergeMessages joins the messages to the same process that answer the same
// report.
func mergeMessages(messages []outgoing) []outgoing {
	var out []outgoing
	for _, o := range messages {
		joined := false
		for i := range out {
			if out[i].process == o.process && out[i].share.ReceiverIncarnation == o.share.ReceiverIncarnation && out[i].share.ReportNumber == o.share.ReportNumber {
				out[i].share.Accounts = append(out[i].share.Accounts, o.share.Accounts...)
				joined = true
			}
		}
		if !joined {
			out = append(out, o)
		}
	}
	return out
}

// record returns the record of an account, or nil if this process is not its home.
// If another process was the home until recently, no share is issued before the
// shares of that process have expired.
func (l *Limiter) record(account string, published Limits) *accountRecord {
	rec := l.records[account]
	if rec == nil {
		if Home(l.homeMembers, account) != l.cfg.Self {
			return nil
		}
		rec = &accountRecord{holders: map[string]*holder{}, issueFrom: l.issueStart(account)}
		l.records[account] = rec
	}
	rec.limits = published
	return rec
}

// update applies the demand in a report and returns the holder of the sender, or
// nil if a newer report has been processed already.
func (rec *accountRecord) update(report Report, d Demand, now time.Time) *holder {
	for incarnation, h := range rec.holders {
		if !now.Before(h.deadline) {
			delete(rec.holders, incarnation)
		}
	}
	h := rec.holders[report.Incarnation]
	if h == nil {
		h = &holder{process: report.From, incarnation: report.Incarnation}
		rec.holders[report.Incarnation] = h
	}
	if report.Number <= h.lastReport {
		return nil
	}
	h.lastReport, h.demand, h.deadline = report.Number, d, now.Add(shareValidity)
	keep := h.issued[:0]
	for _, g := range h.issued {
		// The process uses the share numbered AppliedShare and may still receive
		// later ones.
		if g.number >= d.AppliedShare && now.Before(g.deadline) {
			keep = append(keep, g)
		}
	}
	h.issued = keep
	if d.Idle && d.Running == 0 {
		h.demand.Want = Amounts{}
		if d.AppliedShare == rec.lastIssued(h) {
			h.issued = nil
		}
	}
	return h
}

// lastIssued returns the number of the newest share issued to a holder that may be
// in use.
func (rec *accountRecord) lastIssued(h *holder) uint64 {
	n := uint64(0)
	for _, g := range h.issued {
		n = max(n, g.number)
	}
	return n
}

// shareUpdate is a share to be sent to a holder.
type shareUpdate struct {
	holder *holder
	share  AccountShare
}

// reallocate divides the limit again and returns the shares to send: always one to
// the reporter unless it is idle, and those of other holders that have to change.
func (rec *accountRecord) reallocate(reporter *holder, now time.Time) []shareUpdate {
	holders := rec.sortedHolders()
	rec.setTargets(holders)
	var out []shareUpdate
	total := 0.0
	for _, h := range holders {
		total += h.demand.Want[Tokens] + 1e-9
	}
	for _, h := range holders {
		if h == reporter && reporter.demand.Idle {
			continue
		}
		if h != reporter && !rec.needsUpdate(h) {
			continue
		}
		amounts, ok := rec.available(h, holders)
		if !ok {
			continue // the process keeps its equal share until others confirm lower ones
		}
		rec.number++
		// The home counts the validity from the receipt of the report and the
		// process from its sending, so the share ends first at the process.
		h.issued = append(h.issued, issuedShare{rec.number, amounts, h.deadline})
		out = append(out, shareUpdate{h, AccountShare{Account: h.demand.Account, Share: amounts, Weight: (h.demand.Want[Tokens] + 1e-9) / total, Number: rec.number}})
	}
	return out
}

// sortedHolders returns the holders in a fixed order.
func (rec *accountRecord) sortedHolders() []*holder {
	out := make([]*holder, 0, len(rec.holders))
	for _, h := range rec.holders {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].process != out[j].process {
			return out[i].process < out[j].process
		}
		return out[i].incarnation < out[j].incarnation
	})
	return out
}

// needsUpdate reports whether a holder's share differs enough from its target to
// send a new one. Idle holders need none.
func (rec *accountRecord) needsUpdate(h *holder) bool {
	if h.demand.Idle {
		return false
	}
	for d, limit := range rec.limits.Amounts {
		if limit > 0 && math.Abs(h.currentShare(d)-h.target[d]) > minShareChange*h.target[d]+1e-9 {
			return true
		}
	}
	return false
}

// currentShare returns the newest share issued to the holder.
func (h *holder) currentShare(d int) float64 {
	if len(h.issued) == 0 {
		return 0
	}
	return h.issued[len(h.issued)-1].share[d]
}

// available returns the target of a holder, reduced to what no other holder may be
// using. It returns false if a holder without a share would get none in a dimension in
// which its target is not zero: without a share it may use the equal share.
func (rec *accountRecord) available(h *holder, holders []*holder) (Amounts, bool) {
	var share Amounts
	for d, limit := range rec.limits.Amounts {
		if limit <= 0 {
			continue
		}
		remaining := limit
		for _, o := range holders {
			if o != h {
				remaining -= o.maxUse(d)
			}
		}
		share[d] = min(h.target[d], max(0, remaining))
		if d == Inflight {
			share[d] = math.Floor(share[d] + 1e-9)
		}
		if len(h.issued) == 0 && share[d] <= 0 && h.target[d] > 0 {
			return share, false
		}
	}
	return share, true
}

// setTargets divides the limit by demand: no holder gets more than it wants while
// another one wants more. The unwanted remainder is divided equally.
func (rec *accountRecord) setTargets(holders []*holder) {
	for d, limit := range rec.limits.Amounts {
		if limit <= 0 {
			continue
		}
		want := make([]float64, len(holders))
		for i, h := range holders {
			want[i] = h.demand.Want[d]
		}
		for i, v := range maxMinParts(limit, want, d == Inflight) {
			holders[i].target[d] = v
		}
	}
}

// maxMinParts returns the max-min fair parts of a limit, with the remainder
// divided equally. The parts are integers if whole is set.
func maxMinParts(limit float64, demands []float64, whole bool) []float64 {
	out := make([]float64, len(demands))
	remaining, unsatisfied := limit, len(demands)
	done := make([]bool, len(demands))
	for unsatisfied > 0 {
		equalPart, satisfied := remaining/float64(unsatisfied), false
		for i, w := range demands {
			if !done[i] && w <= equalPart {
				out[i], done[i], satisfied = w, true, true
				remaining -= w
				unsatisfied--
			}
		}
		if !satisfied {
			for i := range demands {
				if !done[i] {
					out[i] = equalPart
				}
			}
			remaining, unsatisfied = 0, 0
		}
	}
	for i := range out {
		out[i] += remaining / float64(len(out))
	}
	if whole {
		roundParts(out, limit)
	}
	return out
}

// roundParts rounds the parts down to integers and gives the remaining units to
// the largest fractions.
func roundParts(parts []float64, limit float64) {
	remaining := int(limit)
	order := make([]int, len(parts))
	fraction := make([]float64, len(parts))
	for i, p := range parts {
		whole := math.Floor(p + 1e-9)
		fraction[i], parts[i], order[i] = p-whole, whole, i
		remaining -= int(whole)
	}
	sort.SliceStable(order, func(a, b int) bool { return fraction[order[a]] > fraction[order[b]]+1e-9 })
	for _, i := range order {
		if remaining <= 0 {
			return
		}
		parts[i]++
		remaining--
	}
}
