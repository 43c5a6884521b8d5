package cmds

import (
	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/bench"
)

func newBench() *cobra.Command {
	var seed uint64
	var dir string
	var allPolicies, slopes bool
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measure admission and scheduling on a virtual clock",
		Long: `Measures the queues and limits of entry processes over models of engines, on a
virtual clock, for the two reference deployments. It prints one table with the
baselines, the previous version of the policy, the current one, and the targets
of section 1.2 of the design page. The same seed gives the same figures.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if slopes {
				bench.PrintScaling(c.OutOrStdout(), bench.MeasureScaling(10, 1000, 10000))
				return nil
			}
			figures := bench.Run(bench.Config{Seed: seed, AllVersions: allPolicies})
			if dir != "" {
				if err := bench.Plot(dir, figures); err != nil {
					return err
				}
			}
			return bench.Print(c.OutOrStdout(), figures)
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random number generator")
	c.Flags().StringVar(&dir, "plots", "", "directory for SVG plots, none when empty")
	c.Flags().BoolVar(&allPolicies, "all", false, "measure every version of the policy, not only the last two")
	c.Flags().BoolVar(&slopes, "slopes", false, "measure memory and processor time for the capacity page instead")
	return c
}
