package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// SpreadMessage is the message of the lines in which hubs report how evenly the servers of a
// service are loaded: the busiest over the mean, in windows of a second.
const SpreadMessage = "load spread"

// spreadStats sums up the lines about the load of one service.
type spreadStats struct {
	windows int
	sum     float64 // of the windows' busiest over mean
	worst   float64
	busiest string // in the worst window
	highest float64
	idlest  string
	lowest  float64
}

// addSpread adds a line to that of its service. A line without a service or windows is ignored.
func addSpread(all map[string]*spreadStats, fields map[string]any) {
	number := func(name string) float64 {
		x, _ := fields[name].(float64)
		return x
	}
	service, windows := takeString(fields, "service"), int(number("windows"))
	if service == "" || windows <= 0 {
		return
	}
	s := all[service]
	if s == nil {
		s = &spreadStats{}
		all[service] = s
	}
	s.windows += windows
	s.sum += number("spread") * float64(windows)
	if worst := number("worst"); worst > s.worst {
		s.worst, s.highest, s.lowest = worst, number("highest"), number("lowest")
		s.busiest, s.idlest = takeString(fields, "busiest"), takeString(fields, "idlest")
	}
}

// writeSpreads writes a line for each service; nothing if there is none.
func writeSpreads(w io.Writer, all map[string]*spreadStats) {
	if len(all) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%8s  %7s  load spread: busiest over mean in windows of a second, and the share of the room in use in the worst one\n", "mean", "worst")
	for _, service := range slices.Sorted(maps.Keys(all)) {
		s := all[service]
		_, _ = fmt.Fprintf(w, "%8.2f  %7.2f  %s: busiest %s (%.2f), idlest %s (%.2f)\n", s.sum/float64(s.windows), s.worst, service, s.busiest, s.highest, s.idlest, s.lowest)
	}
}
