package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	minCopies        = 2  // least servers of each range in the subset
	minUnknownPolled = 16 // least servers with unknown range in the subset, if there are so many; half of Config.MaxPolled if that is fewer
)

// rank is the rendezvous hash of a server for this process.
func (t *Table) rank(name string) uint64 {
	return xxhash.Sum64String(t.cfg.Self + "\n" + name)
}

// selectSubset selects the servers that this process polls and uses: all of them if
// there are at most Config.MaxPolled. Otherwise it takes the servers with the highest
// ranks of each range of each service, at least minCopies, so that the subset contains
// every route that the ranges allow. A server that joins or leaves changes at most
// one place in its range. The caller holds t.mu.
func (t *Table) selectSubset() {
	t.subset = t.subset[:0]
	defer func() {
		sort.Slice(t.subset, func(i, j int) bool { return t.subset[i].state.Name < t.subset[j].state.Name })
	}()
	if len(t.servers) <= t.cfg.MaxPolled {
		for _, sv := range t.servers {
			t.addToSubset(sv)
		}
		return
	}
	groups := map[rangeKey][]*server{}
	var unknown []*server
	for _, sv := range t.servers {
		if sv.state.Reported.IsZero() {
			unknown = append(unknown, sv)
			continue
		}
		k := sv.state.key()
		groups[k] = append(groups[k], sv)
	}
	budget := t.cfg.MaxPolled
	if len(unknown) > 0 {
		// Until the ranges are known, nearly the whole budget is used to learn
		// them; known ranges keep minCopies servers each.
		n := max(min(minUnknownPolled, t.cfg.MaxPolled/2), t.cfg.MaxPolled-minCopies*len(groups))
		n = min(n, len(unknown))
		// Servers that did not answer come last, so that they do not take the
		// places of others with unknown range.
		t.sortByRank(unknown)
		sort.SliceStable(unknown, func(i, j int) bool { return unknown[i].health.missedPolls < unknown[j].health.missedPolls })
		for _, sv := range unknown[:n] {
			t.addToSubset(sv)
		}
		budget -= n
	}
	if len(groups) == 0 {
		return
	}
	each := max(minCopies, budget/len(groups))
	for _, g := range groups {
		t.sortByRank(g)
		for _, sv := range g[:min(each, len(g))] {
			t.addToSubset(sv)
		}
	}
}

// reselect selects the subset again if it lacks servers, since load reports may have
// provided ranges that were unknown.
func (t *Table) reselect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.subset) < len(t.servers) {
		t.selectSubset()
	}
}

// addToSubset adds a server to the subset. The caller holds t.mu.
func (t *Table) addToSubset(sv *server) {
	t.subset = append(t.subset, sv)
}

// sortByRank sorts servers by rank, highest first.
func (t *Table) sortByRank(all []*server) {
	sort.Slice(all, func(i, j int) bool { return all[i].rank > all[j].rank })
}
