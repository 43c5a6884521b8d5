package cmds

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/logs"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Print what the logs say of one request, in order",
		Long: "Reads log lines of one or several entry processes, from files or from standard input, and prints those about\n" +
			"the request with the given id in the order of their times, with what else changed at their processes then.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			from, done, err := inputs(c, args[1:])
			if err != nil {
				return err
			}
			defer done()
			n, err := logs.Explain(c.OutOrStdout(), args[0], from...)
			if err != nil {
				return err
			}
			if n == 0 {
				return fmt.Errorf("no line about request %q: served requests are logged one in %d", args[0], logs.SampleEvery)
			}
			return nil
		},
	}
}

// inputs opens log files; without names it returns the standard input. Done closes them.
func inputs(c *cobra.Command, names []string) (from []io.Reader, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			done()
			return nil, nil, usageError{err}
		}
		files, from = append(files, f), append(from, f)
	}
	if len(from) == 0 {
		from = append(from, c.InOrStdin())
	}
	return from, done, nil
}
