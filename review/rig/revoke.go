package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	revokeBound = 5 * time.Second // revokeMs of the sheet
	sendAfter   = 9 * time.Second // how long after the acknowledgement requests are sent
)

// playRevoke takes the only key of the only tenant away, by a configuration without tenants.
func playRevoke(s *site, calm bool) (bool, error) {
	const key, unknown = "k-shop-1", "k-nobody-ever-held"
	tenants := []any{map[string]any{"name": "shop", "apiKeys": []string{key}}}
	s.store.put("op", "config", jobConfig(1, time.Second, tenants))
	w, err := s.startWorker("i-000", "desk", "thamel", 6, func() time.Duration { return 15 * time.Millisecond })
	if err != nil {
		return false, err
	}
	e, err := s.startEntry("front-1", "thamel")
	if err != nil {
		return false, err
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	if status, text := s.post(e, "/jobs/1", key, nextID(), time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the key in force got status %d: %s", status, text)
	}
	if status, text := s.post(e, "/jobs/1", unknown, nextID(), time.Second); status != http.StatusUnauthorized {
		return false, fmt.Errorf("an unknown key got status %d: %s", status, text)
	}
	time.Sleep(2 * time.Second)
	if !calm {
		tenants = []any{}
	}
	s.store.put("op", "config", jobConfig(2, time.Second, tenants))
	changed := time.Now()
	s.log.add("the store has acknowledged version 2, with %d tenants", len(tenants))
	late := map[string]time.Duration{} // requests sent too late with a key that no tenant has any more
	never := map[string]bool{}         // requests with a key that no configuration held
	for time.Since(changed) < sendAfter {
		id := nextID()
		if after := time.Since(changed); after > revokeBound && !calm {
			late[id] = after
		}
		s.post(e, "/jobs/1", key, id, time.Second)
		id = nextID()
		never[id] = true
		s.post(e, "/jobs/1", unknown, id, time.Second)
		time.Sleep(250 * time.Millisecond)
	}
	revoked, forged := 0, 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.runs {
		if after, ok := late[x.id]; ok {
			revoked++
			s.log.add("BROKEN: request %s, sent %.3f s after its key was taken away, runs at %s", x.id, after.Seconds(), x.worker)
		}
		if never[x.id] {
			forged++
			s.log.add("BROKEN: request %s, whose key no configuration ever held, runs at %s", x.id, x.worker)
		}
	}
	s.log.add("requests run with the key taken away: %d of %d; with a key that never was in force: %d of %d", revoked, len(late), forged, len(never))
	fmt.Printf("requests run with the key taken away: %d of %d; with a key that never was in force: %d of %d\n", revoked, len(late), forged, len(never))
	return revoked+forged > 0, nil
}
