package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, or the record of its removal.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	start time.Time
	ln    net.Listener

	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{} // closed at the next change
}

// pageRows is the most rows of one answer.
const pageRows = 500

// newStore returns a store that serves its calls.
func newStore() (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{start: time.Now(), ln: ln, rows: map[rowKey]row{}, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("POST /-/rows-tx", s.serveCommit)
	m.HandleFunc("GET /-/rows-get", s.serveRows)
	m.HandleFunc("GET /-/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(ln, m) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// put writes a row, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are structs of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: raw}})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply makes one transaction. The caller holds mu.
func (s *store) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		k := rowKey{r.Table, r.Part, r.Key}
		if r.Deleted {
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is the answer to a call.
type answer struct {
	Rows      []row  `json:"rows,omitempty"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"ver"`
	Now       int64  `json:"nowMs"`
}

// write sends an answer. The caller holds mu, so that it is that of one moment.
func (s *store) write(w http.ResponseWriter, status int, a answer) {
	a.Version, a.Now = s.version, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // fails if the caller has gone
}

func (s *store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Writes, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		http.Error(w, "no transaction", http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var found []row
	for _, x := range tx.Precondition {
		now, ok := s.rows[rowKey{x.Table, x.Part, x.Key}]
		held = held && now.Version == x.Version
		if ok {
			found = append(found, now)
		}
	}
	if !held {
		s.write(w, http.StatusPreconditionFailed, answer{Rows: found})
		return
	}
	changes := tx.Writes
	for _, x := range tx.Remove {
		x.Deleted = true
		changes = append(changes, x)
	}
	s.apply(changes)
	s.write(w, http.StatusOK, answer{})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var a answer
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			a.Rows = append(a.Rows, x)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	if a.Truncated = len(a.Rows) > limit; a.Truncated {
		a.Rows = a.Rows[:limit]
	}
	s.write(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	time.Sleep(4 * time.Millisecond)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		last := map[rowKey]row{}
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Version > after {
				last[rowKey{x.Table, x.Part, x.Key}] = x
			}
		}
		over := len(last) > 0
		changed := s.changed
		if !over {
			s.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-end:
			case <-r.Context().Done():
				return
			}
			s.mu.Lock()
		}
		var a answer
		for _, x := range last {
			a.Rows = append(a.Rows, x)
		}
		sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
		s.write(w, http.StatusOK, a)
		s.mu.Unlock()
		return
	}
}
