package queue

import (
	"sort"
	"sync"
)

// Set holds the queues of all services of one process. Its lock is never held
// together with that of a queue.
type Set struct {
	mu       sync.Mutex
	newQueue func(service string) *Queue
	queues   map[string]*Queue
}

// NewSet returns an empty set. The queue of a service is created with newQueue
// when it is first used.
func NewSet(newQueue func(service string) *Queue) *Set {
	return &Set{newQueue: newQueue, queues: map[string]*Queue{}}
}

// Queue returns the queue of a service and creates it if necessary.
func (s *Set) Queue(service string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service]
	if q == nil {
		q = s.newQueue(service)
		s.queues[service] = q
	}
	return q
}

// RetainServers removes all servers that are not in names from every queue.
func (s *Set) RetainServers(names map[string]bool) {
	s.mu.Lock()
	all := make([]string, 0, len(s.queues))
	for n := range s.queues {
		all = append(all, n)
	}
	s.mu.Unlock()
	sort.Strings(all)
	for _, n := range all {
		s.Queue(n).retainServers(names)
	}
}

// retainServers removes all servers that are not in names.
func (q *Queue) retainServers(names map[string]bool) {
	q.mu.Lock()
	var removed []string
	for _, n := range q.serverNames {
		if !names[n] {
			removed = append(removed, n)
		}
	}
	q.mu.Unlock()
	for _, n := range removed {
		q.RemoveServer(n)
	}
}
