package cmds

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
)

// publishCommand holds the flags and the arguments of the command publish.
type publishCommand struct {
	apiClient
	author, source string
	base           int64
	dry, adopt     bool
	wait           time.Duration
	resolveTimeout time.Duration // how long to search for a publication whose answer was lost
	dir            string
	out            io.Writer
}

// baseFromFile is the default of --base: the version is read from baseFile.
const baseFromFile = -1

func newPublish() *cobra.Command {
	var p publishCommand
	c := &cobra.Command{
		Use:   "publish DIR",
		Short: "Collect the *" + spec.Suffix + " files below DIR, check them and publish them",
		Long: "Collect the *" + spec.Suffix + " files below DIR, check them and publish those that differ from what is in effect.\n\n" +
			"When " + sourceFile + " in DIR holds source = \"NAME\", DIR owns its documents: a document that NAME published before " +
			"and whose file is gone is removed. Documents of other directories stay. Without a source nothing is removed.\n\n" +
			"A document that changed after the version that you saw is a conflict. That version is kept in " + baseFile + " in DIR.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p.dir, p.out = args[0], c.OutOrStdout()
			return p.run(c)
		},
	}
	p.addFlags(c)
	f := c.Flags()
	f.StringVar(&p.author, "author", os.Getenv("USER"), "name for the audit trail")
	f.StringVar(&p.source, "source", "", "name under which DIR owns its documents (default from DIR/"+sourceFile+")")
	f.Int64Var(&p.base, "base", baseFromFile, "tree version that you saw (default from DIR/"+baseFile+", else 0)")
	f.BoolVar(&p.dry, "dry", false, "show the difference and the conflicts, change nothing")
	f.BoolVar(&p.adopt, "adopt", false, "take over documents that other directories own")
	f.DurationVar(&p.wait, "wait", 0, "how long to wait until every live entry process has the version in effect")
	f.Lookup("wait").NoOptDefVal = "30s"
	f.DurationVar(&p.resolveTimeout, "patience", defaultResolveTimeout, "how long to search the audit trail when the answer was lost")
	return c
}

// Files in a published directory that are not documents.
const (
	sourceFile = "bay.toml"  // written by the operator: source = "NAME"
	baseFile   = ".bay.base" // written by publish: the tree version that its last run returned
)

func (p *publishCommand) run(c *cobra.Command) error {
	body, err := p.newRequest()
	if err != nil {
		return usageError{err}
	}
	var res change.Result
	err = p.call("POST", "/publish", body, &res)
	if err != nil && fault.VerdictOf(err) != fault.NotRun && !p.dry {
		res, err = p.resolveOutcome(body.ID, err)
	}
	if err != nil {
		return err
	}
	if !p.dry {
		if err := os.WriteFile(filepath.Join(p.dir, baseFile), fmt.Appendf(nil, "%d\n", res.Version), 0o644); err != nil {
			return fmt.Errorf("accepted as version %d, but %s was not written: %w", res.Version, baseFile, err)
		}
	}
	if err := p.print(c, res, func() string { return formatResult(res) }); err != nil {
		return err
	}
	if p.wait > 0 && !p.dry {
		return p.waitInEffect(res.Version)
	}
	return nil
}

// Bounds of the search for a publication whose answer was lost. The entry
// process that received it spends up to 10 s to learn its outcome, so a shorter
// search could end before the entry is in the audit trail.
const (
	defaultResolveTimeout = 12 * time.Second
	resolveInterval       = 500 * time.Millisecond
)

// resolveOutcome searches the audit trail for a publication whose answer was
// lost. An entry determines the outcome. A missing entry does not: the
// publication may still be applied, so the error then says that the outcome is
// unknown.
func (p *publishCommand) resolveOutcome(id string, cause error) (change.Result, error) {
	for end := time.Now().Add(p.resolveTimeout); ; {
		var page change.AuditPage
		err := p.call("GET", "/audit?limit=1&id="+url.QueryEscape(id), nil, &page)
		if err == nil && len(page.Entries) > 0 {
			e := page.Entries[0]
			if e.Accepted {
				return change.Result{ID: id, Version: e.Version, Changes: e.Changes}, nil
			}
			return change.Result{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Code(e.Code), Reason: e.Reason})
		}
		if time.Now().After(end) {
			return change.Result{}, fmt.Errorf("whether publication %s is accepted is unknown; see audit --id, or publish again: %w", id, cause)
		}
		time.Sleep(resolveInterval)
	}
}

