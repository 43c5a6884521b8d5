package poison

import (
	"time"
)

// answers holds when parts were last answered, Now. The older half is forgotten when there are too many.
type answers struct{ recent, older map[Part]time.Duration }

func (a *answers) set(p Part, now time.Duration) {
	if a.recent == nil || len(a.recent) >= maxAnswered {
		a.recent, a.older = map[Part]time.Duration{}, a.recent
	}
	a.recent[p] = now
}

// at returns when a part was last answered, or 0.
func (a *answers) at(p Part) time.Duration {
	if at, ok := a.recent[p]; ok {
		return at
	}
	return a.older[p]
}

// answeredAt returns when a request or a request with a part was last answered, or 0. The caller holds mu.
func (t *Tracker) answeredAt(p Part) time.Duration {
	if p.IsRequest() {
		return t.sound.at(p)
	}
	return t.answered.at(p)
}
