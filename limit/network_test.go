package limit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// network connects the keepers of several processes on a virtual clock, with
// lost and late messages, partitions, pauses and replaced processes.
type network struct {
	now      time.Time
	rand     *rand.Rand
	names    []string
	keepers  map[string]*Limiter
	side     map[string]int // side of a partition
	paused   map[string]time.Time
	loss     float64
	delay    time.Duration // at most
	mail     []mail
	limits   map[string]Limits
	runs     int
	tamper   func(*Share)           // deliberate fault in a share
	arrive   func(*Limiter, *Share) // deliberate fault at the receiver
	changed  func()                 // deliberate fault after a change of members
	excess   map[string]float64
	mixed    time.Time // until when shares of two homes may be valid on one side
	admitted map[string]int
	up       time.Duration // time that the first process was not paused
}

type mail struct {
	at time.Time
	to string
	do func(*Limiter)
}

func newNetwork(n int, seed uint64, limits map[string]Limits) *network {
	w := &network{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 7)), keepers: map[string]*Limiter{}, side: map[string]int{},
		paused: map[string]time.Time{}, limits: limits, excess: map[string]float64{}, admitted: map[string]int{}, delay: time.Millisecond,
	}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("e%d", i))
	}
	for _, n := range w.names {
		w.replace(n)
	}
	w.members()
	return w
}

// replace starts a new incarnation of a process.
func (w *network) replace(name string) {
	w.runs++
	w.keepers[name] = New(Config{
		Self: name, Incarnation: fmt.Sprintf("%s/%d", name, w.runs), Now: func() time.Time { return w.now },
		Limits:     func(a string) (Limits, bool) { l, ok := w.limits[a]; return l, ok },
		SendReport: func(home string, r Report) { w.post(name, home, func(k *Limiter) { k.HandleReport(r) }) },
		SendShare: func(to string, s Share) {
			if w.tamper != nil {
				w.tamper(&s)
			}
			w.post(name, to, func(k *Limiter) {
				if w.arrive != nil {
					w.arrive(k, &s)
				}
				k.HandleShare(s)
			})
		},
	})
	delete(w.paused, name)
}

func (w *network) post(from, to string, do func(*Limiter)) {
	if w.side[from] != w.side[to] || w.rand.Float64() < w.loss {
		return
	}
	d := time.Duration(w.rand.Int64N(int64(w.delay) + 1))
	w.mail = append(w.mail, mail{w.now.Add(d), to, do})
}

// members tells every process which others are on its side.
func (w *network) members() {
	for _, n := range w.names {
		var list []string
		for _, o := range w.names {
			if w.side[o] == w.side[n] {
				list = append(list, o)
			}
		}
		w.keepers[n].SetMembers(list)
	}
	if w.changed != nil {
		w.changed()
	}
}

func (w *network) running(name string) bool { return !w.now.Before(w.paused[name]) }

// step advances the clock by a millisecond and delivers messages.
func (w *network) step(i int) {
	w.now = w.now.Add(time.Millisecond)
	old := w.mail
	w.mail = nil
	for _, m := range old {
		if m.at.After(w.now) || !w.running(m.to) {
			w.mail = append(w.mail, m)
			continue
		}
		m.do(w.keepers[m.to])
	}
	for j, n := range w.names {
		if w.running(n) && (i+j*31)%int(reportInterval/time.Millisecond) == 0 {
			w.keepers[n].Tick()
		}
	}
}

// try asks for one request and counts it.
func (w *network) try(name, account string) *Grant {
	if !w.running(name) {
		return nil
	}
	g, err := w.keepers[name].Admit(account, 1)
	if err != nil {
		return nil
	}
	w.excess[account]++
	w.admitted[account]++
	return g
}

// shared returns the sum of valid shares of a dimension on one side, and how
// many of its processes hold none.
func (w *network) shared(account string, d, side int) (sum float64, without int) {
	for _, n := range w.names {
		if w.side[n] != side {
			continue
		}
		k := w.keepers[n]
		k.mu.Lock()
		if a := k.accounts[account]; a != nil && a.valid(w.now) {
			sum += a.share.Share[d]
		} else {
			without++
		}
		k.mu.Unlock()
	}
	return sum, without
}

// homes returns how many homes may have given shares that are valid on one
// side: two for a term after processes of different sides came together.
func (w *network) homes() float64 {
	if w.now.Before(w.mixed) {
		return 2
	}
	return 1
}

// divide changes the sides and tells every process its members.
func (w *network) divide(change func()) {
	if w.divided() {
		w.mixed = w.now.Add(term)
	}
	change()
	w.members()
}

func (w *network) divided() bool {
	for _, n := range w.names {
		if w.side[n] != w.side[w.names[0]] {
			return true
		}
	}
	return false
}

// check verifies the stated bounds. On each side the sum of valid shares is at
// most the limit. Requests admitted over any time T are at most
// limit*(1+u/n)*(T+1s) + 2n for each side and home, where u of n processes hold
// no share; that is kept as the level of a leaky bucket.
func (w *network) check(account string, dt time.Duration) error {
	l := w.limits[account]
	n, sides, without := float64(len(w.names)), 1.0, 0
	if w.divided() {
		sides = 2
	}
	for side := range 2 {
		for _, d := range []int{Rate, Inflight} {
			sum, none := w.shared(account, d, side)
			if most := l.Amounts[d] * w.homes(); l.Amounts[d] > 0 && sum > most*1.001 {
				return fmt.Errorf("valid shares of %s in dimension %d on side %d are %.2f, bound %.2f", account, d, side, sum, most)
			}
			if d == Rate {
				without += none
			}
		}
	}
	factor := max(sides, w.homes())
	allowed := l.Amounts[Rate] * factor * (1 + float64(without)/n)
	w.excess[account] = max(0, w.excess[account]-allowed*dt.Seconds())
	if most := l.Amounts[Rate]*2*factor + 2*n; w.excess[account] > most {
		return fmt.Errorf("%s was admitted %.1f requests beyond its rate, bound %.1f", account, w.excess[account], most)
	}
	return nil
}
