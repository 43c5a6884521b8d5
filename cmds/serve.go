package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/edge"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/spec"
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
	quota.LimitHeap(s.MemoryMB())
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

// storeTableHeader occurs in settings files of the command entry and in no
// settings file of the command serve.
const storeTableHeader = "\n[store]"

// checkSettings validates a settings file of serve or entry.
func checkSettings(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if strings.Contains(string(raw), storeTableHeader) {
		_, err = edge.ReadSettings(path)
	} else {
		_, err = node.ReadSettings(path)
	}
	return err
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files and documents without starting",
		Long:  "Checks documents, settings files of serve, and settings files of entry, which have a table [store].",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, path := range args {
				if strings.HasSuffix(path, spec.Suffix) {
					if _, err := readDocument(path); err != nil {
						return usageError{err}
					}
				} else if err := checkSettings(path); err != nil {
					return usageError{err}
				}
				_, _ = fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", path)
			}
			return nil
		},
	}
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
