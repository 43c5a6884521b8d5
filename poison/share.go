package poison

import (
	"cmp"
	"slices"
)

// Merge adds what another process knows.
func (t *Tracker) Merge(records []Record) {
	if len(records) == 0 {
		return
	}
	now := Now()
	var started []Record
	lifted := false
	t.mu.Lock()
	for _, r := range records {
		e := t.entry(r.Part, now)
		if e == nil {
			continue
		}
		before := e.Quarantined(now)
		// RecordAnswered leaves out records without evidence.
		e.recordAnswer(t.answeredAt(r.Part))
		trial := e.Trial
		if e.merge(r) || e.Trial != trial {
			e.changedAt = now
		}
		if e.startQuarantine(now, false) || (!before && e.Quarantined(now)) {
			started = append(started, e.Record.clone())
		}
		lifted = lifted || (before && !e.Quarantined(now))
		t.setActive(e, e.Quarantined(now))
	}
	t.mu.Unlock()
	t.logQuarantined(started, "evidence of other processes")
	if lifted {
		t.cfg.OnQuarantine()
	}
}

// Recent returns the records that changed lately, to be repeated with the next heartbeat: with
// own only those that changed by what this process saw itself.
func (t *Tracker) Recent(own bool) []Record {
	now := Now()
	return t.list(func(e *entry) bool {
		at := e.changedAt
		if own {
			at = e.ownAt
		}
		return at > 0 && now-at < recentAge
	})
}

// Records returns the records that other processes should know.
func (t *Tracker) Records() []Record {
	return t.list(func(*entry) bool { return true })
}

// Quarantines returns the records with a quarantine in force that is longer than a suspension.
func (t *Tracker) Quarantines() []Record {
	now := Now()
	return t.list(func(e *entry) bool { return e.Quarantined(now) && !e.Suspension() })
}

// list returns at most maxShared records for which match returns true, quarantined ones first.
func (t *Tracker) list(match func(e *entry) bool) []Record {
	now := Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []Record
	for _, e := range t.records {
		if match(e) {
			out = append(out, e.Record.clone())
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Until, a.Until), cmp.Compare(len(b.Crashes), len(a.Crashes)))
	})
	return out[:min(len(out), maxShared)]
}

// Counts returns the number of parts of prompts, or of requests, with evidence against them and of
// those in quarantine.
func (t *Tracker) Counts(requests bool) (suspected, quarantined int) {
	now := Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, e := range t.records {
		switch {
		case p.IsRequest() != requests:
		case e.Quarantined(now):
			quarantined++
		case len(e.Crashes) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}

func (t *Tracker) announce(records []Record) {
	if len(records) > 0 {
		t.cfg.Announce(records)
	}
}
