package limit

import (
	"math"
	"sort"
	"time"
)

const (
	// term is the validity of a share.
	term = 2 * time.Second
	// slackPart is the change of a share that is not worth a message.
	slackPart = 0.1
)

// granted is a share that may be in use, until the process has confirmed a
// later one or the deadline has passed.
type granted struct {
	number   uint64
	share    Amounts
	deadline time.Time
}

// holder is what a home process knows of one process and one account.
type holder struct {
	from     string
	run      string
	answer   uint64 // newest report
	deadline time.Time
	demand   Demand
	given    []granted
	target   Amounts
}

// used returns the most that the holder may use in a dimension.
func (h *holder) used(d int) float64 {
	most := 0.0
	for _, g := range h.given {
		most = max(most, g.share[d])
	}
	if d == Inflight {
		most = max(most, float64(h.demand.Running))
	}
	return most
}

// book is a home's record of one account.
type book struct {
	limits  Limits
	holders map[string]*holder // by incarnation
	number  uint64
	from    time.Time // no share is given before this time
}

// outgoing is a message that is sent once the lock is released.
type outgoing struct {
	process string
	share   Share
}

// HandleReport takes a report as the home process of its accounts. It answers and
// changes other processes' shares through Config.Grant.
func (k *Limiter) HandleReport(r Report) {
	now := k.cfg.Now()
	k.homeMu.Lock()
	parts := map[*holder][]AccountShare{}
	var order []*holder
	for _, d := range r.Demands {
		l, ok := k.cfg.Limits(d.Account)
		if !ok {
			continue
		}
		b := k.book(d.Account, l)
		if b == nil {
			continue // the sender sees other members
		}
		h := b.take(r, d, now)
		if h == nil || now.Before(b.from) {
			continue
		}
		for _, o := range b.settle(h, now) {
			if parts[o.holder] == nil {
				order = append(order, o.holder)
			}
			parts[o.holder] = append(parts[o.holder], o.part)
		}
	}
	var out []outgoing
	for _, h := range order {
		out = append(out, outgoing{h.from, Share{Home: k.cfg.Self, HomeIncarnation: k.cfg.Incarnation, ReceiverIncarnation: h.run, ReportNumber: h.answer, Parts: parts[h]}})
	}
	k.homeMu.Unlock()
	for _, o := range merged(out) {
		if o.process == k.cfg.Self {
			k.HandleShare(o.share)
		} else {
			k.cfg.SendShare(o.process, o.share)
		}
	}
}

// merged joins the messages to one process that answer the same report.
func merged(all []outgoing) []outgoing {
	var out []outgoing
	for _, o := range all {
		joined := false
		for i := range out {
			if out[i].process == o.process && out[i].share.ReceiverIncarnation == o.share.ReceiverIncarnation && out[i].share.ReportNumber == o.share.ReportNumber {
				out[i].share.Parts = append(out[i].share.Parts, o.share.Parts...)
				joined = true
			}
		}
		if !joined {
			out = append(out, o)
		}
	}
	return out
}

// book returns the record of an account, or nil when this process is not its
// home. The record of an account whose home was another process a short while
// ago gives no share before the shares of that process have expired.
func (k *Limiter) book(account string, l Limits) *book {
	b := k.books[account]
	if b == nil {
		if Home(k.now, account) != k.cfg.Self {
			return nil
		}
		b = &book{holders: map[string]*holder{}, from: k.safeFrom(account)}
		k.books[account] = b
	}
	b.limits = l
	return b
}

// take merges one demand and returns its holder, or nil when the report is
// older than one that has arrived.
func (b *book) take(r Report, d Demand, now time.Time) *holder {
	for run, h := range b.holders {
		if !now.Before(h.deadline) {
			delete(b.holders, run)
		}
	}
	h := b.holders[r.Incarnation]
	if h == nil {
		h = &holder{from: r.From, run: r.Incarnation}
		b.holders[r.Incarnation] = h
	}
	if r.Number <= h.answer {
		return nil
	}
	h.answer, h.demand, h.deadline = r.Number, d, now.Add(term)
	keep := h.given[:0]
	for _, g := range h.given {
		// The process uses the share with the number Held, and may yet receive
		// later ones.
		if g.number >= d.AppliedShare && now.Before(g.deadline) {
			keep = append(keep, g)
		}
	}
	h.given = keep
	if d.Idle && d.Running == 0 {
		h.demand.Want = Amounts{}
		if d.AppliedShare == b.last(h) {
			h.given = nil
		}
	}
	return h
}

