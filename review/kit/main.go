// Command kit plays the cases of the review that are scripts. It starts entry processes with the command of
// the deploy file, and stand-ins for the platform's store, workers and clients.
//
//	kit CASE BINARY RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// stage is what a case plays on.
type stage struct {
	binary, dir string
	trouble     bool
	record      *record
	store       *store

	mu      sync.Mutex // guards entries
	entries []*entry
}

var cases = map[string]func(*stage) error{
	"add-beside-cut-hub":   addBesideCutHub,
	"storm-beside-cut-hub": stormBesideCutHub,
	"stop-while-waiting":   stopWhileWaiting,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE BINARY RECORD")
		os.Exit(2)
	}
	code, err := play(cases[os.Args[1]], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// play plays a case and returns its exit code.
func play(c func(*stage) error, binary, path string) (code int, err error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	}
	r, err := newRecord(path)
	if err != nil {
		return 2, err
	}
	s := &stage{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r}
	r.add("disruption: %v", s.trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.stopEntries()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	defer func() {
		s.stopEntries()
		if err != nil {
			r.add("could not run: %v", err)
		}
		if result := r.close(); err == nil {
			code = result
		}
	}()
	if s.store, err = newStore(); err != nil {
		return 2, err
	}
	return 0, c(s)
}

// startEntry starts an entry process that uses the store at an address.
func (s *stage) startEntry(name, zone, store string, first bool) (*entry, error) {
	e, err := newEntry(s.dir, s.binary, name, zone, store, first)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return e, e.start()
}

// stopEntries ends the entry processes.
func (s *stage) stopEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.stop()
	}
}
