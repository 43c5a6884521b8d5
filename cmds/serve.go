package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/quota"
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an entry process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// Settings are read at start only and the configuration is published, so
			// that a SIGHUP has nothing to reload. It must not end the process.
			signal.Ignore(syscall.SIGHUP)
			s, err := node.ReadSettings(path)
			if err != nil {
				return usageError{err}
			}
			return serve(c.Context(), c, s)
		},
	}
	c.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	_ = c.MarkFlagRequired("config")
	return c
}

// serve runs an entry process until a signal or an operator's drain stops it.
func serve(ctx context.Context, c *cobra.Command, s node.Settings) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	quota.LimitHeap(s.MemoryMB(), s.SocketBytes())
	app := node.New(s, c.ErrOrStderr())
	if err := app.Start(ctx); err != nil {
		return fmt.Errorf("start entry process: %w", err)
	}
	select {
	case <-ctx.Done():
	case <-app.Wait(): // drained by an operator
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return app.Stop(stopCtx)
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of the program",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v := "devel"
			if b, ok := debug.ReadBuildInfo(); ok && b.Main.Version != "" {
				v = b.Main.Version
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "cranberrybay %s\n", v)
			return err
		},
	}
}