// newRequest collects the documents and builds the body of POST /publish.
func (p *publishCommand) newRequest() (admin.Publication, error) {
	files, err := collectDocuments(p.dir)
	b := admin.Publication{ID: uuid.NewString(), Author: p.author, Source: p.source, Adopt: p.adopt, Dry: p.dry, Files: files}
	if err != nil {
		return b, err
	}
	if b.Source == "" {
		if b.Source, err = readSource(filepath.Join(p.dir, sourceFile)); err != nil {
			return b, err
		}
	}
	if b.Base = uint64(p.base); p.base != baseFromFile {
		return b, nil
	}
	text, err := os.ReadFile(filepath.Join(p.dir, baseFile))
	if errors.Is(err, fs.ErrNotExist) {
		b.Base = 0
		return b, nil
	}
	if err == nil {
		b.Base, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	}
	return b, err
}

// readSource returns the source name set in the file at path, or "" when there
// is no file.
func readSource(path string) (string, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	var o struct {
		Source string `toml:"source"`
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&o); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if o.Source == "" {
		return "", fmt.Errorf("%s: source is empty, want a name", path)
	}
	return o.Source, nil
}

// formatResult returns the result of a publication as human-readable text.
func formatResult(res change.Result) string {
	var b strings.Builder
	switch {
	case res.DryRun:
		fmt.Fprintf(&b, "dry run against version %d: %s, %s\n", res.Version, formatCount(len(res.Changes), "change"), formatCount(len(res.Conflicts), "conflict"))
	case len(res.Changes) == 0:
		fmt.Fprintf(&b, "nothing to change at version %d\n", res.Version)
	default:
		fmt.Fprintf(&b, "accepted as version %d: %s\n", res.Version, formatCount(len(res.Changes), "change"))
	}
	for _, ch := range res.Changes {
		fmt.Fprintf(&b, "  %s %s\n", ch.Kind, ch.ID)
		if res.DryRun {
			for _, l := range ch.DiffLines() {
				fmt.Fprintf(&b, "    %s\n", l)
			}
		}
	}
	for _, text := range res.Conflicts {
		fmt.Fprintf(&b, "  conflict: %s\n", text)
	}
	return b.String()
}

// formatCount returns a number with a noun, in the plural unless n is 1.
func formatCount(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return fmt.Sprintf("%d %s", n, what)
}

// waitInEffect waits until every live process has the version in effect. It
// returns a lagError that names the others when p.wait has passed.
func (p *publishCommand) waitInEffect(version uint64) error {
	end := time.Now().Add(p.wait)
	var l admin.WaitResult
	for {
		left := max(0, time.Until(end).Round(time.Millisecond))
		path := fmt.Sprintf("/wait?version=%d&for=%s", version, min(left, 5*time.Second))
		if err := p.call("GET", path, nil, &l); err != nil {
			return lagError{fmt.Errorf("version %d is accepted; whether it is in effect everywhere is not known: %w", version, err)}
		}
		if len(l.Lagging) == 0 {
			_, err := fmt.Fprintf(p.out, "in effect on all live entry processes (%d)\n", l.Live)
			return err
		}
		if left == 0 {
			break
		}
	}
	names := make([]string, len(l.Lagging))
	for i, v := range l.Lagging {
		names[i] = fmt.Sprintf("%s (version %d)", v.Name, v.Version)
	}
	return lagError{fmt.Errorf("version %d is accepted; after %s it is not in effect on %d of %d entry processes: %s", version, p.wait, len(names), l.Live, strings.Join(names, ", "))}
}

// collectDocuments reads and validates every document below dir. The error
// joins those of all invalid documents.
func collectDocuments(dir string) ([]change.File, error) {
	var files []change.File
	var invalid []error
	err := walkDocuments(dir, func(path string) error {
		f, err := readDocument(path)
		if err != nil {
			invalid = append(invalid, err)
			return nil
		}
		if rel, err := filepath.Rel(dir, path); err == nil {
			f.Path = filepath.ToSlash(rel)
		}
		files = append(files, f)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return files, errors.Join(invalid...)
}

// readDocument reads and validates one document.
func readDocument(path string) (change.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return change.File{}, fmt.Errorf("read document: %w", err)
	}
	if _, err := spec.Parse(path, text); err != nil {
		return change.File{}, err
	}
	return change.File{Path: path, Text: string(text)}, nil
}
