package fleet

import (
	"math"
	"time"
)

const (
	missingTime = 10 * time.Second // a server that the list lacks is kept so long after its last report
	refusedTime = 3 * time.Second  // a refusal outweighs load reports for so long, as they lag
	reportHalf  = 3 * time.Second  // age at which a load report has lost half of its weight
	freshTime   = 10 * time.Second // a younger report outweighs a list that says that all servers leave
)

// MergeList merges a reading of the VM list. A server that the list lacks is
// removed when its own reports have stopped too. An empty list, or one that
// lost most servers at once, is taken as a mistake: it removes nothing.
func (t *Table) MergeList(list []State) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make(map[string]bool, len(list))
	total, leaving := map[string]int{}, map[string]int{}
	for _, s := range list {
		names[s.Name] = true
		total[s.Service]++
		if s.Leaving {
			leaving[s.Service]++
		}
	}
	for _, s := range list {
		t.listed(s)
		sv := t.servers[s.Name]
		// A list that says that every server of a service leaves is believed
		// only for servers that do not contradict it.
		if sv.listed && total[s.Service] > 1 && leaving[s.Service] == total[s.Service] && now.Sub(sv.state.Reported) < freshTime {
			sv.listed = false
		}
	}
	lost := 0
	for n := range t.servers {
		if !names[n] {
			lost++
		}
	}
	doubtful := len(list) == 0 || float64(lost) > t.cfg.MaxLostShare*float64(len(t.servers))
	for n, sv := range t.servers {
		switch {
		case names[n]:
			sv.missed = time.Time{}
		case sv.missed.IsZero():
			sv.missed = now
		case !doubtful && now.Sub(sv.missed) >= missingTime && now.Sub(sv.state.Reported) >= missingTime:
			t.drop(n)
		}
	}
	t.watch()
}

// MergeEntry merges one entry of the VM list.
func (t *Table) MergeEntry(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed(s)
	t.watch()
}

func (t *Table) listed(s State) {
	sv := t.servers[s.Name]
	if sv == nil || sv.state.Address != s.Address {
		t.drop(t.hosts[s.Address]) // another VM had this address before
		t.drop(s.Name)
		t.hosts[s.Address] = s.Name
		sv = &server{state: s, rank: t.rank(s.Name)}
		sv.state.Leaving = false
		t.servers[s.Name] = sv
	}
	sv.state.Domain, sv.state.Service = s.Domain, s.Service
	sv.listed = s.Leaving
}

// MergeReport merges a load report of a server, received now. Only the fields
// that a server reports are read. It returns true when the report comes from
// a new incarnation.
func (t *Table) MergeReport(name string, r State) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.servers[name]
	if sv == nil {
		return false
	}
	s := &sv.state
	reborn := s.Boot != "" && r.Boot != s.Boot
	if reborn {
		sv.refusedAt, sv.health, sv.speed, sv.inflight = time.Time{}, health{}, speed{}, 0
		sv.listed = false // the list spoke of the incarnation before
	}
	if !s.Ready && r.Ready && (reborn || now.Sub(t.started) > rampTime) || reborn && r.Ready {
		sv.rampFrom = now
	}
	if s.First != r.First || s.Last != r.Last || s.Kind != r.Kind {
		sv.speed = speed{}
	}
	s.Boot, s.Kind, s.Model, s.Version, s.First, s.Last = r.Boot, r.Kind, r.Model, r.Version, r.First, r.Last
	s.Slots, s.Running, s.Waiting, s.Ready, s.Leaving, s.Event = r.Slots, r.Running, r.Waiting, r.Ready, r.Leaving, r.Event
	s.Reported, sv.atReport, sv.health.polls = now, sv.inflight, 0
	return reborn
}

// UpdateReport merges a load report of a server, received now, with a function
// that changes the state.
func (t *Table) UpdateReport(name string, update func(*State)) {
	t.mu.Lock()
	sv := t.servers[name]
	if sv == nil {
		t.mu.Unlock()
		return
	}
	s := sv.state
	t.mu.Unlock()
	update(&s)
	t.MergeReport(name, s)
}

// leaving merges what is known about a server's leaving: its own report,
// then its refusals, then the VM list.
func (s *server) leaving(now time.Time) bool {
	return s.state.Leaving || !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusedTime || s.listed
}

// load estimates the requests on a server: what others had there at the last
// report, which loses weight against the mean of the range as it ages, plus
// what this process has there now.
func (s *server) load(now time.Time, mean float64) float64 {
	others := float64(max(s.state.Running+s.state.Waiting-s.atReport, 0))
	w := math.Exp2(-float64(now.Sub(s.state.Reported)) / float64(reportHalf))
	return mean + w*(others-mean) + float64(s.inflight)
}

// meanLoad returns the mean requests of other processes by range.
func meanLoad(all []server) map[rangeKey]float64 {
	sum, n := map[rangeKey]float64{}, map[rangeKey]float64{}
	for i := range all {
		sv := &all[i]
		k := sv.state.key()
		sum[k] += float64(max(sv.state.Running+sv.state.Waiting-sv.atReport, 0))
		n[k]++
	}
	for k := range sum {
		sum[k] /= n[k]
	}
	return sum
}
