// Package daemoncmd implements the subcommands that call a running daemon.
package daemoncmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/daemonclient"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/wire/operatorapi"
)

// setup defines the connection flags and returns a runner that makes one call
// and writes the response.
func setup[T any](
	flags *flag.FlagSet,
	call func(context.Context, *daemonclient.Client) (*T, error),
	write func(io.Writer, *T) error,
) command.Runner {
	options := &daemonclient.Options{}
	options.Bind(flags)
	return func(ctx context.Context, out *command.Output, _ []string) error {
		client, err := daemonclient.New(*options)
		if err != nil {
			return err
		}
		response, err := call(ctx, client)
		if err != nil {
			return err
		}
		if out.JSON {
			return format.JSON(out.Out, response)
		}
		return write(out.Out, response)
	}
}

// Status is the subcommand "status".
var Status = &command.Command{
	Name:    "status",
	Summary: "Show the status of a daemon and its view of the fleet",
	Setup: func(flags *flag.FlagSet) command.Runner {
		call := func(ctx context.Context, c *daemonclient.Client) (*operatorapi.Status, error) {
			return c.Status(ctx)
		}
		return setup(flags, call, writeStatus)
	},
}

// Show is the subcommand "config show".
var Show = &command.Command{
	Name:    "config show",
	Summary: "Show the configuration in force on a daemon",
	Setup: func(flags *flag.FlagSet) command.Runner {
		call := func(ctx context.Context, c *daemonclient.Client) (*operatorapi.ConfigInForce, error) {
			return c.Config(ctx)
		}
		return setup(flags, call, writeConfig)
	},
}

func writeConfig(w io.Writer, c *operatorapi.ConfigInForce) error {
	_, err := io.WriteString(w, c.TOML)
	return err
}

// Drain is the subcommand "drain".
var Drain = &command.Command{
	Name:    "drain",
	Summary: "Stop a daemon gracefully",
	Help: `The daemon accepts no new requests and exits when the requests in flight have
completed. The command returns at once; use watch to follow the progress.`,
	Setup: func(flags *flag.FlagSet) command.Runner {
		call := func(ctx context.Context, c *daemonclient.Client) (*operatorapi.DrainResponse, error) {
			return c.Drain(ctx)
		}
		return setup(flags, call, writeDrain)
	},
}

func writeDrain(w io.Writer, d *operatorapi.DrainResponse) error {
	_, err := fmt.Fprintf(w, "draining: %d requests in flight\n", d.InFlight)
	return err
}
