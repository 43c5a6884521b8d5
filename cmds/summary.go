package cmds

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/logs"
)

// defaultWindow is the default length of one time window of the plot.
const defaultWindow = 2 * time.Second

func newSummary() *cobra.Command {
	window := defaultWindow
	c := &cobra.Command{
		Use:   "summary [FILE...]",
		Short: "Summarize the requests in the logs",
		Long: "Reads log lines of one or several entry processes, from files or from standard input, and prints the requests by\n" +
			"outcome and cause, a plot over time of those that were not served, how evenly engines were loaded, and the other log lines by message.",
		RunE: func(c *cobra.Command, args []string) error {
			if window <= 0 {
				return usageError{fmt.Errorf("--window is %s, must be positive", window)}
			}
			readers, closeAll, err := openInputs(c, args)
			if err != nil {
				return err
			}
			defer closeAll()
			n, err := logs.Summary(c.OutOrStdout(), window, readers...)
			if err != nil {
				return err
			}
			if n == 0 {
				return errors.New("no line about the end of a request in the logs")
			}
			return nil
		},
	}
	c.Flags().DurationVar(&window, "window", window, "length of one time window of the plot")
	return c
}
