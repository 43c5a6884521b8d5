package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second         // drainMs of the sheet
	serveOn    = 2500 * time.Millisecond // how long a worker serves after it has reported that it drains
	killedFor  = 3 * time.Second         // how long the killed process is away
	// crowd is how many orders come at once, as many as one process may have connections to the three workers.
	// stragglers is how many follow, over stragglerTime and from stragglerGap after the report on.
	crowd         = 36
	stragglers    = 24
	stragglerGap  = 300 * time.Millisecond
	stragglerTime = 700 * time.Millisecond
	jobTime       = 10 * time.Second // deadline of the clients
)

// jobWork returns how long a job takes.
func jobWork() time.Duration { return 2300*time.Millisecond + rand.N(200*time.Millisecond) }

// playDrain lets a worker leave while orders wait for a connection to it. Just before, the process is killed from which
// the other one hears of changes.
func playDrain(s *site, calm bool) (bool, error) {
	s.store.put("op", "config", jobConfig(1, jobTime+2*time.Second, []any{map[string]any{"name": "shop", "apiKeys": []string{"k-shop-1"}}}))
	for i := range 3 {
		if _, err := s.startWorker(fmt.Sprintf("i-%03d", i), "desk", "thamel", 16, jobWork); err != nil {
			return false, err
		}
	}
	var entries []*entry
	for _, name := range []string{"front-1", "front-2"} {
		e, err := s.startEntry(name, "thamel")
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	hub, other := entries[0], entries[1]
	var clients sync.WaitGroup
	submit := func() {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.post(other, "/jobs/1", "k-shop-1", nextID(), jobTime)
		}()
	}
	time.Sleep(4 * time.Second)
	for range crowd {
		submit()
	}
	time.Sleep(100 * time.Millisecond)
	if !calm {
		s.log.add("SIGKILL to %s", hub.name)
		hub.kill()
	}
	s.workers[0].drain(serveOn)
	time.Sleep(stragglerGap)
	for range stragglers {
		submit()
		time.Sleep(stragglerTime / stragglers)
	}
	time.Sleep(killedFor - stragglerGap - stragglerTime)
	if !calm {
		if err := s.run(hub); err != nil {
			return false, err
		}
	}
	clients.Wait()
	s.quote(other, `"server":"`+s.workers[0].id+`"`)
	late, lost := 0, 0
	for _, w := range s.workers {
		w.mu.Lock()
		for _, x := range w.runs {
			if after := x.at.Sub(w.drainAt); !w.drainAt.IsZero() && after > drainBound {
				late++
				if x.cut.Load() {
					lost++
				}
				s.log.add("BROKEN: request %s reached %s %.3f s after the store had acknowledged that it drains; cut off by its end: %t", x.id, x.worker, after.Seconds(), x.cut.Load())
			}
		}
		w.mu.Unlock()
	}
	s.log.add("requests that reached a draining worker later than %v: %d, of which its end cut off %d", drainBound, late, lost)
	fmt.Printf("requests that reached a draining worker later than %v: %d, of which its end cut off %d\n", drainBound, late, lost)
	return late > 0, nil
}
