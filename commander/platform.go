package commander

import (
	"os"

	"github.com/spf13/cobra"

	"bramleyshunt/platform"
	"bramleyshunt/switcher"
)

func platformCommand() *cobra.Command {
	var without []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run on the users' platform, in the roles that its settings file names",
		Long: `Runs one process of the fleet with the platform's settings file and interfaces
in place of the product's own; see docs/PLATFORM.md.

Parts of the policy that --without switches off:
` + switcher.Help(),
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			disabled, err := switcher.Parse(without)
			if err != nil {
				return invalid(err)
			}
			return platform.Run(cmd.Context(), cmd.OutOrStdout(), disabled)
		},
	}
	cmd.Flags().StringSliceVar(&without, "without", nil, "parts of the policy to switch off, to measure what they are worth")
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file or a configuration of the users' platform",
		Long: `Faults go to standard error, one a line, as file:line:column: message, and give
exit status 2.`,
		Args: exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return invalid(err)
			}
			if faults := platform.Check(args[0], data); len(faults) > 0 {
				return invalid(faults)
			}
			return nil
		},
	})
	return cmd
}
