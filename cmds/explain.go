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
			var from []io.Reader
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return usageError{err}
				}
				defer func() { _ = f.Close() }()
				from = append(from, f)
			}
			if len(from) == 0 {
				from = append(from, c.InOrStdin())
			}
			n, err := logs.Story(c.OutOrStdout(), args[0], from...)
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
