package fleet

import (
	"sort"
	"time"
)

// health is the recent failures of a server.
type health struct {
	fails    int       // failed requests in a row
	polls    int       // failed polls in a row
	downTill time.Time // not chosen before this time after failures
	outTill  time.Time // not chosen before this time after it was measured as slow
	outs     int       // times it was measured as slow, without a normal measure since
}

// Back-off after the first failure of a server, doubled for each further one.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	failedPolls  = 2 // polls in a row that fail before a server counts as down
)

// Slow start of a server that joined or came back.
const (
	rampTime  = 10 * time.Second
	rampFirst = 0.1 // share of its work that it gets at first
)

// Ejection of servers that are much slower than others of their kind.
const (
	slowRatio  = 3.0 // times the median
	slowPeers  = 3   // measured servers of a kind and range, including itself
	slowNeeded = 4   // measures of a server before it is judged
	outTime    = 10 * time.Second
	maxOuts    = 4 // doublings of outTime
)

// with runs f on a server under the lock.
func (t *Table) with(name string, f func(*server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		f(sv)
	}
}

// Begin counts a request that this process sends to a server.
func (t *Table) Begin(name string) { t.with(name, func(s *server) { s.inflight++ }) }

// End counts the end of a request that Begin counted.
func (t *Table) End(name string) {
	t.with(name, func(s *server) { s.inflight = max(s.inflight-1, 0) })
}

// RequestFailed keeps a server from being chosen for a while.
func (t *Table) RequestFailed(name string) {
	t.with(name, func(s *server) {
		wait := min(firstBackoff<<min(s.health.fails, 10), maxBackoff)
		s.health.fails++
		s.health.downTill = time.Now().Add(wait)
	})
}

// RequestSucceeded clears the failures of a server.
func (t *Table) RequestSucceeded(name string) {
	t.with(name, func(s *server) { s.health.fails, s.health.downTill = 0, time.Time{} })
}

// PollFailed counts a load report that did not come.
func (t *Table) PollFailed(name string) { t.with(name, func(s *server) { s.health.polls++ }) }

// MarkLeaving records a server's refusal of new work because it leaves. It
// outweighs load reports for a few seconds, as they lag.
func (t *Table) MarkLeaving(name string) {
	t.with(name, func(s *server) { s.refusedAt = time.Now() })
}

func (h *health) down(now time.Time) bool {
	return now.Before(h.downTill) || now.Before(h.outTill) || h.polls >= failedPolls
}

// ejected returns the servers that are not to be chosen: those that failed
// or are slow, the worst first, and at most Config.Share of each range.
func (t *Table) ejected(all []server, now time.Time) map[*server]bool {
	count, bad := map[rangeKey]int{}, map[rangeKey][]*server{}
	for i := range all {
		sv := &all[i]
		k := sv.state.key()
		count[k]++
		if sv.health.down(now) {
			bad[k] = append(bad[k], sv)
		}
	}
	out := map[*server]bool{}
	for k, list := range bad {
		sort.SliceStable(list, func(i, j int) bool { return list[i].health.worse(&list[j].health) })
		for _, sv := range list[:min(len(list), int(t.cfg.MaxEjectedShare*float64(count[k])))] {
			out[sv] = true
		}
	}
	return out
}

// worse orders servers that are down: unreachable, then failing, then slow.
func (h *health) worse(o *health) bool {
	if h.polls != o.polls {
		return h.polls > o.polls
	}
	if h.fails != o.fails {
		return h.fails > o.fails
	}
	return h.outs > o.outs
}

// ramp returns the share of its work that a server may get.
func (s *server) ramp(now time.Time) float64 {
	if s.rampFrom.IsZero() {
		return 1
	}
	done := float64(now.Sub(s.rampFrom)) / float64(rampTime)
	return min(1, rampFirst+(1-rampFirst)*done)
}

// judge ejects a server that is much slower than the median of the servers of
// its kind and range. It starts slowly when it returns.
func (t *Table) judge(s *server, now time.Time) {
	if s.speed.measures < slowNeeded {
		return
	}
	var peers []time.Duration
	for _, o := range t.servers {
		if o.state.Kind == s.state.Kind && o.state.key() == s.state.key() && o.speed.measures >= slowNeeded {
			peers = append(peers, o.speed.token)
		}
	}
	if len(peers) < slowPeers {
		return
	}
	median := middle(peers)
	if float64(s.speed.token) < slowRatio*float64(median) {
		s.health.outs = 0
		return
	}
	s.health.outTill = now.Add(outTime << min(s.health.outs, maxOuts))
	s.health.outs++
	s.rampFrom = s.health.outTill
	s.speed = speed{}
}

func middle(v []time.Duration) time.Duration {
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[len(v)/2]
}
