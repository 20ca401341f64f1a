package commander

import (
	"github.com/spf13/cobra"

	"bramleyshunt/platform"
)

func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run on the users' platform, in the roles that its settings file names",
		Long: `Runs one process of the fleet with the platform's settings file and interfaces
in place of the product's own; see docs/PLATFORM.md.`,
		Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return platform.Run(cmd.Context(), cmd.OutOrStdout())
		},
	}
}
