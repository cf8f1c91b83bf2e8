// Package daemoncmd holds the verbs that ask a running daemon.
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

// setup binds the options of the connection and returns a runner that makes
// one call and writes its answer.
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
		answer, err := call(ctx, client)
		if err != nil {
			return err
		}
		if out.JSON {
			return format.JSON(out.Out, answer)
		}
		return write(out.Out, answer)
	}
}

// Status is the verb "status".
var Status = &command.Command{
	Name:    "status",
	Summary: "Show what a daemon knows of the fleet",
	Setup: func(flags *flag.FlagSet) command.Runner {
		call := func(ctx context.Context, c *daemonclient.Client) (*operatorapi.Status, error) {
			return c.Status(ctx)
		}
		return setup(flags, call, writeStatus)
	},
}

// Show is the verb "config show".
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

// Drain is the verb "drain".
var Drain = &command.Command{
	Name:    "drain",
	Summary: "Tell a daemon to stop gracefully",
	Help: `The daemon takes no new requests and ends when those in flight are done. The
command returns at once; follow with watch.`,
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
