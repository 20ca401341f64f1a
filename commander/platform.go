package commander

import (
	"os"

	"github.com/spf13/cobra"

	"bramleyshunt/platform"
	"bramleyshunt/switcher"
)

func platformCommand(hup <-chan os.Signal) *cobra.Command {
	var without []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run on the users' platform, in the roles that its settings file names",
		Long: `Runs one process of the fleet with the platform's settings file and interfaces
in place of the product's own; see docs/PLATFORM.md.

Parts of the policy that --without switches off:
` + switcher.Help(),
		Args:        exactArgs(0),
		Annotations: servesRequests,
		RunE: func(cmd *cobra.Command, _ []string) error {
			disabled, err := switcher.Parse(without)
			if err != nil {
				return invalid(err)
			}
			return platform.Run(cmd.Context(), hup, cmd.OutOrStdout(), disabled)
		},
	}
	cmd.Flags().StringSliceVar(&without, "without", nil, "parts of the policy to switch off, to measure what they are worth")
	cmd.AddCommand(platformCheckCommand())
	return cmd
}

func platformCheckCommand() *cobra.Command {
	f := &checkFlags{}
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file or a configuration of the users' platform",
		Long: `Faults go to standard error, one a line, as file:line:column: message, and give
exit status 2. Warnings about entries that can't take effect and limits that
contradict each other go there too; they change the exit status with --strict only.
With --against, what differs from the configuration in force is printed.`,
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.checkPlatform(cmd.OutOrStdout(), cmd.ErrOrStderr(), args[0])
		},
	}
	f.add(cmd, "file")
	return cmd
}
