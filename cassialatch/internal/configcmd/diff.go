package configcmd

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/config/dynamic"
)

// DiffResult is the output of config diff with -json.
type DiffResult struct {
	Changes     []dynamic.Change `json:"changes"`
	OldInactive []string         `json:"old_inactive"`
	NewInactive []string         `json:"new_inactive"`
}

// Diff is the subcommand "config diff".
var Diff = &command.Command{
	Name:    "config diff",
	Args:    "OLD_BASE[,OLD_OVERLAY] NEW_BASE[,NEW_OVERLAY]",
	MinArgs: 2,
	MaxArgs: 2,
	Summary: "Show what changes from one configuration to another",
	Help:    "Compares the merged configurations. Differences do not make the command fail.",
	Setup:   func(*flag.FlagSet) command.Runner { return runDiff },
}

func runDiff(_ context.Context, out *command.Output, args []string) error {
	before, err := loadPair(args[0])
	if err != nil {
		return err
	}
	after, err := loadPair(args[1])
	if err != nil {
		return err
	}
	changes := dynamic.Diff(before, after)
	if out.JSON {
		return format.JSON(out.Out, DiffResult{
			Changes:     append([]dynamic.Change{}, changes...),
			OldInactive: inactiveTexts(before),
			NewInactive: inactiveTexts(after),
		})
	}
	warnInactive(out, after)
	return writeChanges(out, changes)
}

// loadPair loads and merges the documents of an argument of the form
// BASE[,OVERLAY].
func loadPair(arg string) (*dynamic.Config, error) {
	paths := strings.Split(arg, ",")
	if len(paths) > 2 {
		return nil, command.NewUsageError("%q names more than a base and an overlay", arg)
	}
	d, err := load(paths)
	if err != nil {
		return nil, err
	}
	return d.merge(), nil
}

func writeChanges(out *command.Output, changes []dynamic.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(out.Out, "no changes")
		return err
	}
	table := format.NewTable("", "CHANGE", "KEY", "OLD", "NEW")
	for _, c := range changes {
		table.AddRow(c.Kind, c.Key, c.Old, c.New)
	}
	return table.Write(out.Out)
}
