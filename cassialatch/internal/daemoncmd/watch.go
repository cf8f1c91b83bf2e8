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

const defaultWatchInterval = time.Second

// Watch is the verb "watch".
var Watch = &command.Command{
	Name:    "watch",
	Summary: "Show a daemon's status each second until interrupted",
	Help: `With -json each status is one line. Ends with success when interrupted. The first
call must succeed; later failures are shown and the next call follows.`,
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

func writeWatched(out *command.Output, s *operatorapi.Status) error {
	if out.JSON {
		return format.JSONLine(out.Out, s)
	}
	fmt.Fprintf(out.Out, "--- %s\n", time.Now().Format(time.TimeOnly))
	return writeStatus(out.Out, s)
}
