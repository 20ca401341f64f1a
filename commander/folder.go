package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"bramleyshunt/operator"
)

func checkCommand() *cobra.Command {
	f := &checkFlags{}
	cmd := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check a configuration folder and print it merged",
		Long: `Merges the files of the folder in byte order of their names, checks the result
and prints it on standard output. Faults go to standard error, one a line, as
file:line:column: message, and give exit status 2. Warnings about entries that
can't take effect and limits that contradict each other go there too; they change
the exit status with --strict only. With --against, what differs from the folder
in force is printed in place of the merged folder.`,
		Example: "  bramleyshunt check examples/laufspur\n  bramleyshunt check --against in-force new",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.check(cmd.OutOrStdout(), cmd.ErrOrStderr(), args[0])
		},
	}
	f.add(cmd, "folder")
	return cmd
}

// fleetFlags holds the flags of commands that call the administration API.
type fleetFlags struct {
	admin string
	token string
	key   string
}

func (f *fleetFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&f.admin, "admin", "http://127.0.0.1:8090", "URLs of keepers' administration listeners, separated by commas")
	flags.StringVar(&f.token, "token-file", "", "file with the operator's bearer token")
	flags.StringVar(&f.key, "key-file", "", "file with the fleet key, in place of a token")
}

func (f *fleetFlags) operator() (*operator.Operator, error) {
	o := &operator.Operator{Bases: strings.Split(f.admin, ",")}
	switch {
	case f.token != "":
		token, err := os.ReadFile(f.token)
		if err != nil {
			return nil, invalid(fmt.Errorf("read token: %w", err))
		}
		o.Token = strings.TrimSpace(string(token))
	case f.key != "":
		key, err := readKey(f.key)
		if err != nil {
			return nil, err
		}
		o.Token = operator.FleetToken(key)
	default:
		return nil, invalid(errors.New("needs --token-file or --key-file"))
	}
	return o, nil
}

func applyCommand() *cobra.Command {
	f := &fleetFlags{}
	opts := operator.Options{}
	cmd := &cobra.Command{
		Use:   "apply FOLDER",
		Short: "Make a configuration folder the one in force",
		Long: `Sends the folder to the keepers. It is accepted once a quorum has it on disk,
and in force everywhere within seconds. Sending it again after a lost answer
with the same --change gives the first answer again. If another change was
accepted first, the command names it and exits with status 3.`,
		Example: "  bramleyshunt apply --admin http://10.0.0.1:8090 --token-file office.token examples/laufspur",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := f.operator()
			if err != nil {
				return err
			}
			accepted, err := o.Apply(cmd.Context(), args[0], opts)
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), accepted)
		},
	}
	f.add(cmd)
	cmd.Flags().Uint64Var(&opts.Base, "base", 0, "version the folder was made from; 0 for the one in force")
	cmd.Flags().StringVar(&opts.Change, "change", "", "id of the change, to send it again; random if empty")
	return cmd
}

func showCommand() *cobra.Command {
	f := &fleetFlags{}
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Show the configuration in force, where it is in force and who lags",
		Example: "  bramleyshunt show --token-file office.token",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := f.operator()
			if err != nil {
				return err
			}
			return o.Show(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f.add(cmd)
	return cmd
}

func statusCommand() *cobra.Command {
	f := &fleetFlags{}
	var asJSON bool
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show keepers, entries, targets, lanes, leases, queues and memory",
		Example: "  bramleyshunt status --token-file office.token\n  bramleyshunt status --token-file office.token --json",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := f.operator()
			if err != nil {
				return err
			}
			if asJSON {
				return o.StatusJSON(cmd.Context(), cmd.OutOrStdout())
			}
			return o.Status(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON by listener in place of tables")
	return cmd
}

func drainCommand() *cobra.Command {
	f := &fleetFlags{}
	cmd := &cobra.Command{
		Use:     "drain TARGET",
		Short:   "Give a target no new work and let what runs on it end",
		Example: "  bramleyshunt drain --token-file office.token engine-3",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := f.operator()
			if err != nil {
				return err
			}
			return o.Drain(cmd.Context(), args[0])
		},
	}
	f.add(cmd)
	return cmd
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
