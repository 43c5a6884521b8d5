package fakes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
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

// MemoryUse is the memory that a process uses of its VM at one moment, in bytes.
type MemoryUse struct {
	Resident int64
	// Unread is what has arrived on the sockets of the process, or on connections that wait for its Accept, and has
	// not been read. Unsent is what it has written and the other side has not taken.
	Unread, Unsent int64
}

// Total returns the sum of all parts.
func (u MemoryUse) Total() int64 { return u.Resident + u.Unread + u.Unsent }

// String returns the parts in KB.
func (u MemoryUse) String() string {
	return fmt.Sprintf("%d KB resident, %d unread, %d unsent", u.Resident>>10, u.Unread>>10, u.Unsent>>10)
}

// ReadMemoryUse returns the present memory use of a process that listens on addresses, each IP:port over IPv4. It is zero
// for a process that has ended.
func ReadMemoryUse(pid int, addresses ...string) MemoryUse {
	own := map[string]bool{} // inodes of sockets
	folder := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(folder)
	for _, e := range entries {
		target, _ := os.Readlink(folder + e.Name()) // empty if it was closed meanwhile
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	local := map[string]bool{}
	for _, a := range addresses {
		local[procAddress(a)] = true
	}
	var u MemoryUse
	for _, table := range []string{"tcp", "udp"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		for line := range strings.Lines(string(text)) {
			f := strings.Fields(line)
			const listening = "0A" // the queues of a listening socket count connections
			if len(f) < 10 || f[3] == listening || !own[f[9]] && !local[f[1]] {
				continue
			}
			unsent, unread, _ := strings.Cut(f[4], ":")
			u.Unsent += parseHex(unsent)
			u.Unread += parseHex(unread)
		}
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if f := strings.Fields(string(text)); len(f) > 1 {
		pages, _ := strconv.ParseInt(f[1], 10, 64)
		u.Resident = pages * int64(os.Getpagesize())
	}
	return u
}

// procAddress returns an address in the format of /proc/net/tcp; empty for an invalid one.
func procAddress(address string) string {
	var a, b, c, d byte
	var port uint16
	if _, err := fmt.Sscanf(address, "%d.%d.%d.%d:%d", &a, &b, &c, &d, &port); err != nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", d, c, b, a, port)
}

func parseHex(text string) int64 {
	n, _ := strconv.ParseInt(text, 16, 64)
	return n
}

// usageInterval is the time between two looks at the use of a process.
const usageInterval = 20 * time.Millisecond

// WatchUsage runs f and returns the largest memory use and the largest number of descriptors of a process meanwhile.
func WatchUsage(pid int, addresses []string, f func()) (memory MemoryUse, descriptors int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		if u := ReadMemoryUse(pid, addresses...); u.Total() > memory.Total() {
			memory = u
		}
		n, _ := OpenDescriptors(pid) // 0 for a process that has ended
		descriptors = max(descriptors, n)
		select {
		case <-done:
			return memory, descriptors
		case <-time.After(usageInterval):
		}
	}
}
