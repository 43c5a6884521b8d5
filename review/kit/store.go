package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
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

// store is a stand-in for the platform's store: tables with conditional writes and a change feed. It
// answers after answerTime and has no faults of its own.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row // by table and key, with deleted ones
	changed chan struct{}  // closed at the next change
}

// answerTime is the time that the store takes for an answer, as the deployments state it.
const answerTime = 4 * time.Millisecond

func newStore() (*store, error) {
	s := &store{started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.read)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(ln) }()
	return s, nil
}

// put writes a row as the operator or a worker does, and returns when the store has accepted it.
func (s *store) put(table, key string, value any) (acked time.Time) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps of the cases
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: raw})
	return time.Now()
}

// write stores a row under the next version and wakes the feeds. The caller holds s.mu.
func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	if r.Deleted {
		r.Value = nil
	}
	s.rows[r.Table+"/"+r.Part+"/"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes rows. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds() + 50_000})
}

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
		current := s.rows[x.Table+"/"+x.Part+"/"+x.Key]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != x.Version {
			s.answer(w, http.StatusPreconditionFailed, nil)
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
	s.answer(w, http.StatusOK, nil)
}

// selectRows returns the rows of a table that keep accepts, in the order of their keys. The caller holds s.mu.
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

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(w, http.StatusOK, s.selectRows(q.Get("table"), func(x row) bool {
		return !x.Deleted && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to"))
	}))
}

// feed answers with the changes of a table after a version, and waits for one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		rows, changed := s.selectRows(q.Get("table"), func(x row) bool { return x.Version > after }), s.changed
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
