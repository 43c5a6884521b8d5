package fakes

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/cranberrybay/cranberrybay/engine"
)

// ServiceFaults are the switches of a plain service.
type ServiceFaults struct {
	Refuse bool `json:"refuse"` // refuses every call, not run
	Drop   int  `json:"drop"`   // runs so many calls and drops their connections
}

// Service is a plain service: POST /orders appends an order, which may not be
// repeated, and GET /archive/{name} is a lookup.
type Service struct {
	mu      sync.Mutex
	orders  []string
	faults  ServiceFaults
	leaving bool
	running int
}

// NewService returns a service without orders.
func NewService() *Service { return &Service{} }

// Orders returns the bodies of the orders that ran, in order.
func (s *Service) Orders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.orders...)
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLeaving starts or ends the service's leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /orders", s.order)
	m.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Orders()) })
	m.HandleFunc("GET /archive/{name}", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "archive entry %s\n", r.PathValue("name"))
	})
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
	return m
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.faults.Refuse {
		refuse(w, "service is leaving")
		return
	}
	s.orders = append(s.orders, string(b))
	if s.faults.Drop > 0 {
		s.faults.Drop--
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%d}\n", len(s.orders))
}
