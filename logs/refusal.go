package logs

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// RefusalMessage is the message of the line about a stream that was refused because the engines of its service have
// no capacity for it.
const RefusalMessage = "stream refused, engines are full"

// refusalKey is the key by which refused streams are grouped.
type refusalKey struct {
	service, bound string
	rank           int
}

// valueRange is the lowest and the highest of several values.
type valueRange struct{ lowest, highest float64 }

// refusalStats sums up the streams that were refused for the same reason.
type refusalStats struct {
	count              int
	load, limit, retry valueRange // retry is in milliseconds
}

// addRefusal adds a line to those with its service, bound and rank. A line without a service or bound is ignored.
func addRefusal(all map[refusalKey]*refusalStats, fields map[string]any) {
	number := func(name string) float64 {
		x, _ := fields[name].(float64)
		return x
	}
	load, limit, retry := number("load"), number("limit"), number("retry")
	k := refusalKey{service: takeString(fields, "service"), bound: takeString(fields, "bound"), rank: int(number("rank"))}
	if k.service == "" || k.bound == "" {
		return
	}
	s := all[k]
	if s == nil {
		s = &refusalStats{load: valueRange{load, load}, limit: valueRange{limit, limit}, retry: valueRange{retry, retry}}
		all[k] = s
	}
	s.count++
	s.load.add(load)
	s.limit.add(limit)
	s.retry.add(retry)
}

// add widens the range so that it holds a value.
func (r *valueRange) add(x float64) { r.lowest, r.highest = min(r.lowest, x), max(r.highest, x) }

// writeRefusals writes a line for each service, bound and rank; nothing if no stream was refused.
func writeRefusals(w io.Writer, all map[refusalKey]*refusalStats) {
	if len(all) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%8s  %4s  streams refused because engines were full, by service and bound; rank 0 is the most urgent\n", "streams", "rank")
	keys := slices.SortedFunc(maps.Keys(all), func(a, b refusalKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.bound, b.bound), cmp.Compare(a.rank, b.rank))
	})
	for _, k := range keys {
		s := all[k]
		_, _ = fmt.Fprintf(w, "%8d  %4d  %s, %s: load %.2f to %.2f, limit %.2f to %.2f, told to return after %.1f to %.1f s\n", s.count, k.rank, k.service, k.bound,
			s.load.lowest, s.load.highest, s.limit.lowest, s.limit.highest, s.retry.lowest/1000, s.retry.highest/1000)
	}
}
