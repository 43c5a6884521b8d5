package cmds

import (
	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/bench"
)

func newBench() *cobra.Command {
	var seed uint64
	var dir string
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure admission and scheduling on a virtual clock",
		Long: `Measures the queues and limits of entry processes over models of engines, on a
virtual clock, for both users of the design page. It prints one table with the
baselines, the first version of the policy, the current one, and the targets of
section 1.2 of the design page. The same seed gives the same figures.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all := bench.Run(bench.Config{Seed: seed})
			if dir != "" {
				if err := bench.Plot(dir, all); err != nil {
					return err
				}
			}
			return bench.Print(c.OutOrStdout(), all)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random numbers")
	c.Flags().StringVar(&dir, "plots", "", "directory for SVG plots, none when empty")
	return c
}
