// Package cmds holds the commands of the cranberrybay program.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed for another reason
	exitUsage   = 2 // arguments, settings or files are wrong
	exitRefused = 3 // refused, nothing was applied
	exitUnknown = 4 // it is not known whether the change was applied
	exitLag     = 5 // accepted, but not in effect on every live process in time
)

// Run runs the program with the given arguments and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	started := false
	noteStart(root, &started)
	err := root.Execute()
	if err != nil && !started {
		err = usageError{err} // unknown command, wrong number of arguments, missing flag
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "cranberrybay: %v\n", err)
	}
	return exitCode(err)
}

// noteStart sets started when any command begins to run. cobra returns plain
// errors for wrong arguments, which else would look like failures of a command.
func noteStart(c *cobra.Command, started *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			*started = true
			return run(c, args)
		}
	}
	for _, sub := range c.Commands() {
		noteStart(sub, started)
	}
}

// usageError marks wrong arguments, settings or files.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// lagError reports that an accepted version is not in effect everywhere yet.
type lagError struct{ err error }

func (e lagError) Error() string { return e.err.Error() }
func (e lagError) Unwrap() error { return e.err }

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var le lagError
	if errors.As(err, &le) {
		return exitLag
	}
	var ue usageError
	if errors.As(err, &ue) {
		return exitUsage
	}
	var fe *fault.Error
	if errors.As(err, &fe) {
		if fe.Verdict() == fault.NotRun {
			return exitRefused
		}
		return exitUnknown
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cranberrybay",
		Short:         "Router for model pipelines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newServe(), newEntry(), newExplain(), newSummary(), newCheck(), newPublish(), newStatus(), newAudit(), newDrain(), newVersion(), newStandin(), newDemo(), newBench(), newDocs())
	return root
}
