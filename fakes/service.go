package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// ServiceFaults are the switches of a plain service.
type ServiceFaults struct {
	Refuse           bool          `json:"refuse"` // refuses every call, not run
	LostReplies      int           `json:"drop"`   // runs so many calls and drops their connections
	LostCalls        int           `json:"lose"`   // drops so many connections without running the call
	TruncatedReplies int           `json:"cut"`    // cuts off so many answers in their body
	FailedCalls      int           `json:"fail"`   // runs so many calls and answers 500
	Delay            time.Duration `json:"delay"`  // before each call, nanoseconds
}

// OrderRecord is an order that ran.
type OrderRecord struct {
	Body    string `json:"body"`
	Key     string `json:"key,omitempty"`    // Idempotency-Key
	Request string `json:"request"`          // X-Request-Id
	Secret  string `json:"secret,omitempty"` // Authorization, which must not arrive
}

// Service is a plain service: POST /orders appends an order, which may not be
// repeated, GET /archive/{name} is a lookup, and GET /feed streams lines.
type Service struct {
	mu      sync.Mutex
	orders  []OrderRecord
	faults  ServiceFaults
	leaving bool
	running int
	calls   int
}

// NewService returns a service without orders.
func NewService() *Service { return &Service{} }

// Orders returns the bodies of the orders that ran, in order.
func (s *Service) Orders() []string {
	var out []string
	for _, o := range s.ExecutedOrders() {
		out = append(out, o.Body)
	}
	return out
}

// ExecutedOrders returns the orders that ran, in order.
func (s *Service) ExecutedOrders() []OrderRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]OrderRecord(nil), s.orders...)
}

// Calls returns the number of calls that arrived, without load reports.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving starts or ends the service's leaving. A leaving service refuses
// new calls and finishes those that run.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Leaving tells whether the service is leaving.
func (s *Service) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /orders", s.work(s.order))
	m.HandleFunc("GET /archive/{name}", s.work(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "archive entry %s\n", r.PathValue("name"))
	}))
	m.HandleFunc("GET /feed", s.work(s.feed))
	m.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.ExecutedOrders()) })
	m.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, engine.Load{Slots: 16, Running: s.running, Ready: true, Leaving: s.leaving})
	})
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if accept(w, r, &f) {
			s.SetFaults(f)
			reply(w, f)
		}
	})
	m.HandleFunc("PUT /leaving", func(w http.ResponseWriter, r *http.Request) {
		var leaving bool
		if accept(w, r, &leaving) {
			s.SetLeaving(leaving)
			reply(w, leaving)
		}
	})
	return m
}

// take uses up one of the counted faults.
func (s *Service) take(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n > 0 {
		*n--
		return true
	}
	return false
}

// work counts a call and shows the faults that come before it runs.
func (s *Service) work(do http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		refused, delay := s.leaving || s.faults.Refuse, s.faults.Delay
		if !refused {
			s.running++
		}
		s.mu.Unlock()
		if refused {
			refuse(w, "service is leaving")
			return
		}
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.running--
		}()
		time.Sleep(delay)
		if s.take(&s.faults.LostCalls) {
			panic(http.ErrAbortHandler)
		}
		do(w, r)
	}
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.orders = append(s.orders, OrderRecord{Body: string(b), Key: r.Header.Get("Idempotency-Key"), Request: r.Header.Get("X-Request-Id"), Secret: r.Header.Get("Authorization")})
	n := len(s.orders)
	s.mu.Unlock()
	if s.take(&s.faults.LostReplies) {
		panic(http.ErrAbortHandler)
	}
	if s.take(&s.faults.FailedCalls) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if s.take(&s.faults.TruncatedReplies) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%d,\"request\":%q}\n", n, r.Header.Get("X-Request-Id"))
}

// feed streams as many lines as the query says, one each millisecond, or the
// given time apart.
func (s *Service) feed(w http.ResponseWriter, r *http.Request) {
	lines, pace := 10, time.Millisecond
	_, _ = fmt.Sscan(r.URL.Query().Get("lines"), &lines)
	if d, err := time.ParseDuration(r.URL.Query().Get("pace")); err == nil {
		pace = d
	}
	for n := range min(lines, 100000) {
		_, _ = fmt.Fprintf(w, "line %d\n", n)
		_ = http.NewResponseController(w).Flush()
		if s.take(&s.faults.TruncatedReplies) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(pace):
		case <-r.Context().Done():
			return
		}
	}
}
