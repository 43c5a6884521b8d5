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
		Short: "Print the log lines of one request in order of time",
		Long: "Reads log lines of one or several entry processes, from files or from standard input, and prints those of the\n" +
			"request with the given id in order of time, together with the other lines of the same processes around that time.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			readers, closeAll, err := openInputs(c, args[1:])
			if err != nil {
				return err
			}
			defer closeAll()
			n, err := logs.Explain(c.OutOrStdout(), args[0], readers...)
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

// openInputs opens log files, or returns standard input when names is empty.
// The caller calls closeAll when it has read them.
func openInputs(c *cobra.Command, names []string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, usageError{err}
		}
		files, readers = append(files, f), append(readers, f)
	}
	if len(readers) == 0 {
		readers = append(readers, c.InOrStdin())
	}
	return readers, closeAll, nil
}
