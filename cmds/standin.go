package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// newStandin returns the command whose subcommands run in-memory replacements
// for the systems that an entry process talks to.
func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use: "standin", Short: "Run a stand-in for a system around an entry process", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_ = c.Help()
			return usageError{errors.New("standin needs a subcommand: engine, platform or service")}
		},
	}
	c.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService())
	return c
}

func newStandinPlatform() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use: "platform", Short: "Run the table service, object store and VM list in memory", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilSignal(c, address, fakes.NewPlatform().Handler())
		},
	}
	c.Flags().StringVar(&address, "listen", "127.0.0.1:9000", "IP:port to listen on")
	return c
}

func newStandinEngine() *cobra.Command {
	var address string
	var cfg fakes.EngineConfig
	var memoryMB, layerMB int
	c := &cobra.Command{
		Use: "engine", Short: "Run an engine that holds a range of layers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, orders, h := fakes.NewManagedEngine(cfg, fakes.PartManagerConfig{Memory: memoryMB, Fenced: true, FirstPartSize: (cfg.Last - cfg.First) * layerMB})
			defer orders.Close()
			return serveUntilSignal(c, address, h)
		},
	}
	f := c.Flags()
	f.IntVar(&memoryMB, "memory", 80000, "memory for weights, MB")
	f.IntVar(&layerMB, "size", 400, "weights of one layer, MB")
	f.StringVar(&address, "listen", "127.0.0.1:9100", "IP:port to listen on")
	f.StringVar(&cfg.Kind, "kind", "a", "accelerator kind")
	f.StringVar(&cfg.Model, "model", "", "model to hold")
	f.StringVar(&cfg.Version, "version", "1", "model version")
	f.IntVar(&cfg.First, "first", 0, "first layer")
	f.IntVar(&cfg.Last, "last", 1, "layer after the last one")
	f.IntVar(&cfg.Slots, "slots", 8, "requests that run at once")
	f.DurationVar(&cfg.Pace, "pace", time.Millisecond, "time for one token")
	return c
}

func newStandinService() *cobra.Command {
	var address string
	c := &cobra.Command{
		Use: "service", Short: "Run a plain service with orders and lookups", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveUntilSignal(c, address, fakes.NewService().Handler())
		},
	}
	c.Flags().StringVar(&address, "listen", "127.0.0.1:9200", "IP:port to listen on")
	return c
}

// serveUntilSignal serves h until the process gets SIGINT or SIGTERM. It prints
// the address, since the port may be chosen by the system.
func serveUntilSignal(c *cobra.Command, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	_, _ = fmt.Fprintf(c.OutOrStdout(), "listening on %s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
