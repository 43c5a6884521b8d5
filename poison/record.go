package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/clock"
)

// Now returns the time on the clock of records, which includes suspensions of the VM.
func Now() time.Duration { return clock.RecordTime() }

// Part identifies what may crash servers: a part of a prompt at the service that answers it, or a
// whole request.
type Part struct {
	Service string // empty for a request, which its route may send to several services
	ID      string
}

// requestMark begins the ID of a request. Part identifiers of callers that begin with it are
// replaced by their hash.
const requestMark = "="

// identityBytes is the length of the hash that identifies a request.
const identityBytes = 16

// RequestPart returns the Part of a request that callers send again with the same method, host,
// target (path and query), client account, body and prompt, as far as the body does not hold it.
// Nothing else has to be equal.
func RequestPart(method, host, target, account string, body []byte, prompt ...string) Part {
	h := sha256.New()
	writeFields(h, method, host, target, account)
	h.Write(body)
	sum := h.Sum(nil)
	if len(prompt) > 0 {
		// Requests without a prompt keep the identity that processes of earlier versions know.
		h = sha256.New()
		h.Write(sum)
		writeFields(h, prompt...)
		sum = h.Sum(nil)
	}
	return Part{ID: requestMark + hex.EncodeToString(sum[:identityBytes])}
}

