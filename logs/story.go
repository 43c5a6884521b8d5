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
)

// timeFormat is that of the time of a line: milliseconds, since a request takes
// tens of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// around is how far from a request's lines other lines of its process are shown.
const around = 2 * time.Second

// line is one log line, decoded.
type line struct {
	at     time.Time
	node   string
	part   string
	text   string
	id     string
	fields map[string]any
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// read decodes lines. Text before the first brace, as a collector adds it, is
// passed over, and so is a line without a time.
func read(r io.Reader) ([]line, error) {
	var out []line
	scan := bufio.NewScanner(r)
	scan.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scan.Scan() {
		raw := scan.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 {
			continue
		}
		var f map[string]any
		if err := json.Unmarshal(raw[at:], &f); err != nil {
			continue // not a line of ours
		}
		x := line{fields: f}
		x.node, x.part, x.text, x.id = word(f, "node"), word(f, "part"), word(f, "message"), word(f, "id")
		when, err := time.Parse(time.RFC3339, word(f, "time"))
		if err != nil {
			continue
		}
		x.at = when
		out = append(out, x)
	}
	return out, scan.Err()
}

// gather returns the lines of all readers in the order of their times.
func gather(from []io.Reader) ([]line, error) {
	var all []line
	for _, r := range from {
		lines, err := read(r)
		if err != nil {
			return nil, fmt.Errorf("read logs: %w", err)
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	return all, nil
}

// word takes a field out of a line.
func word(f map[string]any, name string) string {
	s, _ := f[name].(string)
	delete(f, name)
	return s
}

// Explain writes, in the order of their times, the lines of all readers about the
// request with an identifier, and between them those lines of the same processes
// that tell what changed at that time. It returns the number of lines about the
// request.
func Explain(w io.Writer, id string, from ...io.Reader) (int, error) {
	all, err := gather(from)
	if err != nil {
		return 0, err
	}
	var first, last time.Time
	nodes := map[string]bool{}
	found := 0
	for _, x := range all {
		if x.id != id {
			continue
		}
		found++
		if first.IsZero() {
			first = x.at
		}
		last = x.at
		nodes[x.node] = true
	}
	if found == 0 {
		return 0, nil
	}
	if len(nodes) > 1 {
		_, _ = fmt.Fprintf(w, "lines of %d processes; their clocks may differ, so that the order between them is not certain\n", len(nodes))
	}
	for _, x := range all {
		switch {
		case x.id == id:
			_, _ = fmt.Fprintf(w, "%+9.3f s  %s  %-6s  %s%s\n", x.at.Sub(first).Seconds(), x.node, x.part, x.text, details(x.fields))
		case x.id == "" && nodes[x.node] && x.at.After(first.Add(-around)) && x.at.Before(last.Add(around)):
			_, _ = fmt.Fprintf(w, "%+9.3f s  %s  (%s)  %s%s\n", x.at.Sub(first).Seconds(), x.node, x.part, x.text, details(x.fields))
		}
	}
	return found, nil
}

// details writes the fields of a line in a fixed order.
func details(f map[string]any) string {
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
