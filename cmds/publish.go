package cmds

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/spec"
)

func newPublish() *cobra.Command {
	var a api
	var author string
	c := &cobra.Command{
		Use:   "publish DIR",
		Short: "Collect the *" + spec.Suffix + " files below DIR, check them and publish them",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			files, err := collect(args[0])
			if err != nil {
				return usageError{err}
			}
			var res change.Result
			if err := a.call("POST", "/publish", admin.Publication{Author: author, Files: files}, &res); err != nil {
				return err
			}
			return a.print(c, res, func() string {
				if len(res.Changed) == 0 {
					return fmt.Sprintf("nothing to change at version %d\n", res.Version)
				}
				return fmt.Sprintf("accepted as version %d: %s\n", res.Version, strings.Join(res.Changed, ", "))
			})
		},
	}
	a.flags(c)
	c.Flags().StringVar(&author, "author", os.Getenv("USER"), "name for the audit trail")
	return c
}

// collect reads and checks every document below dir.
func collect(dir string) ([]change.File, error) {
	var files []change.File
	var faults []error
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() || !strings.HasSuffix(path, spec.Suffix) {
			return nil
		}
		f, err := readFile(path)
		if err != nil {
			faults = append(faults, err)
			return nil
		}
		if rel, err := filepath.Rel(dir, path); err == nil {
			f.Path = filepath.ToSlash(rel)
		}
		files = append(files, f)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("collect files below %s: %w", dir, err)
	}
	return files, errors.Join(faults...)
}

// readFile reads and checks one document.
func readFile(path string) (change.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return change.File{}, fmt.Errorf("read document: %w", err)
	}
	if _, err := spec.Parse(path, text); err != nil {
		return change.File{}, err
	}
	return change.File{Path: path, Text: string(text)}, nil
}
