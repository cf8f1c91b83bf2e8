// Package cli assembles the subcommands of the command line tool.
package cli

import (
	"context"
	"io"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/configcmd"
	"cassialatch.dev/cassialatch/internal/daemoncmd"
	"cassialatch.dev/cassialatch/internal/settingscmd"
)

// commands holds the subcommands in the order of the help text.
var commands = command.Set{
	configcmd.Check,
	configcmd.Render,
	configcmd.Diff,
	daemoncmd.Show,
	settingscmd.Check,
	daemoncmd.Status,
	daemoncmd.Watch,
	daemoncmd.Explain,
	daemoncmd.Drain,
	version,
}

// Run executes a command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) command.ExitCode {
	return commands.Run(ctx, args, stdout, stderr)
}
