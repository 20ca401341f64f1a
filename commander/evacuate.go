package commander

import (
	"github.com/spf13/cobra"

	"bramleyshunt/operator"
)

func evacuateCommand() *cobra.Command {
	f := &fleetFlags{}
	opts := operator.EvacuateOptions{}
	cmd := &cobra.Command{
		Use:   "evacuate ZONE",
		Short: "Send nothing more to the targets of an availability zone, or end that",
		Long: `Orders that no new request goes to the targets of the zone. What runs there ends
undisturbed. The order is accepted once a quorum of keepers has it on disk, and in
force everywhere within seconds. It lasts until --end, also across restarts. A
repeated order does no harm. A zone in which no target is known is refused unless
--force is given.`,
		Example: "  bramleyshunt evacuate --token-file office.token riga-b\n  bramleyshunt evacuate --token-file office.token riga-b --end",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := f.operator()
			if err != nil {
				return err
			}
			out, err := o.Evacuate(cmd.Context(), args[0], opts)
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), out)
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&opts.End, "end", false, "end the evacuation")
	cmd.Flags().BoolVar(&opts.Force, "force", false, "start it although no target is known in the zone")
	return cmd
}
