package fakes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// PeakMemory returns the largest resident memory that a process has had, in bytes. It fails for a process that has
// ended.
func PeakMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
