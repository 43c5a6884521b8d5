package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// row is a row of the platform's store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store, with fault switches.
type store struct {
	address string
	started time.Time

	mu            sync.Mutex
	version       uint64
	rows          map[string]row // including deleted ones
	oldestVersion uint64         // the feed starts after this version; older changes were compacted
	changed       chan struct{}
	fault         storeFault
	faultChanged  time.Time            // when fault was last changed
	firstSent     map[uint64]time.Time // time of the first answer with a row, by version of the row
	lostReplies   int                  // number of commits whose reply is to be lost
	era           int                  // rises with each return from an older copy
}

// storeFault is a fault of the store.
type storeFault int

const (
	storeHealthy storeFault = iota
	storeBusy               // answers 503
	storeSilent             // does not answer
	storeSlow               // answers after 200 ms
)

func newStore(t *testing.T) *store {
	t.Helper()
	s := &store{started: time.Now(), rows: map[string]row{}, firstSent: map[uint64]time.Time{}, era: 1, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.read)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	server := &http.Server{Handler: s.withFaults(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *store) set(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f != s.fault {
		s.fault, s.faultChanged = f, time.Now()
	}
}

// visibleSince returns the time since which entry processes can know a row that was
// written at the given time: when the store first sent the row, or since when it has
// had no fault. It returns false if they can't know it yet.
func (s *store) visibleSince(version uint64, written time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.firstSent[version]; ok {
		return at, true
	}
	if s.faultChanged.After(written) {
		written = s.faultChanged
	}
	return written, s.fault == storeHealthy
}

// unavailable reports whether the store fails all calls.
func (s *store) unavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault == storeBusy || s.fault == storeSilent
}

// withFaults applies the fault of the store to each call.
func (s *store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		switch f {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case storeSilent:
			<-r.Context().Done()
			return
		case storeSlow:
			time.Sleep(200 * time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

// rowID returns the key of a row in store.rows.
func rowID(r row) string { return r.Table + "/" + r.Key }

// put writes a row, or deletes it if value is nil, as a writer of the platform would.
// It bypasses faults and returns the time of the acknowledgement and the row's version.
func (s *store) put(table, key string, value any) (time.Time, uint64) {
	if value == nil {
		return s.putRaw(table, key, nil)
	}
	raw, _ := json.Marshal(value)
	return s.putRaw(table, key, raw)
}

// putRaw is put with a value that is encoded already.
func (s *store) putRaw(table, key string, raw []byte) (time.Time, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: raw, Deleted: raw == nil})
	return time.Now(), s.version
}

// write stores a row under the next version and wakes the feeds. The caller holds s.mu.
func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	if r.Deleted {
		r.Value = nil
	}
	s.rows[rowID(r)] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops deleted rows, so that feeds from an older version fail.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestVersion = s.version
	for k, r := range s.rows {
		if r.Deleted {
			delete(s.rows, k)
		}
	}
}

// respond sends rows and records when each was first sent. The caller holds s.mu.
func (s *store) respond(w http.ResponseWriter, status int, rows []row) {
	for _, r := range rows {
		if _, ok := s.firstSent[r.Version]; !ok {
			s.firstSent[r.Version] = time.Now()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds() + 5000})
}

// commit applies a transaction if its preconditions hold.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []row `json:"precondition"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range t.Expect {
		if current := s.rows[rowID(x)]; (current.Deleted && x.Version != 0) || (!current.Deleted && current.Version != x.Version) {
			s.respond(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	for _, x := range t.Writes {
		s.write(x)
	}
	for _, x := range t.Remove {
		x.Deleted = true
		s.write(x)
	}
	if s.lostReplies > 0 {
		s.lostReplies--
		panic(http.ErrAbortHandler)
	}
	s.respond(w, http.StatusOK, nil)
}

// selectRows returns the rows of a table that keep accepts, by key. The caller holds
// s.mu.
func (s *store) selectRows(table string, keep func(r row) bool) []row {
	var out []row
	for _, r := range s.rows {
		if r.Table == table && keep(r) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// read serves the rows of a table in a range of keys.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond(w, http.StatusOK, s.selectRows(q.Get("table"), func(r row) bool {
		return !r.Deleted && r.Key >= q.Get("from") && (q.Get("to") == "" || strings.Compare(r.Key, q.Get("to")) < 0)
	}))
}

// feed serves the changes of a table after a version. It waits for a change up to the
// time in the query.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era)) // may have risen during the wait
		if after < s.oldestVersion || after > s.version {
			w.WriteHeader(http.StatusGone)
			s.mu.Unlock()
			return
		}
		rows, changed := s.selectRows(q.Get("table"), func(r row) bool { return r.Version > after }), s.changed
		if len(rows) > 0 || wait == 0 {
			s.respond(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
