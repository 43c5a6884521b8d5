package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/edge"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/quota"
)

func newEntry() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "entry [--config FILE]",
		Short: "Run an entry process on an external platform",
		Long: "Run an entry process on an external platform, which provides the metadata store and the backend servers.\n" +
			"Without --config the settings file is the one that the environment variable " + platform.SettingsPathEnv + " names.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// Settings are read at start only, so a SIGHUP after a change of the settings
			// file must not terminate the process, also while it reads them.
			signal.Ignore(syscall.SIGHUP)
			if path == "" {
				path = os.Getenv(platform.SettingsPathEnv)
			}
			s, err := edge.ReadSettings(path)
			if err != nil {
				return usageError{err}
			}
			return runEntry(c, s)
		},
	}
	c.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	return c
}

func runEntry(c *cobra.Command, s edge.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	quota.LimitHeap(s.Limits.Memory, s.SocketBytes())
	app := edge.New(s, c.OutOrStdout())
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start entry process: %w", err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}
