package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/label"
)

// timeFormat is the format of the timestamps. It has milliseconds, since a
// request takes tens of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// contextWindow is the time before the first and after the last line of a
// request in which other lines of the same processes are shown.
const contextWindow = 2 * time.Second

// logLine is one decoded log line. The named fields are not in fields.
type logLine struct {
	time    time.Time
	node    string
	part    string
	message string
	id      string
	fields  map[string]any
}

// maxLineBytes bounds the length of one log line; a longer one is an error.
const maxLineBytes = 1 << 20

// readLines decodes the JSON log lines of r. It ignores the text before the
// first brace, as a log collector adds it, and skips lines that are not JSON or
// have no time.
func readLines(r io.Reader) ([]logLine, error) {
	var out []logLine
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scan.Scan() {
		raw := scan.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var f map[string]any
		if err := json.Unmarshal(raw[start:], &f); err != nil {
			continue // not a line of this program
		}
		l := logLine{fields: f}
		l.node, l.part, l.message, l.id = takeString(f, "node"), takeString(f, "part"), takeString(f, "message"), takeString(f, "id")
		timestamp, err := time.Parse(time.RFC3339, takeString(f, "time"))
		if err != nil {
			continue
		}
		l.time = timestamp
		out = append(out, l)
	}
	return out, scan.Err()
}

// readSorted returns the lines of all readers sorted by time.
func readSorted(readers []io.Reader) ([]logLine, error) {
	var all []logLine
	for _, r := range readers {
		lines, err := readLines(r)
		if err != nil {
			return nil, fmt.Errorf("read logs: %w", err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.time.Compare(b.time) })
	return all, nil
}

// takeString removes a field and returns its value, or "" when it is no string.
func takeString(f map[string]any, name string) string {
	s, _ := f[name].(string)
	delete(f, name)
	return s
}

// Explain writes the log lines of one request, from all readers and sorted by
// time, together with those lines of the same processes around that time that
// belong to no request. It returns the number of lines of the request.
func Explain(w io.Writer, requestID string, readers ...io.Reader) (int, error) {
	all, err := readSorted(readers)
	if err != nil {
		return 0, err
	}
	requestID = label.Short(requestID)
	var first, last time.Time
	nodes := map[string]bool{}
	found := 0
	for _, l := range all {
		if l.id != requestID {
			continue
		}
		found++
		if first.IsZero() {
			first = l.time
		}
		last = l.time
		nodes[l.node] = true
	}
	if found == 0 {
		return 0, nil
	}
	if len(nodes) > 1 {
		_, _ = fmt.Fprintf(w, "lines of %d processes; their clocks may differ, so that the order between them is not certain\n", len(nodes))
	}
	for _, l := range all {
		switch {
		case l.id == requestID:
			_, _ = fmt.Fprintf(w, "%+9.3f s  %s  %-6s  %s%s\n", l.time.Sub(first).Seconds(), l.node, l.part, l.message, formatFields(l.fields))
		case l.id == "" && nodes[l.node] && l.time.After(first.Add(-contextWindow)) && l.time.Before(last.Add(contextWindow)):
			_, _ = fmt.Fprintf(w, "%+9.3f s  %s  (%s)  %s%s\n", l.time.Sub(first).Seconds(), l.node, l.part, l.message, formatFields(l.fields))
		}
	}
	return found, nil
}

// formatFields formats the fields of a line sorted by name, without the level.
func formatFields(f map[string]any) string {
	delete(f, "level")
	var b strings.Builder
	for _, name := range slices.SortedFunc(maps.Keys(f), cmp.Compare[string]) {
		switch v := f[name].(type) {
		case float64:
			fmt.Fprintf(&b, " %s=%.6g", name, v)
		case string:
			fmt.Fprintf(&b, " %s=%q", name, v)
		default:
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