// last returns the number of the newest share given to a holder.
func (b *book) last(h *holder) uint64 {
	n := uint64(0)
	for _, g := range h.given {
		n = max(n, g.number)
	}
	return n
}

// offer is a share to send.
type offer struct {
	holder *holder
	part   AccountShare
}

// settle divides the limit anew and returns the shares to send: always the
// answer to the reporter, and those of others that have to change.
func (b *book) settle(reporter *holder, now time.Time) []offer {
	all := b.active()
	b.targets(all)
	var out []offer
	total := 0.0
	for _, h := range all {
		total += h.demand.Want[Tokens] + 1e-9
	}
	for _, h := range all {
		if h == reporter && reporter.demand.Idle {
			continue
		}
		if h != reporter && !b.differs(h) {
			continue
		}
		share, ok := b.available(h, all)
		if !ok {
			continue // the process stays with its equal part until others confirm
		}
		b.number++
		// The home counts the term from the receipt of the report, the process
		// from its sending, so the process's share ends first.
		h.given = append(h.given, granted{b.number, share, h.deadline})
		out = append(out, offer{h, AccountShare{Account: h.demand.Account, Share: share, Weight: (h.demand.Want[Tokens] + 1e-9) / total, Number: b.number}})
	}
	return out
}

// active returns the holders in a fixed order.
func (b *book) active() []*holder {
	out := make([]*holder, 0, len(b.holders))
	for _, h := range b.holders {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].from != out[j].from {
			return out[i].from < out[j].from
		}
		return out[i].run < out[j].run
	})
	return out
}

// differs tells whether a holder's share is worth a change: it is too high, or
// too low while others have given back.
func (b *book) differs(h *holder) bool {
	if h.demand.Idle {
		return false
	}
	for d, limit := range b.limits.Amounts {
		if limit > 0 && math.Abs(h.newest(d)-h.target[d]) > slackPart*h.target[d]+1e-9 {
			return true
		}
	}
	return false
}

// newest returns the share that the holder was given last.
func (h *holder) newest(d int) float64 {
	if len(h.given) == 0 {
		return 0
	}
	return h.given[len(h.given)-1].share[d]
}

// available returns the target of a holder, cut to what no other holder may be
// using. It returns false when that would give a process less than it may use
// without a share.
func (b *book) available(h *holder, all []*holder) (Amounts, bool) {
	var share Amounts
	for d, limit := range b.limits.Amounts {
		if limit <= 0 {
			continue
		}
		left := limit
		for _, o := range all {
			if o != h {
				left -= o.used(d)
			}
		}
		share[d] = min(h.target[d], max(0, left))
		if d == Inflight {
			share[d] = math.Floor(share[d] + 1e-9)
		}
		if len(h.given) == 0 && share[d] <= 0 && h.target[d] > 0 {
			return share, false
		}
	}
	return share, true
}

// targets divides the limit by demand: no one gets more than it wants while
// another one wants more, and what nobody wants is lent in equal parts.
func (b *book) targets(all []*holder) {
	for d, limit := range b.limits.Amounts {
		if limit <= 0 {
			continue
		}
		want := make([]float64, len(all))
		for i, h := range all {
			want[i] = h.demand.Want[d]
		}
		for i, v := range divide(limit, want, d == Inflight) {
			all[i].target[d] = v
		}
	}
}

// divide returns max-min fair parts of a limit, with the rest lent in equal
// parts; whole parts when the dimension counts requests.
func divide(limit float64, want []float64, whole bool) []float64 {
	out := make([]float64, len(want))
	left, open := limit, len(want)
	done := make([]bool, len(want))
	for open > 0 {
		part, closed := left/float64(open), false
		for i, w := range want {
			if !done[i] && w <= part {
				out[i], done[i], closed = w, true, true
				left -= w
				open--
			}
		}
		if !closed {
			for i := range want {
				if !done[i] {
					out[i] = part
				}
			}
			left, open = 0, 0
		}
	}
	for i := range out {
		out[i] += left / float64(len(out))
	}
	if whole {
		round(out, limit)
	}
	return out
}

// round makes parts whole, and gives what remains to the largest fractions.
func round(parts []float64, limit float64) {
	left := int(limit)
	order := make([]int, len(parts))
	fraction := make([]float64, len(parts))
	for i, p := range parts {
		whole := math.Floor(p + 1e-9)
		fraction[i], parts[i], order[i] = p-whole, whole, i
		left -= int(whole)
	}
	sort.SliceStable(order, func(a, b int) bool { return fraction[order[a]] > fraction[order[b]]+1e-9 })
	for _, i := range order {
		if left <= 0 {
			return
		}
		parts[i]++
		left--
	}
}
