// Package cmds implements the command line of the cranberrybay program: the
// entry processes, the commands for operators, which call the administration
// API, the log readers, the demo and the stand-ins for tests.
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
	exitFailed  = 1 // any failure without a code of its own
	exitUsage   = 2 // arguments, settings or files are wrong
	exitRefused = 3 // the request was refused and nothing was applied
	exitUnknown = 4 // the change may or may not have been applied
	exitLag     = 5 // accepted, but not in effect on every live process before the timeout
)

// Run executes the program with the given arguments and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	started := false
	trackStart(root, &started)
	err := root.Execute()
	if err != nil && !started {
		err = usageError{err} // unknown command, wrong number of arguments, missing flag
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "cranberrybay: %v\n", err)
	}
	return exitCode(err)
}

// trackStart wraps every command below c to set started when it begins to run.
// cobra returns plain errors for wrong arguments; an error before any command
// has started is therefore a usage error.
func trackStart(c *cobra.Command, started *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			*started = true
			return run(c, args)
		}
	}
	for _, sub := range c.Commands() {
		trackStart(sub, started)
	}
}

// usageError marks invalid arguments, settings or files. The exit code is
// exitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }

// lagError reports that a version was accepted but is not known to be in
// effect on every live process. The exit code is exitLag.
type lagError struct{ err error }

func (e lagError) Error() string { return e.err.Error() }
func (e lagError) Unwrap() error { return e.err }

// exitCode maps an error to an exit code. The verdict of a fault.Error tells a
// refusal from an unknown outcome.
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
