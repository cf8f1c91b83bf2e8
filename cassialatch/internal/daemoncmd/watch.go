package daemoncmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/daemonclient"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/wire/operatorapi"
)

// defaultWatchInterval is the default time between two calls.
const defaultWatchInterval = time.Second

// Watch is the subcommand "watch".
var Watch = &command.Command{
	Name:    "watch",
	Summary: "Show the status of a daemon repeatedly until interrupted",
	Help: `With -json, each status is one line. The command fails if the first call fails;
later failures are reported and the calls go on. The exit code is 0 after an
interrupt.`,
	Setup: setupWatch,
}

func setupWatch(flags *flag.FlagSet) command.Runner {
	options := &daemonclient.Options{}
	options.Bind(flags)
	interval := flags.Duration("interval", defaultWatchInterval, "`time` between two calls")
	return func(ctx context.Context, out *command.Output, _ []string) error {
		if *interval <= 0 {
			return command.NewUsageError("-interval must be positive, got %s", *interval)
		}
		client, err := daemonclient.New(*options)
		if err != nil {
			return err
		}
		return watch(ctx, out, client, *interval)
	}
}

// watch writes the status at each interval until ctx ends. Only a failure of the
// first call or of writing ends it with an error.
func watch(ctx context.Context, out *command.Output, client *daemonclient.Client, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for first := true; ; first = false {
		status, err := client.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && first:
			return err
		case err != nil:
			fmt.Fprintln(out.Err, err)
		default:
			if err := writeWatched(out, status); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// writeWatched writes one status as a line of JSON, or as tables below the time.
func writeWatched(out *command.Output, s *operatorapi.Status) error {
	if out.JSON {
		return format.JSONLine(out.Out, s)
	}
	fmt.Fprintf(out.Out, "--- %s\n", time.Now().Format(time.TimeOnly))
	return writeStatus(out.Out, s)
}
