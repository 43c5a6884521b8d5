package fleet

import (
	"sort"
	"time"
)

// health holds the recent failures of a server.
type health struct {
	failures     int       // consecutive failed requests
	missedPolls  int       // consecutive failed polls
	backoffUntil time.Time // end of the back-off after failed requests
	ejectedUntil time.Time // end of the ejection for slowness
	ejections    int       // ejections for slowness since the last normal measurement
}

// Limits of the back-off after a failed request, which doubles with each consecutive
// failure, and of failed polls.
const (
	firstBackoff   = 200 * time.Millisecond
	maxBackoff     = 5 * time.Second
	maxMissedPolls = 2 // consecutive failed polls after which a server counts as down
)

// Slow start of a server that joined or returned.
const (
	rampTime    = 10 * time.Second
	initialRamp = 0.1 // share of its normal work at the beginning
)

// Ejection of servers that are much slower than others with the same accelerator kind
// and layer range.
const (
	slowRatio       = 3.0 // ratio to the median token time
	minPeers        = 3   // least measured servers of a kind and range, including the server itself
	minMeasurements = 4   // measurements of a server before it is compared
	ejectionTime    = 10 * time.Second
	maxDoublings    = 4 // doublings of ejectionTime
)

// withServer calls f with a server, if the table has it, while it holds the lock.
func (t *Table) withServer(name string, f func(*server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sv := t.servers[name]; sv != nil {
		f(sv)
	}
}

// BeginRequest records that this process sends a request to a server.
func (t *Table) BeginRequest(name string) { t.withServer(name, func(s *server) { s.inflight++ }) }

// EndRequest records the end of a request that BeginRequest recorded.
func (t *Table) EndRequest(name string) {
	t.withServer(name, func(s *server) { s.inflight = max(s.inflight-1, 0) })
}

// RequestFailed records a failed request and starts a back-off, in which the server
// counts as down.
func (t *Table) RequestFailed(name string) {
	t.withServer(name, func(s *server) {
		wait := min(firstBackoff<<min(s.health.failures, 10), maxBackoff)
		s.health.failures++
		s.health.backoffUntil = time.Now().Add(wait)
	})
}

// RequestSucceeded clears the failed requests and the back-off of a server.
func (t *Table) RequestSucceeded(name string) {
	t.withServer(name, func(s *server) { s.health.failures, s.health.backoffUntil = 0, time.Time{} })
}

// PollFailed records that the load report of a server could not be read.
func (t *Table) PollFailed(name string) {
	t.withServer(name, func(s *server) { s.health.missedPolls++ })
}

// MarkLeaving records that a server refused new work because it is leaving. For a
// few seconds this takes precedence over load reports, which may be older.
func (t *Table) MarkLeaving(name string) {
	t.withServer(name, func(s *server) { s.refusedAt = time.Now() })
}

// isDown reports whether a server should not be chosen.
func (h *health) isDown(now time.Time) bool {
	return now.Before(h.backoffUntil) || now.Before(h.ejectedUntil) || h.missedPolls >= maxMissedPolls
}

// ejected returns the servers that should not be chosen because they failed or are
// slow: the worst ones, and at most Config.MaxEjectedShare of each range.
func (t *Table) ejected(all []server, now time.Time) map[*server]bool {
	count, bad := map[rangeKey]int{}, map[rangeKey][]*server{}
	for i := range all {
		sv := &all[i]
		k := sv.state.key()
		count[k]++
		if sv.health.isDown(now) {
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

// worse orders servers that are down: by failed polls, then failed requests, then
// ejections for slowness.
func (h *health) worse(o *health) bool {
	if h.missedPolls != o.missedPolls {
		return h.missedPolls > o.missedPolls
	}
	if h.failures != o.failures {
		return h.failures > o.failures
	}
	return h.ejections > o.ejections
}

// ramp returns the share of its normal work that a server may get.
func (s *server) ramp(now time.Time) float64 {
	if s.rampStart.IsZero() {
		return 1
	}
	done := float64(now.Sub(s.rampStart)) / float64(rampTime)
	return min(1, initialRamp+(1-initialRamp)*done)
}

// ejectIfSlow ejects a server that is much slower than the median of the servers with
// its accelerator kind and layer range. The server returns with a slow start.
func (t *Table) ejectIfSlow(s *server, now time.Time) {
	if s.speed.measurements < minMeasurements {
		return
	}
	var peers []time.Duration
	for _, o := range t.servers {
		if o.state.Kind == s.state.Kind && o.state.key() == s.state.key() && o.speed.measurements >= minMeasurements {
			peers = append(peers, o.speed.token)
		}
	}
	if len(peers) < minPeers {
		return
	}
	median := medianOf(peers)
	if float64(s.speed.token) < slowRatio*float64(median) {
		s.health.ejections = 0
		return
	}
	s.health.ejectedUntil = now.Add(ejectionTime << min(s.health.ejections, maxDoublings))
	s.health.ejections++
	s.rampStart = s.health.ejectedUntil
	s.speed = speed{}
}

// medianOf sorts v and returns its median.
func medianOf(v []time.Duration) time.Duration {
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[len(v)/2]
}
