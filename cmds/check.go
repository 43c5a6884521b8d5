package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/edge"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/spec"
)

// storeTableHeader occurs in settings files of the command entry and in no
// settings file of the command serve.
const storeTableHeader = "\n[store]"

// checkSettings validates a settings file of serve or entry.
func checkSettings(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if strings.Contains(string(raw), storeTableHeader) {
		_, err = edge.ReadSettings(path)
	} else {
		_, err = node.ReadSettings(path)
	}
	return err
}

func newCheck() *cobra.Command {
	var against string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files, documents and configurations before they take effect",
		Long: "Checks documents, settings files of serve, and settings files of entry, which have a table [store].\n\n" +
			"With --against, FILE and CURRENT are a new configuration and the one in force: two routing configurations (JSON), or\n" +
			"two directories of documents. Prints errors, entries that can never match, values that contradict each other, one on\n" +
			"a line, and the differences. API keys are printed as short hashes.\n\n" +
			"Exit codes with --against: 0 nothing found, also if there are differences; 1 findings; 2 wrong arguments, or files\n" +
			"that can't be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("against") {
				if asJSON {
					return usageError{errors.New("--json needs --against")}
				}
				return checkFiles(c.OutOrStdout(), args)
			}
			if len(args) != 1 {
				return usageError{fmt.Errorf("--against takes one FILE, not %d", len(args))}
			}
			return checkAgainst(c.OutOrStdout(), against, args[0], asJSON)
		},
	}
	c.Flags().StringVar(&against, "against", "", "the `CURRENT` configuration, which is in force")
	c.Flags().BoolVar(&asJSON, "json", false, "with --against, print JSON")
	return c
}

// checkFiles checks settings files and single documents.
func checkFiles(out io.Writer, paths []string) error {
	for _, path := range paths {
		if strings.HasSuffix(path, spec.Suffix) {
			if _, err := readDocument(path); err != nil {
				return usageError{err}
			}
		} else if err := checkSettings(path); err != nil {
			return usageError{err}
		}
		_, _ = fmt.Fprintf(out, "%s: ok\n", path)
	}
	return nil
}

// checkReport is the result of a check of a new configuration. Scripts rely on the names of the members.
type checkReport struct {
	File     string             `json:"file"`
	Against  string             `json:"against"`
	Findings []checkFinding     `json:"findings"`
	Changes  []configDifference `json:"changes"` // null if the new configuration can't be decoded
}

// checkFinding is a fault of a configuration.
type checkFinding struct {
	Class string `json:"class"` // "error", "unreachable" or "contradiction"
	Rule  string `json:"rule"`
	File  string `json:"file"`
	Line  int    `json:"line"`
	Field string `json:"field"` // empty if the fault belongs to no single field
	Text  string `json:"text"`
}

// configDifference is a part of a configuration that differs from the one in force.
type configDifference struct {
	Change string            `json:"change"` // "added", "removed" or "changed"
	Part   string            `json:"part"`
	Name   string            `json:"name"`
	File   string            `json:"file"` // the new one, or the one in force for a removed part
	Line   int               `json:"line"`
	Fields []fieldDifference `json:"fields"`
}

// fieldDifference is a field that differs; null stands for an absent value.
type fieldDifference struct {
	Field string `json:"field"`
	Old   any    `json:"old"`
	New   any    `json:"new"`
}

// checkAgainst prints what is wrong with the configuration at path and how it differs from the one in force.
// It returns an error if there are findings.
func checkAgainst(out io.Writer, current, path string, asJSON bool) error {
	r := &checkReport{File: path, Against: current, Findings: []checkFinding{}}
	if err := r.fill(); err != nil {
		return usageError{err}
	}
	print := r.printText
	if asJSON {
		print = r.printJSON
	}
	if err := print(out); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	if n := len(r.Findings); n > 0 {
		return fmt.Errorf("%s in %s", formatCount(n, "finding"), path)
	}
	return nil
}

