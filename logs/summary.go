package logs

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// endMessage is the message of the last line of each logged request.
	endMessage = "request ended"
	// barWidth is the width of the longest bar of the plot, in characters.
	barWidth = 40
)

// outcomeCounts holds the numbers of requests of one time window by outcome.
type outcomeCounts struct {
	served, refused, failed, callerLeft int
}

// notServed returns the number of requests that were not served.
func (t outcomeCounts) notServed() int { return t.refused + t.failed + t.callerLeft }

// add counts the line about the end of a request. A served one stands for
// SampleEvery requests.
func (t *outcomeCounts) add(outcome, verdict string) {
	switch {
	case outcome == "served":
		t.served += SampleEvery
	case outcome == "left":
		t.callerLeft++
	case verdict == "not-run":
		t.refused++
	default:
		t.failed++
	}
}

// cause is the key by which ended requests are grouped.
type cause struct{ outcome, kind, err string }

// messageStats counts the lines of one component with the same message that
// belong to no request.
type messageStats struct {
	part, message string
	count         int
	nodes         map[string]bool
	first, last   time.Time
}

// Summary writes an overview of the lines of all readers: the requests by
// outcome and cause, a plot of the requests that were not served in each time
// window, the streams that were refused because engines were full, how evenly
// the servers were loaded, and the lines that belong to no request by message.
// Refused requests did not run; failed ones may have. It returns the number of
// lines about the end of a request.
func Summary(w io.Writer, window time.Duration, readers ...io.Reader) (int, error) {
	all, err := readSorted(readers)
	if err != nil || len(all) == 0 {
		return 0, err
	}
	begin := all[0].time
	causes, others, spreads := map[cause]int{}, map[string]*messageStats{}, map[string]*spreadStats{}
	refusals := map[refusalKey]*refusalStats{}
	windows := make([]outcomeCounts, int(all[len(all)-1].time.Sub(begin)/window)+1)
	requests := 0
	for _, l := range all {
		switch {
		case l.message == endMessage:
			requests++
			outcome := takeString(l.fields, "outcome")
			windows[int(l.time.Sub(begin)/window)].add(outcome, takeString(l.fields, "verdict"))
			weight := 1
			if outcome == "served" {
				weight = SampleEvery
			}
			causes[cause{outcome, takeString(l.fields, "kind"), trimDetails(takeString(l.fields, "error"))}] += weight
		case l.message == SpreadMessage:
			addSpread(spreads, l.fields)
		case l.message == RefusalMessage:
			addRefusal(refusals, l.fields)
		case l.id == "":
			c := others[l.part+l.message]
			if c == nil {
				c = &messageStats{part: l.part, message: l.message, nodes: map[string]bool{}, first: l.time}
				others[l.part+l.message] = c
			}
			c.count++
			c.nodes[l.node] = true
			c.last = l.time
		}
	}
	writeCauses(w, causes)
	writeWindows(w, windows, window)
	writeRefusals(w, refusals)
	writeSpreads(w, spreads)
	writeOthers(w, others, begin)
	return requests, nil
}

// trimDetails cuts an error message after its verdict. The rest contains
// addresses, by which equal causes would be counted separately.
func trimDetails(text string) string {
	if at := strings.IndexByte(text, ')'); at >= 0 {
		return text[:at+1]
	}
	return text
}

func writeCauses(w io.Writer, causes map[cause]int) {
	_, _ = fmt.Fprintf(w, "requests (served ones are logged one in %d, and counted so)\n", SampleEvery)
	keys := make([]cause, 0, len(causes))
	for c := range causes {
		keys = append(keys, c)
	}
	slices.SortFunc(keys, func(a, b cause) int {
		return cmp.Or(causes[b]-causes[a], strings.Compare(a.outcome+a.kind+a.err, b.outcome+b.kind+b.err))
	})
	for _, c := range keys {
		_, _ = fmt.Fprintf(w, "%8d  %-12s  %-10s  %s\n", causes[c], c.outcome, c.kind, c.err)
	}
}

func writeWindows(w io.Writer, windows []outcomeCounts, window time.Duration) {
	maxNotServed := 1
	for _, t := range windows {
		maxNotServed = max(maxNotServed, t.notServed())
	}
	_, _ = fmt.Fprintf(w, "\n%8s  %7s  %7s  %6s  %6s  not served: r refused, f failed, l the caller left\n", "from", "served", "refused", "failed", "left")
	for i, t := range windows {
		if t == (outcomeCounts{}) {
			continue
		}
		bar := func(c string, n int) string { return strings.Repeat(c, n*barWidth/maxNotServed) }
		text := fmt.Sprintf("%8s  %7d  %7d  %6d  %6d  %s%s%s", time.Duration(i)*window, t.served, t.refused, t.failed, t.callerLeft,
			bar("r", t.refused), bar("f", t.failed), bar("l", t.callerLeft))
		_, _ = fmt.Fprintln(w, strings.TrimRight(text, " "))
	}
}

func writeOthers(w io.Writer, others map[string]*messageStats, begin time.Time) {
	_, _ = fmt.Fprintf(w, "\n%8s  %9s  %9s  %9s  other lines\n", "lines", "processes", "first", "last")
	keys := make([]string, 0, len(others))
	for k := range others {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(others[a].first.Compare(others[b].first), strings.Compare(a, b))
	})
	for _, k := range keys {
		c := others[k]
		_, _ = fmt.Fprintf(w, "%8d  %9d  %8.1fs  %8.1fs  (%s) %s\n", c.count, len(c.nodes), c.first.Sub(begin).Seconds(), c.last.Sub(begin).Seconds(), c.part, c.message)
	}
}
