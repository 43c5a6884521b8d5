package poison

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/clock"
)

// origin keeps the times of events before the start of this process positive.
const origin = 24 * time.Hour

// Now returns the time on the clock of records, which includes suspensions of the VM.
func Now() time.Duration { return clock.Now() + origin }

// Part identifies a part of a prompt at the service that answers it.
type Part struct {
	Service string
	ID      string
}

// MaxIDBytes bounds the identifier of a part in bytes. Callers choose it, and a longer one is replaced by
// its hash.
const MaxIDBytes = 64

// PartsOf returns the parts of a prompt that other requests may share. The last part belongs to
// the request or its session, so it is left out.
func PartsOf(service string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	out := make([]Part, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		if len(id) > MaxIDBytes {
			id = "#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		out = append(out, Part{Service: service, ID: id})
	}
	return out
}

// RequestHash identifies a request by the last part of its prompt, which its repeats share.
func RequestHash(ids []string) uint64 {
	if len(ids) == 0 {
		return 0
	}
	return xxhash.Sum64String(ids[len(ids)-1])
}

// Crash is one backend server that crashed while a request with the part had just been given to
// it.
type Crash struct {
	Server  uint64        // hash of the incarnation of the server
	Request uint64        // hash of the last part of the prompt, which repeats of a request share
	At      time.Duration // Now
}

// Record is the evidence about one part. All times are those of Now.
type Record struct {
	Part       Part
	Crashes    []Crash       // since the part was last answered, by time; at most maxCrashes
	AnsweredAt time.Duration // when a server last wrote an answer to a request with the part; 0 for never known
	Since      time.Duration // last crash of the evidence on which the quarantine is based
	Until      time.Duration // end of the quarantine; 0 if there was none
	Terms      int           // number of quarantines, each twice as long as the one before
}

const (
	// crashSpacing is the least time between two crashes that count as two. A rack that loses
	// power stops many servers in the same moment, and any request may be on several of them.
	crashSpacing = 100 * time.Millisecond
	// minCrashes is the number of crashes after which a part is quarantined, if they happened
	// under minRequests different requests.
	minCrashes  = 3
	minRequests = 2
	// minCrashesOfAnswered is the number of crashes after which a part is quarantined that was
	// answered within answeredAge before. While first engines crash several times a second, a popular
	// sound part is on each of them.
	minCrashesOfAnswered = 6
	// minCrashesOfOne is the number of crashes after which a part is quarantined that only a
	// single request had. A sound request that other crashes hit is tried four times at most: two
	// attempts, and those of one repeat of its caller.
	minCrashesOfOne = 5
	// maxCrashes bounds the crashes that a record holds.
	maxCrashes = 8
	// evidenceAge is how long a crash counts.
	evidenceAge = time.Hour
	// firstTerm is the length of the first quarantine. After a quarantine one crash starts the
	// next one, which is twice as long.
	firstTerm = 10 * time.Minute
)

// MaxTerm is the length of the longest quarantine.
const MaxTerm = 4 * time.Hour

// Quarantined reports whether requests with the part are refused at a time.
func (r *Record) Quarantined(now time.Duration) bool { return now < r.Until }

// add adds a crash unless it is known or the part was answered since, and reports whether it did.
func (r *Record) add(c Crash) bool {
	if c.At <= r.AnsweredAt || slices.ContainsFunc(r.Crashes, func(x Crash) bool { return x.Server == c.Server }) {
		return false
	}
	if len(r.Crashes) >= maxCrashes && c.At <= r.Crashes[0].At {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Crashes, c, func(x, y Crash) int { return cmp.Compare(x.At, y.At) })
	r.Crashes = slices.Insert(r.Crashes, at, c)
	if len(r.Crashes) > maxCrashes {
		r.Crashes = r.Crashes[1:]
	}
	return true
}

// recordAnswer records that a server wrote an answer to a request with the part. Older evidence no longer
// counts, and a quarantine that is based on it ends.
func (r *Record) recordAnswer(at time.Duration) {
	r.AnsweredAt = max(r.AnsweredAt, at)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.At <= r.AnsweredAt })
	if r.AnsweredAt >= r.Since {
		r.Since, r.Until, r.Terms = 0, 0, 0
	}
}

// merge adds what another process knows, and reports whether that was new.
func (r *Record) merge(o Record) bool {
	changed := false
	for _, c := range o.Crashes {
		changed = r.add(c) || changed
	}
	if o.Until > r.Until+sameTime {
		r.Since, r.Until, r.Terms = o.Since, o.Until, max(r.Terms, o.Terms)
		changed = true
	}
	if o.AnsweredAt > r.AnsweredAt+sameTime {
		changed = true
	}
	r.recordAnswer(o.AnsweredAt)
	return changed
}

// sameTime is the difference up to which two times count as the same: each datagram adds its time
// on the way.
const sameTime = time.Second

// startQuarantine starts a quarantine if the evidence suffices, and reports whether it did.
func (r *Record) startQuarantine(now time.Duration) bool {
	if r.Quarantined(now) {
		return false
	}
	counted, first, last := 0, time.Duration(0), time.Duration(0)
	requests := map[uint64]bool{}
	for _, c := range r.Crashes {
		if c.At <= r.Until || now-c.At > evidenceAge {
			continue
		}
		requests[c.Request] = true
		if counted == 0 {
			first = c.At
		}
		if counted == 0 || c.At-last >= crashSpacing {
			counted, last = counted+1, c.At
		}
	}
	answeredBefore := r.AnsweredAt > 0 && first-r.AnsweredAt < answeredAge
	switch {
	case r.Terms > 0 && counted > 0:
	case answeredBefore && counted < minCrashesOfAnswered:
		return false
	case counted >= minCrashesOfOne:
	case counted >= minCrashes && len(requests) >= minRequests:
	default:
		return false
	}
	term := MaxTerm
	if r.Terms < 8 { // beyond that the shift exceeds MaxTerm
		term = min(firstTerm<<r.Terms, MaxTerm)
	}
	r.Since, r.Until = r.Crashes[len(r.Crashes)-1].At, now+term
	r.Terms++
	return true
}

// idle reports whether the record holds nothing that still counts.
func (r *Record) idle(now time.Duration) bool {
	if r.Quarantined(now) || (r.Terms > 0 && now-r.Until < MaxTerm) {
		return false
	}
	if r.Until == 0 && r.AnsweredAt > 0 && now-r.AnsweredAt < answeredRepeat {
		return false
	}
	return !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return now-c.At <= evidenceAge })
}
