// Command rig plays the script cases of the second review: it starts entry processes and meets them with a store, workers and
// clients of its own.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether a rule was broken. With calm it leaves out the disruption.
type scenario func(s *site, calm bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"drain":  playDrain,
	"revoke": playRevoke,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	program := flag.String("program", "target/cranberrybay", "program of the entry processes")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "rig: no case %q\n", flag.Arg(0))
		return exitNotRun
	}
	calm := os.Getenv("TROUBLE") == "0"
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	full, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	s, err := newSite(full, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	broken, err := play(s, calm)
	s.close()
	if writeErr := s.log.save(*record); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// waitFor calls f until it returns true, for at most a time. It reports whether it did.
func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
