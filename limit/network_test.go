package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// network connects the limiters of several processes on a virtual clock, with
// message loss and delay, partitions, pauses and restarts.
type network struct {
	now             time.Time
	rand            *rand.Rand
	names           []string
	limiters        map[string]*Limiter
	side            map[string]int // side of the partition that a process is on
	paused          map[string]time.Time
	loss            float64
	delay           time.Duration // maximum delay of a message
	inFlight        []message
	limits          map[string]Limits
	incarnations    int
	corruptShare    func(*Share)           // injected fault in a share
	corruptReceiver func(*Limiter, *Share) // injected fault at the receiver
	corruptMembers  func()                 // injected fault after a change of members
	excess          map[string]float64
	twoHomesUntil   time.Time // until then shares of two homes may be valid on one side
	admitted        map[string]int
	activeTime      time.Duration // time during which the first process was not paused
}

// message is a message in transit.
type message struct {
	at time.Time
	to string
	do func(*Limiter)
}

func newNetwork(n int, seed uint64, limits map[string]Limits) *network {
	w := &network{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 7)), limiters: map[string]*Limiter{}, side: map[string]int{},
		paused: map[string]time.Time{}, limits: limits, excess: map[string]float64{}, admitted: map[string]int{}, delay: time.Millisecond,
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("e%d", i))
	}
	for _, n := range w.names {
		w.restart(n)
	}
	w.updateMembers()
	return w
}

// restart starts a new incarnation of a process.
func (w *network) restart(name string) {
	w.incarnations++
	w.limiters[name] = New(Config{
		Self: name, Incarnation: fmt.Sprintf("%s/%d", name, w.incarnations), Now: func() time.Time { return w.now },
		Limits:     func(a string) (Limits, bool) { published, ok := w.limits[a]; return published, ok },
		SendReport: func(home string, r Report) { w.send(name, home, func(l *Limiter) { l.HandleReport(r) }) },
		SendShare: func(to string, s Share) {
			if w.corruptShare != nil {
				w.corruptShare(&s)
			}
			w.send(name, to, func(l *Limiter) {
				if w.corruptReceiver != nil {
					w.corruptReceiver(l, &s)
				}
				l.HandleShare(s)
			})
		},
	})
	delete(w.paused, name)
}

// send delays a message at random, or loses it.
func (w *network) send(from, to string, do func(*Limiter)) {
	if w.side[from] != w.side[to] || w.rand.Float64() < w.loss {
		return
	}
	d := time.Duration(w.rand.Int64N(int64(w.delay) + 1))
	w.inFlight = append(w.inFlight, message{w.now.Add(d), to, do})
}

// updateMembers sets the members of every process to those on its side.
func (w *network) updateMembers() {
	for _, n := range w.names {
		var list []string
		for _, o := range w.names {
			if w.side[o] == w.side[n] {
				list = append(list, o)
			}
		}
		w.limiters[n].SetMembers(list)
	}
	if w.corruptMembers != nil {
		w.corruptMembers()
	}
}

// running reports whether a process is not paused.
func (w *network) running(name string) bool { return !w.now.Before(w.paused[name]) }

// step advances the clock by a millisecond and delivers the messages that are due.
func (w *network) step(i int) {
	w.now = w.now.Add(time.Millisecond)
	old := w.inFlight
	w.inFlight = nil
	for _, m := range old {
		if m.at.After(w.now) || !w.running(m.to) {
			w.inFlight = append(w.inFlight, m)
			continue
		}
		m.do(w.limiters[m.to])
	}
	for j, n := range w.names {
		if w.running(n) && (i+j*31)%int(reportInterval/time.Millisecond) == 0 {
			w.limiters[n].Tick()
		}
	}
}

// admit requests admission at a process and counts the request if it is admitted.
func (w *network) admit(name, account string) *Grant {
	if !w.running(name) {
		return nil
	}
	g, err := w.limiters[name].Admit(account, 1)
	if err != nil {
		return nil
	}
	w.excess[account]++
	w.admitted[account]++
	return g
}

// validShares returns the sum of the valid shares of a dimension on one side, and
// how many of its processes hold none.
func (w *network) validShares(account string, d, side int) (sum float64, withoutShare int) {
	for _, n := range w.names {
		if w.side[n] != side {
			continue
		}
		l := w.limiters[n]
		l.mu.Lock()
		if a := l.accounts[account]; a != nil && a.shareValid(w.now) {
			sum += a.share.Share[d]
		} else {
			withoutShare++
		}
		l.mu.Unlock()
	}
	return sum, withoutShare
}

// issuingHomes returns how many homes may have issued shares that are valid on one
// side: two until shares expire after a partition has changed.
func (w *network) issuingHomes() float64 {
	if w.now.Before(w.twoHomesUntil) {
		return 2
	}
	return 1
}

// changePartition changes the sides and updates the members of every process.
func (w *network) changePartition(change func()) {
	if w.partitioned() {
		w.twoHomesUntil = w.now.Add(shareValidity)
	}
	change()
	w.updateMembers()
}

// partitioned reports whether the processes are on different sides.
func (w *network) partitioned() bool {
	for _, n := range w.names {
		if w.side[n] != w.side[w.names[0]] {
			return true
		}
	}
	return false
}

// check verifies the documented bounds. On each side the sum of valid shares is at
// most the limit. Over any time T, at most limit*(1+u/n)*(T+1s) + 2n requests are
// admitted for each side and home, where u of n processes hold no share. This is
// checked with the level of a leaky bucket.
func (w *network) check(account string, dt time.Duration) error {
	published := w.limits[account]
	n, sides, withoutShare := float64(len(w.names)), 1.0, 0
	if w.partitioned() {
		sides = 2
	}
	for side := range 2 {
		for _, d := range []int{Rate, Inflight} {
			sum, none := w.validShares(account, d, side)
			if bound := published.Amounts[d] * w.issuingHomes(); published.Amounts[d] > 0 && sum > bound*1.001 {
				return fmt.Errorf("valid shares of %s in dimension %d on side %d are %.2f, bound %.2f", account, d, side, sum, bound)
			}
			if d == Rate {
				withoutShare += none
			}
		}
	}
	factor := max(sides, w.issuingHomes())
	allowed := published.Amounts[Rate] * factor * (1 + float64(withoutShare)/n)
	w.excess[account] = max(0, w.excess[account]-allowed*dt.Seconds())
	if bound := published.Amounts[Rate]*2*factor + 2*n; w.excess[account] > bound {
		return fmt.Errorf("%s was admitted %.1f requests beyond its rate, bound %.1f", account, w.excess[account], bound)
	}
	return nil
}
