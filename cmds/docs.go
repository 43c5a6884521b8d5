package cmds

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// newDocs returns the hidden command that generates the Markdown pages of
// docs/commands from the command definitions.
func newDocs() *cobra.Command {
	return &cobra.Command{
		Use:    "docs DIR",
		Short:  "Write one page for each command",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := os.MkdirAll(args[0], 0o755); err != nil {
				return fmt.Errorf("create %s: %w", args[0], err)
			}
			root := c.Root()
			root.DisableAutoGenTag = true
			if err := doc.GenMarkdownTree(root, args[0]); err != nil {
				return fmt.Errorf("write command pages: %w", err)
			}
			return nil
		},
	}
}
