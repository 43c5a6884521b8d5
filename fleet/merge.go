package fleet

import (
	"math"
	"time"
)

const (
	unlistedTime    = 10 * time.Second // an unlisted server is kept for this time after its last report and after the list first lacked it
	refusalTime     = 3 * time.Second  // a refusal takes precedence over load reports, which lag, for this time
	reportHalfLife  = 3 * time.Second  // age at which a load report has half of its weight
	freshReportTime = 10 * time.Second // younger reports take precedence over a list that marks all servers as leaving
)

// MergeList updates the table from the VM list. A server that the list lacks is
// removed once its load reports have stopped too. A list that is empty or lacks more
// than Config.MaxLostShare of the known servers is assumed to be wrong and removes
// none. Of several entries with one name or one address, it uses one.
func (t *Table) MergeList(list []State) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list = t.distinct(t.distinct(list, func(s State) string { return s.Name }), func(s State) string { return s.Address })
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
		t.mergeEntry(s)
		sv := t.servers[s.Name]
		// If the list marks every server of a service as leaving, that is
		// ignored for servers with a recent load report.
		if sv.listedLeaving && total[s.Service] > 1 && leaving[s.Service] == total[s.Service] && now.Sub(sv.state.Reported) < freshReportTime {
			sv.listedLeaving = false
		}
	}
	lost := 0
	for n := range t.servers {
		if !names[n] {
			lost++
		}
	}
	implausible := len(list) == 0 || float64(lost) > t.cfg.MaxLostShare*float64(len(t.servers))
	for n, sv := range t.servers {
		switch {
		case names[n]:
			sv.unlistedSince = time.Time{}
		case sv.unlistedSince.IsZero():
			sv.unlistedSince = now
		case !implausible && now.Sub(sv.unlistedSince) >= unlistedTime && now.Sub(sv.state.Reported) >= unlistedTime:
			t.remove(n)
		}
	}
	t.selectSubset()
}

// distinct returns the entries of a list without those that share their key with another one. It keeps
// the server that the table knows while it does not leave, or else the last one that does not. The
// caller holds t.mu.
func (t *Table) distinct(list []State, key func(s State) string) []State {
	kept := make(map[string]int, len(list)) // by key
	for i, s := range list {
		other, ok := kept[key(s)]
		if !ok || t.precedence(s) >= t.precedence(list[other]) {
			kept[key(s)] = i
		}
	}
	if len(kept) == len(list) {
		return list
	}
	out := make([]State, 0, len(kept))
	for i, s := range list {
		if kept[key(s)] == i {
			out = append(out, s)
		}
	}
	return out
}

// precedence returns how likely an entry of the VM list is that of the server with its name and
// address. The caller holds t.mu.
func (t *Table) precedence(s State) int {
	sv := t.servers[s.Name]
	switch {
	case s.Leaving:
		return 0
	case sv == nil || sv.state.Address != s.Address:
		return 1
	default:
		return 2
	}
}

// MergeEntry updates the table from one entry of the VM list.
func (t *Table) MergeEntry(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeEntry(s)
	t.selectSubset()
}

// mergeEntry implements MergeEntry. The caller holds t.mu.
func (t *Table) mergeEntry(s State) {
	sv := t.servers[s.Name]
	if sv == nil || sv.state.Address != s.Address {
		t.remove(t.byAddress[s.Address]) // another VM had this address before
		t.remove(s.Name)
		t.byAddress[s.Address] = s.Name
		sv = &server{state: s, rank: t.rank(s.Name)}
		sv.state.Leaving = false
		t.servers[s.Name] = sv
	}
	sv.state.Domain, sv.state.Service = s.Domain, s.Service
	sv.listedLeaving = s.Leaving
}

// MergeReport updates a server from a load report that was just received. It reads
// only the fields that servers report. It returns true if the report comes from a
// new incarnation.
func (t *Table) MergeReport(name string, r State) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sv := t.servers[name]
	if sv == nil {
		return false
	}
	s := &sv.state
	restarted := s.Boot != "" && r.Boot != s.Boot
	if restarted {
		sv.refusedAt, sv.health, sv.speed, sv.inflight = time.Time{}, health{}, speed{}, 0
		sv.listedLeaving = false // the list describes the previous incarnation
	}
	if !s.Ready && r.Ready && (restarted || now.Sub(t.started) > rampTime) || restarted && r.Ready {
		sv.rampStart = now
	}
	if s.First != r.First || s.Last != r.Last || s.Kind != r.Kind {
		sv.speed = speed{}
	}
	s.Boot, s.Kind, s.Model, s.Version, s.First, s.Last = r.Boot, r.Kind, r.Model, r.Version, r.First, r.Last
	s.Slots, s.Running, s.Waiting, s.Ready, s.Leaving, s.Event = r.Slots, r.Running, r.Waiting, r.Ready, r.Leaving, r.Event
	s.Reported, sv.inflightAtReport, sv.health.missedPolls = now, sv.inflight, 0
	return restarted
}

// UpdateReport calls update with the state of a server and merges the result as a
// load report that was just received.
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

// leaving reports whether a server is leaving according to its load report, a recent
// refusal or the VM list.
func (s *server) leaving(now time.Time) bool {
	return s.state.Leaving || !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalTime || s.listedLeaving
}

// load estimates the requests on a server: those of other processes at the last
// report, which the mean of the range replaces as the report ages, plus those of
// this process now.
func (s *server) load(now time.Time, mean float64) float64 {
	others := float64(max(s.state.Running+s.state.Waiting-s.inflightAtReport, 0))
	weight := math.Exp2(-float64(now.Sub(s.state.Reported)) / float64(reportHalfLife))
	return mean + weight*(others-mean) + float64(s.inflight)
}

// meanLoad returns the mean number of requests of other processes per server, by
// range.
func meanLoad(all []server) map[rangeKey]float64 {
	sum, n := map[rangeKey]float64{}, map[rangeKey]float64{}
	for i := range all {
		sv := &all[i]
		k := sv.state.key()
		sum[k] += float64(max(sv.state.Running+sv.state.Waiting-sv.inflightAtReport, 0))
		n[k]++
	}
	for k := range sum {
		sum[k] /= n[k]
	}
	return sum
}
