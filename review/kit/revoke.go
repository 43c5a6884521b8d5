package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// addBesideCutHub adds a machine while the hub of its zone is partitioned from the store. The new process
// takes the state of the hub, in which a key is valid that was taken away more than revokeMs before.
func addBesideCutHub(s *stage) error {
	const (
		revokeBound = 5 * time.Second
		cutFor      = 5500 * time.Millisecond
		other       = "anfqasnmgkcuyj8pjbvk"
	)
	s.store.put("op", "config", deskConfig(7, "idempotent", time.Second, key, other))
	w, err := newWorker(s.store, s.record, "i-desk-1", "desk", 5*time.Millisecond)
	if err != nil {
		return err
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
	time.Sleep(3 * time.Second)
	calm := &call{id: "calm", method: "GET", path: "/desk/2f", key: key, deadline: time.Second}
	if calm.do(s.record, hub); calm.status != 200 {
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
	acked := s.store.put("op", "config", deskConfig(9, "idempotent", time.Second, other))
	s.record.add("the store has acknowledged version 9, without the key")
	time.Sleep(time.Until(acked.Add(revokeBound + 10*time.Millisecond)))
	e, err := s.startEntry("front-thamel-2", "thamel", s.store.address, false)
	if err != nil {
		return err
	}
	s.record.add("%s is added", e.name)
	var mu sync.Mutex
	var calls []*call
	var wg sync.WaitGroup
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			mu.Lock()
			c := &call{id: fmt.Sprintf("revoked-%03d", len(calls)), method: "GET", path: "/desk/2f", key: key, deadline: time.Second}
			calls = append(calls, c)
			mu.Unlock()
			c.do(s.record, e)
		}()
	}
	wg.Wait()
	for _, c := range calls {
		if late := c.sentAt.Sub(acked); w.ran(c.id) > 0 && late > revokeBound {
			s.record.breaks("CONFIG: %s, sent %.3f s after the acknowledgement that took its key away, ran", c.id, late.Seconds())
		}
	}
	return nil
}
