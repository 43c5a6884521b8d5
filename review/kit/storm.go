package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// stormBesideCutHub changes the configuration in quick succession while the hub of the zone is partitioned
// from the store. Each version moves the route to another service. The other process reaches the store.
func stormBesideCutHub(s *stage) error {
	const (
		configBound = 2 * time.Second // configMs
		cutFor      = 5500 * time.Millisecond
		changes     = 12
		gap         = 330 * time.Millisecond
	)
	service := func(n int) string { return fmt.Sprintf("desk-%02d", n) }
	config := func(n int) map[string]any {
		c := deskConfig(7+2*n, "idempotent", time.Second, key)
		var services []any
		for i := range changes + 1 {
			services = append(services, map[string]any{"name": service(i), "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false})
		}
		c["services"] = services
		c["routes"].([]any)[0].(map[string]any)["service"] = service(n)
		return c
	}
	s.store.put("op", "config", config(0))
	for i := range changes + 1 {
		if _, err := newWorker(s.store, s.record, "i-"+service(i), service(i), 5*time.Millisecond); err != nil {
			return err
		}
	}
	p, err := newProxy(s.store.address)
	if err != nil {
		return err
	}
	hub, err := s.startEntry("front-thamel-1", "thamel", p.address, true)
	if err != nil {
		return err
	}
	if err := hub.awaitReady(10 * time.Second); err != nil {
		return err
	}
	e, err := s.startEntry("front-thamel-2", "thamel", s.store.address, false)
	if err != nil {
		return err
	}
	if err := e.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // stableWindowMs, and the bench's lead
	calm := &call{id: "calm", method: "GET", path: "/desk/2f", key: key, deadline: time.Second}
	if calm.do(s.record, e); calm.status != 200 {
		return errors.New("the system does not serve a request before the case begins")
	}
	if s.trouble {
		s.record.add("%s is partitioned from the store", hub.name)
		p.cut(true)
		time.AfterFunc(cutFor, func() {
			s.record.add("the partition ends")
			p.cut(false)
		})
	}
	var mu sync.Mutex
	acked := []time.Time{{}}
	go func() {
		for n := 1; n <= changes; n++ {
			time.Sleep(gap)
			at := s.store.put("op", "config", config(n))
			s.record.add("the store has acknowledged version %d, which moves the route to %s", 7+2*n, service(n))
			mu.Lock()
			acked = append(acked, at)
			mu.Unlock()
		}
	}()
	var calls []*call
	var wg sync.WaitGroup
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c := &call{id: fmt.Sprintf("move-%03d", len(calls)), method: "GET", path: "/desk/2f", key: key, deadline: time.Second}
		calls = append(calls, c)
		wg.Add(1)
		go func() { defer wg.Done(); c.do(s.record, e) }()
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, c := range calls {
		n := -1
		if _, err := fmt.Sscanf(string(c.answer), "i-desk-%d did", &n); err != nil || c.status != 200 || !strings.Contains(string(c.answer), c.id) {
			continue
		}
		if n+1 < len(acked) {
			if late := c.sentAt.Sub(acked[n+1]); late > configBound {
				s.record.breaks("CONFIG: %s was run by %s, sent %.3f s after the acknowledgement that moved the route away from it", c.id, service(n), late.Seconds())
			}
		}
	}
	return nil
}
