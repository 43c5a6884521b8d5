package cmds

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Rules of findings in documents.
const (
	ruleDocument = "document" // a document is invalid, or contradicts another one
	ruleSource   = "source"   // the file with the source is invalid
)

// checkDocuments checks a directory of documents. The references between them have to be complete within it.
func (r *checkReport) checkDocuments() error {
	current, faults, err := loadDocuments(r.Against, spec.Load)
	if err == nil && len(faults) > 0 {
		err = faults[0]
	}
	if err != nil {
		return err
	}
	next, faults, err := loadDocuments(r.File, spec.Parse)
	if err != nil {
		return err
	}
	if _, err := readSource(filepath.Join(r.File, sourceFile)); err != nil {
		r.Findings = append(r.Findings, checkFinding{Class: string(config.Invalid), Rule: ruleSource, File: filepath.Join(r.File, sourceFile), Line: 1, Text: err.Error()})
	}
	if len(faults) > 0 { // what refers to these documents would be reported too
		r.addFaults(config.Invalid, ruleDocument, faults)
		return nil
	}
	tree := (&spec.Tree{}).With(next, nil)
	r.addFaults(config.Invalid, ruleDocument, spec.Faults(errors.Join(spec.CheckUnique(next), tree.Check(nil))))
	r.addFaults(config.Unreachable, config.RuleUnused, tree.Unreachable())
	r.Changes = []configDifference{}
	for _, d := range spec.Compare((&spec.Tree{}).With(current, nil), tree) {
		c := configDifference{Change: d.Change, Part: string(d.Document.Kind()), Name: d.Document.Name(), File: d.Document.Path(), Line: 1, Fields: []fieldDifference{}}
		for _, k := range d.Keys {
			c.Fields = append(c.Fields, fieldDifference{Field: k.Key, Old: k.Old, New: k.New})
		}
		r.Changes = append(r.Changes, c)
	}
	return nil
}

func (r *checkReport) addFaults(class config.Class, rule string, faults []*spec.Fault) {
	for _, f := range faults {
		r.Findings = append(r.Findings, checkFinding{Class: string(class), Rule: rule, File: f.Path, Line: f.Line, Field: f.Key, Text: f.Text})
	}
}

// loadDocuments decodes the documents below dir with spec.Parse or spec.Load. It returns the faults of those that it
// can't decode, and an error if a file can't be read or there is no document.
func loadDocuments(dir string, decode func(path string, text []byte) (*spec.Document, error)) (docs []*spec.Document, faults []*spec.Fault, err error) {
	err = walkDocuments(dir, func(path string) error {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		d, err := decode(path, text)
		if err != nil {
			faults = append(faults, spec.Faults(err)...)
			return nil
		}
		docs = append(docs, d)
		return nil
	})
	if err == nil && len(docs)+len(faults) == 0 {
		err = fmt.Errorf("no *%s file below %s", spec.Suffix, dir)
	}
	return docs, faults, err
}

// walkDocuments calls visit for the path of each document below dir.
func walkDocuments(dir string, visit func(path string) error) error {
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, spec.Suffix) {
			return err
		}
		return visit(path)
	})
	if err != nil {
		return fmt.Errorf("collect files below %s: %w", dir, err)
	}
	return nil
}