// fill checks the two configurations. The error tells that one can't be read, or that they are of different kinds.
func (r *checkReport) fill() error {
	current, currentIsDir, err := readConfiguration(r.Against)
	if err != nil {
		return err
	}
	next, nextIsDir, err := readConfiguration(r.File)
	if err != nil {
		return err
	}
	if currentIsDir != nextIsDir {
		return fmt.Errorf("%s and %s are not configurations of the same kind", r.Against, r.File)
	}
	if nextIsDir {
		return r.checkDocuments()
	}
	return r.checkRouting(next, current)
}

// readConfiguration returns the text of a routing configuration, or tells that path is a directory of documents.
func readConfiguration(path string) (raw []byte, isDir bool, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, false, fmt.Errorf("read configuration: %w", err)
	}
	if info.IsDir() {
		return nil, true, nil
	}
	if raw, err = os.ReadFile(path); err != nil {
		return nil, false, fmt.Errorf("read configuration: %w", err)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
		return nil, false, fmt.Errorf("%s is neither a routing configuration (a JSON object) nor a directory of documents", path)
	}
	return raw, false, nil
}

// checkRouting checks a routing configuration of the platform.
func (r *checkReport) checkRouting(next, current []byte) error {
	findings, differences, err := platform.CheckConfig(next, current)
	if err != nil {
		return fmt.Errorf("%s: %w", r.Against, err)
	}
	for _, f := range findings {
		r.Findings = append(r.Findings, checkFinding{Class: f.Class, Rule: f.Rule, File: r.File, Line: f.Line, Field: f.Field, Text: f.Text})
	}
	if differences != nil {
		r.Changes = []configDifference{}
	}
	for _, d := range differences {
		c := configDifference{Change: d.Change, Part: d.Part, Name: d.Name, File: r.File, Line: d.Line, Fields: []fieldDifference{}}
		if d.Change == config.Removed {
			c.File = r.Against
		}
		for _, f := range d.Fields {
			c.Fields = append(c.Fields, fieldDifference(f))
		}
		r.Changes = append(r.Changes, c)
	}
	return nil
}

// printText prints one finding a line and then the differences, with one line for each field.
func (r *checkReport) printText(out io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s:%d: %s: ", f.File, f.Line, f.Class)
		if f.Field != "" {
			fmt.Fprintf(&b, "%s: ", escape(f.Field))
		}
		fmt.Fprintf(&b, "%s (%s)\n", f.Text, f.Rule)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&b, "%s: ok\n", r.File)
	}
	if r.Changes != nil {
		fmt.Fprintf(&b, "%s from %s\n", formatCount(len(r.Changes), "difference"), r.Against)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "%s %s", c.Change, c.Part)
		if c.Name != "" {
			fmt.Fprintf(&b, " %q", c.Name)
		}
		fmt.Fprintf(&b, " at %s:%d\n", c.File, c.Line)
		for _, f := range c.Fields {
			b.WriteString("  ")
			if f.Field != "" {
				fmt.Fprintf(&b, "%s: ", escape(f.Field))
			}
			switch c.Change {
			case config.Added:
				fmt.Fprintf(&b, "%s\n", formatValue(f.New))
			case config.Removed:
				fmt.Fprintf(&b, "%s\n", formatValue(f.Old))
			default:
				fmt.Fprintf(&b, "%s -> %s\n", formatValue(f.Old), formatValue(f.New))
			}
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// escape returns a name on one line.
func escape(name string) string {
	if strconv.CanBackquote(name) {
		return name
	}
	return strconv.Quote(name)
}

// formatValue returns a value as it is written in JSON, and "none" for an absent one.
func formatValue(v any) string {
	if v == nil {
		return "none"
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return fmt.Sprint(v) // numbers that JSON lacks
	}
	return strings.TrimSpace(b.String())
}

func (r *checkReport) printJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(r)
}