// writeFields adds fields to a hash. Their lengths keep them from running into each other.
func writeFields(h hash.Hash, fields ...string) {
	for _, field := range fields {
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
}

// IsRequest reports whether the part is a whole request.
func (p Part) IsRequest() bool { return strings.HasPrefix(p.ID, requestMark) }

// MaxIDBytes bounds the identifier of a part in bytes. Callers choose it, and a longer one is replaced by
// its hash, like one that is not valid UTF-8, which no message between processes can hold.
const MaxIDBytes = 64

// PartsOf returns the parts of a prompt that other requests may share. The last part belongs to
// the request or its session, so it is left out.
func PartsOf(service string, ids []string) []Part {
	if len(ids) < 2 {
		return nil
	}
	out := make([]Part, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		if len(id) > MaxIDBytes || strings.HasPrefix(id, requestMark) || !utf8.ValidString(id) {
			id = "#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
		} else {
			id = strings.Clone(id) // of the header line that holds it, since a Tracker keeps parts
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
	Server uint64 // hash of the incarnation of the server
	// Request is the hash of the last part of the prompt, which repeats of a request share. In the
	// record of a request it is the trial that crashed the server, or 0 if the run was no trial, with
	// the bit unconfirmed.
	Request uint64
	At      time.Duration // Now
}

// unconfirmed is the bit of Crash.Request, in the record of a request, that marks a server which cut a
// run and may have crashed. The crash counts once it is confirmed, and is forgotten after cutAge.
const unconfirmed = uint64(1) << 63

// trialOf returns the trial under which a server crashed, or 0. It is for records of requests only.
func (c Crash) trialOf() uint64 { return c.Request &^ unconfirmed }

// merged returns the crash with what another process knows of it. It is for records of requests only.
func (c Crash) merged(o Crash) Crash {
	c.Request = cmp.Or(c.trialOf(), o.trialOf()) | c.Request&o.Request&unconfirmed
	return c
}

// restartTime is less than a server takes to crash, start and crash again. Processes see the same
// crash at times that differ by less.
const restartTime = 2 * time.Second

// same reports whether two processes saw the same crash.
func (c Crash) same(o Crash) bool {
	return c.Server == o.Server && (c.At-o.At).Abs() < restartTime
}

// Record is the evidence about one part. All times are those of Now.
type Record struct {
	Part       Part
	Crashes    []Crash       // since the part was last answered, by time; at most maxCrashes
	AnsweredAt time.Duration // when a server last wrote an answer to a request with the part; 0 for never known
	TriedAt    time.Duration // when a process last claimed the trial of a request; 0 for never
	Trial      uint64        // drawn at random for that trial
	Since      time.Duration // last crash of the evidence on which the quarantine is based
	Until      time.Duration // end of the quarantine; 0 if there was none
	Terms      int           // number of quarantines, each twice as long as the one before; the first of a request is its suspension
}

const (
	// crashSpacing is the least time between two crashes that count as two. A rack that loses
	// power stops many servers in the same moment, and any request may be on several of them.
	// One request is on two at most, so requestSpacing covers the time in which the two are found.
	crashSpacing   = 100 * time.Millisecond
	requestSpacing = 30 * time.Millisecond
	// untriedSpacing is the least time between two crashes that count as two under a request of which
	// no trial has crashed a server. Within it a trial tells, and many sound requests that share an
	// identity may be on two servers that crash for one reason.
	untriedSpacing = MaxTrial
	// minCrashes is the number of crashes after which a part is quarantined, if they happened
	// under minRequests different requests.
	minCrashes  = 3
	minRequests = 2
	// minCrashesOfAnswered is the number of crashes after which a part or a request is quarantined that
	// was answered within answeredAge before. While first engines crash several times a second, a popular
	// sound part is on each of them.
	minCrashesOfAnswered = 6
	// minCrashesOfOne is the number of crashes after which a part is quarantined that only a
	// single request had. A sound request that other crashes hit is tried four times at most: two
	// attempts, and those of one repeat of its caller.
	minCrashesOfOne = 5
	// minCrashesOfRequest is the number of crashes after which a request is suspended for
	// suspension, so that the servers that it crashed are back before it may crash another one.
	minCrashesOfRequest = 2
	suspension          = 10 * time.Second
	// minCrashesOfDeadly is the number of crashes after which a request is quarantined at once.
	minCrashesOfDeadly = 3
	// settleTime is how long after a crash all processes know what was on the server: they find the
	// crash with a query of 30 ms at most and tell each other over two hubs.
	settleTime = 80 * time.Millisecond
	// maxCrashes bounds the crashes that a record holds.
	maxCrashes = 8
	// evidenceAge is how long a crash counts.
	evidenceAge = time.Hour
	// firstTerm is the length of the first quarantine. After a quarantine one crash starts the
	// next one, which is twice as long.
	firstTerm = 10 * time.Minute
)

// claimTime is how long after the claim of a trial it begins: until then a claim that another process made
// at the same time has arrived.
const claimTime = 20 * time.Millisecond

// MaxTrial bounds the trial of a request. Engines begin to answer within a tenth of a second, plain
// services take less; a server that is slower must not hold up the trials of other requests.
const MaxTrial = time.Second

// MaxTerm is the length of the longest quarantine.
const MaxTerm = 4 * time.Hour

// Quarantined reports whether requests with the part are refused at a time.
func (r *Record) Quarantined(now time.Duration) bool { return now < r.Until }

// Suspension reports whether the last quarantine was the short one of a request that may be sound.
func (r *Record) Suspension() bool { return r.Part.IsRequest() && r.Terms == 1 }

// isConfirmed reports whether a crash of the record is known to be one.
func (r *Record) isConfirmed(c Crash) bool {
	return !r.Part.IsRequest() || c.Request&unconfirmed == 0
}

// confirmed returns the crashes that are known to be such.
func (r *Record) confirmed() []Crash {
	pending := func(c Crash) bool { return !r.isConfirmed(c) }
	if !slices.ContainsFunc(r.Crashes, pending) {
		return r.Crashes
	}
	return slices.DeleteFunc(slices.Clone(r.Crashes), pending)
}

// unconfirmedFor returns how long it may take until it is known whether the last of the unconfirmed
// crashes is one, or 0.
func (r *Record) unconfirmedFor(now time.Duration) time.Duration {
	left := time.Duration(0)
	for _, c := range r.Crashes {
		if !r.isConfirmed(c) {
			left = max(left, c.At+cutAge-now)
		}
	}
	return left
}

// forgetUnconfirmed removes the crashes that were not confirmed in time.
func (r *Record) forgetUnconfirmed(now time.Duration) {
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return !r.isConfirmed(c) && now-c.At > cutAge })
}

// settlesIn returns the time until the evidence of all processes about the last crash is known.
func (r *Record) settlesIn(now time.Duration) time.Duration {
	if len(r.Crashes) == 0 {
		return 0
	}
	return r.Crashes[len(r.Crashes)-1].At + settleTime - now
}

// add adds a crash unless it is known or the part was answered since, and reports whether it did. A process
// that ran no trial may see the crash of one.
func (r *Record) add(c Crash) bool {
	if c.At <= r.AnsweredAt {
		return false
	}
	if i := slices.IndexFunc(r.Crashes, c.same); i >= 0 {
		before := r.Crashes[i]
		if r.Part.IsRequest() {
			r.Crashes[i] = before.merged(c)
		}
		return r.Crashes[i] != before
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
	r.mergeTrial(o)
	r.recordAnswer(o.AnsweredAt)
	return changed
}

// mergeTrial takes the trial that another process knows if it is the later one. Of two that were claimed
// at the same time the one with the lower number counts, in all processes.
func (r *Record) mergeTrial(o Record) {
	switch {
	case o.TriedAt == 0 || o.TriedAt+MaxTrial/2 < r.TriedAt:
	case r.TriedAt == 0 || o.TriedAt > r.TriedAt+MaxTrial/2 || o.Trial < r.Trial:
		r.TriedAt, r.Trial = o.TriedAt, o.Trial
	}
}

// sameTime is the difference up to which two times count as the same: each datagram adds its time
// on the way.
const sameTime = time.Second

// startQuarantine starts a quarantine if the evidence suffices, and reports whether it did. leads
// means that no other request shares the last crash and has as many; it counts for requests only.
func (r *Record) startQuarantine(now time.Duration, leads bool) bool {
	if r.Quarantined(now) && !r.Suspension() {
		return false
	}
	crashes := r.confirmed()
	terms, length := r.nextTerm(r.countCrashes(crashes, now), leads)
	if length == 0 {
		return false
	}
	r.Terms, r.Since, r.Until = terms, crashes[len(crashes)-1].At, now+length
	return true
}

// nextTerm returns the number of quarantines with the next one and its length, or 0 and 0 if the
// crashes do not suffice for one.
func (r *Record) nextTerm(n crashCount, leads bool) (terms int, length time.Duration) {
	switch {
	case !r.Part.IsRequest():
		if !r.suffices(n) {
			return 0, 0
		}
		return r.Terms + 1, doubled(firstTerm, r.Terms)
	case !leads || n.counted == 0 || (r.answeredBefore() && n.counted < minCrashesOfAnswered):
		return 0, 0
	case r.Terms > 1 || n.counted >= minCrashesOfDeadly:
		terms = max(r.Terms, 1) + 1
		return terms, doubled(firstTerm, terms-2)
	case r.Terms == 0 && n.counted >= minCrashesOfRequest:
		return 1, suspension
	default:
		return 0, 0
	}
}

// doubled returns a time doubled a number of times, but MaxTerm at most.
func doubled(d time.Duration, times int) time.Duration {
	for range times {
		if d = min(2*d, MaxTerm); d == MaxTerm {
			break
		}
	}
	return d
}

// suffices reports whether crashes suffice to quarantine a part of prompts.
func (r *Record) suffices(n crashCount) bool {
	switch {
	case r.Terms > 0 && n.counted > 0:
		return true
	case r.answeredBefore() && n.counted < minCrashesOfAnswered:
		return false
	default:
		return n.counted >= minCrashesOfOne || (n.counted >= minCrashes && n.requests >= minRequests)
	}
}

// answeredBefore reports whether the part was answered shortly before the first crash.
func (r *Record) answeredBefore() bool {
	return r.AnsweredAt > 0 && len(r.Crashes) > 0 && r.Crashes[0].At-r.AnsweredAt < answeredAge
}

// crashCount sums up the crashes that count since the last quarantine, or during and before the
// suspension of a request.
type crashCount struct {
	counted  int // at separate moments
	requests int // different requests
}

func (r *Record) countCrashes(crashes []Crash, now time.Duration) crashCount {
	var out crashCount
	last, spacing := time.Duration(0), r.spacing()
	requests := map[uint64]bool{}
	for _, c := range crashes {
		if (c.At <= r.Until && !r.Suspension()) || now-c.At > evidenceAge {
			continue
		}
		requests[c.Request] = true
		if out.counted == 0 || c.At-last >= spacing {
			out.counted, last = out.counted+1, c.At
		}
	}
	out.requests = len(requests)
	return out
}

// spacing returns the least time between two crashes that count as two.
func (r *Record) spacing() time.Duration {
	tried := func(c Crash) bool { return c.trialOf() != 0 }
	switch {
	case !r.Part.IsRequest():
		return crashSpacing
	case r.answeredBefore() || slices.ContainsFunc(r.Crashes, tried):
		return requestSpacing
	default:
		return untriedSpacing
	}
}

// idle reports whether the record holds nothing that still counts.
func (r *Record) idle(now time.Duration) bool {
	if r.Quarantined(now) || (r.Terms > 0 && !r.Suspension() && now-r.Until < MaxTerm) {
		return false
	}
	if r.Until == 0 && r.AnsweredAt > 0 && now-r.AnsweredAt < answeredRepeat {
		return false
	}
	return r.unconfirmedFor(now) <= 0 && !slices.ContainsFunc(r.confirmed(), func(c Crash) bool { return now-c.At <= evidenceAge })
}
