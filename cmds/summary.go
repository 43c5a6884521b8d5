package cmds

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/logs"
)

// defaultWindow is the length of a window of the summary's plot.
const defaultWindow = 2 * time.Second

func newSummary() *cobra.Command {
	window := defaultWindow
	c := &cobra.Command{
		Use:   "summary [FILE...]",
		Short: "Print what the logs say of all requests together",
		Long: "Reads log lines of one or several entry processes, from files or from standard input, and prints the requests by\n" +
			"outcome and cause, a plot of those that were not served over time, and what else the processes logged.",
		RunE: func(c *cobra.Command, args []string) error {
			if window <= 0 {
				return usageError{errors.New("--window must be positive")}
			}
			from, done, err := inputs(c, args)
			if err != nil {
				return err
			}
			defer done()
			n, err := logs.Summary(c.OutOrStdout(), window, from...)
			if err != nil {
				return err
			}
			if n == 0 {
				return errors.New("no line about the end of a request")
			}
			return nil
		},
	}
	c.Flags().DurationVar(&window, "window", window, "length of a window of the plot")
	return c
}
