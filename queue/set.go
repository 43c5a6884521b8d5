package queue

import (
	"sort"
	"sync"
)

// Set holds the queues of all services of one process. Its lock is never held
// with that of a queue.
type Set struct {
	mu     sync.Mutex
	make   func(service string) *Queue
	queues map[string]*Queue
}

// NewSet returns an empty set; a queue is made when its service is first used.
func NewSet(mk func(service string) *Queue) *Set {
	return &Set{make: mk, queues: map[string]*Queue{}}
}

// Queue returns the queue of a service.
func (s *Set) Queue(service string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil {
		q = s.make(service)
		s.queues[service] = q
	}
	return q
}

// RetainServers forgets the servers that are not in the set of names, in every queue.
func (s *Set) RetainServers(names map[string]bool) {
	s.mu.Lock()
	all := make([]string, 0, len(s.queues))
	for n := range s.queues {
		all = append(all, n)
	}
	s.mu.Unlock()
	sort.Strings(all)
	for _, n := range all {
		s.Queue(n).keep(names)
	}
}

// keep forgets the servers that are not in the set.
func (q *Queue) keep(names map[string]bool) {
	q.mu.Lock()
	var gone []string
	for _, n := range q.names {
		if !names[n] {
			gone = append(gone, n)
		}
	}
	q.mu.Unlock()
	for _, n := range gone {
		q.RemoveServer(n)
	}
}
