package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	minCopies = 2  // servers of each range that the subset holds at least
	explore   = 16 // servers with unknown range that are polled in addition to learn it
)

// rank is the rendezvous hash of a server for this process.
func (t *Table) rank(name string) uint64 {
	return xxhash.Sum64String(t.cfg.Self + "\n" + name)
}

// watch selects the servers that this process polls and uses. All are
// selected when there are at most Config.Most. Otherwise each range of each
// service gives its servers of highest rank, so that every way to tile a
// model that the ranges allow is complete, at least minCopies of each. A
// server that joins or leaves changes at most one place in its range. The
// caller holds t.mu.
func (t *Table) watch() {
	t.subset = t.subset[:0]
	defer func() {
		sort.Slice(t.subset, func(i, j int) bool { return t.subset[i].state.Name < t.subset[j].state.Name })
	}()
	if len(t.servers) <= t.cfg.MaxPolled {
		for _, sv := range t.servers {
			t.add(sv)
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
		// Before the ranges are known nearly the whole budget goes to learning
		// them; the ranges that are known keep minCopies of each.
		n := max(min(explore, t.cfg.MaxPolled/2), t.cfg.MaxPolled-minCopies*len(groups))
		n = min(n, len(unknown))
		// Servers that did not answer come last, so that they do not keep the
		// others from being learned.
		t.order(unknown)
		sort.SliceStable(unknown, func(i, j int) bool { return unknown[i].health.polls < unknown[j].health.polls })
		for _, sv := range unknown[:n] {
			t.add(sv)
		}
		budget -= n
	}
	if len(groups) == 0 {
		return
	}
	each := max(minCopies, budget/len(groups))
	for _, g := range groups {
		t.order(g)
		for _, sv := range g[:min(each, len(g))] {
			t.add(sv)
		}
	}
}

// reselect selects the subset again when it does not hold all servers, as
// reports may have told the ranges of some.
func (t *Table) reselect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.subset) < len(t.servers) {
		t.watch()
	}
}

func (t *Table) add(sv *server) {
	t.subset = append(t.subset, sv)
}

// order sorts servers by rank, the highest first.
func (t *Table) order(all []*server) {
	sort.Slice(all, func(i, j int) bool { return all[i].rank > all[j].rank })
}
