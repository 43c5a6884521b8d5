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
	// ended is the message of the line that each logged request has at its end.
	ended = "request ended"
	// barWidth is the length in characters of the longest bar of the plot.
	barWidth = 40
)

// tally counts what the logs say of requests in a time.
type tally struct {
	served, refused, failed, left int
}

// bad returns the requests that were not served.
func (t tally) bad() int { return t.refused + t.failed + t.left }

// count adds the end of a request. Of served requests one in SampleEvery has a line.
func (t *tally) count(outcome, verdict string) {
	switch {
	case outcome == "served":
		t.served += SampleEvery
	case outcome == "left":
		t.left++
	case verdict == "not-run":
		t.refused++
	default:
		t.failed++
	}
}

// cause is why requests ended as they did.
type cause struct{ outcome, kind, text string }

// change is what happened at processes apart from requests.
type change struct {
	part, text  string
	count       int
	nodes       map[string]bool
	first, last time.Time
}

// Summary writes what the lines of all readers say together: requests by outcome and
// cause, a plot of the requests that were not served over windows of time, and the
// other lines by their message. Requests that were refused did not run; failed ones may
// have. It returns the number of lines about ends of requests.
func Summary(w io.Writer, window time.Duration, from ...io.Reader) (int, error) {
	all, err := gather(from)
	if err != nil || len(all) == 0 {
		return 0, err
	}
	begin := all[0].at
	causes, changes := map[cause]int{}, map[string]*change{}
	windows := make([]tally, int(all[len(all)-1].at.Sub(begin)/window)+1)
	ends := 0
	for _, x := range all {
		switch {
		case x.text == ended:
			ends++
			outcome := word(x.fields, "outcome")
			windows[int(x.at.Sub(begin)/window)].count(outcome, word(x.fields, "verdict"))
			weight := 1
			if outcome == "served" {
				weight = SampleEvery
			}
			causes[cause{outcome, word(x.fields, "kind"), brief(word(x.fields, "error"))}] += weight
		case x.id == "":
			c := changes[x.part+x.text]
			if c == nil {
				c = &change{part: x.part, text: x.text, nodes: map[string]bool{}, first: x.at}
				changes[x.part+x.text] = c
			}
			c.count++
			c.nodes[x.node] = true
			c.last = x.at
		}
	}
	writeCauses(w, causes)
	writeWindows(w, windows, window)
	writeChanges(w, changes, begin)
	return ends, nil
}

// brief cuts an error after its verdict: what follows names addresses.
func brief(text string) string {
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
		return cmp.Or(causes[b]-causes[a], strings.Compare(a.outcome+a.kind+a.text, b.outcome+b.kind+b.text))
	})
	for _, c := range keys {
		_, _ = fmt.Fprintf(w, "%8d  %-12s  %-10s  %s\n", causes[c], c.outcome, c.kind, c.text)
	}
}

func writeWindows(w io.Writer, windows []tally, window time.Duration) {
	most := 1
	for _, t := range windows {
		most = max(most, t.bad())
	}
	_, _ = fmt.Fprintf(w, "\n%8s  %7s  %7s  %6s  %6s  not served: r refused, f failed, l the caller left\n", "from", "served", "refused", "failed", "left")
	for i, t := range windows {
		if t == (tally{}) {
			continue
		}
		bar := func(c string, n int) string { return strings.Repeat(c, n*barWidth/most) }
		text := fmt.Sprintf("%8s  %7d  %7d  %6d  %6d  %s%s%s", time.Duration(i)*window, t.served, t.refused, t.failed, t.left,
			bar("r", t.refused), bar("f", t.failed), bar("l", t.left))
		_, _ = fmt.Fprintln(w, strings.TrimRight(text, " "))
	}
}

func writeChanges(w io.Writer, changes map[string]*change, begin time.Time) {
	_, _ = fmt.Fprintf(w, "\n%8s  %9s  %9s  %9s  other lines\n", "lines", "processes", "first", "last")
	keys := make([]string, 0, len(changes))
	for k := range changes {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(changes[a].first.Compare(changes[b].first), strings.Compare(a, b))
	})
	for _, k := range keys {
		c := changes[k]
		_, _ = fmt.Fprintf(w, "%8d  %9d  %8.1fs  %8.1fs  (%s) %s\n", c.count, len(c.nodes), c.first.Sub(begin).Seconds(), c.last.Sub(begin).Seconds(), c.part, c.text)
	}
}
