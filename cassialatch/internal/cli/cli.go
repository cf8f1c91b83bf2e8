// Package cli lists the tool's verbs.
package cli

import (
	"context"
	"io"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/configcmd"
	"cassialatch.dev/cassialatch/internal/daemoncmd"
	"cassialatch.dev/cassialatch/internal/settingscmd"
)

// commands are the tool's verbs.
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

// Run carries out a command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) command.ExitCode {
	return commands.Run(ctx, args, stdout, stderr)
}
