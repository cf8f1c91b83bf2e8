package configcmd

import (
	"context"
	"flag"
	"fmt"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/config/dynamic"
)

// CheckResult is the output of config check with -json for valid documents.
type CheckResult struct {
	OK         bool `json:"ok"`
	Models     int  `json:"models"`
	Services   int  `json:"services"`
	Workspaces int  `json:"workspaces"`
}

// Check is the subcommand "config check".
var Check = &command.Command{
	Name:    "config check",
	Args:    "BASE [OVERLAY]",
	MinArgs: 1,
	MaxArgs: 2,
	Summary: "Check a base document, and an overlay against it",
	Help: `Reports every problem with file, line and key. An overlay entry that would be
inactive with this base is a problem too.`,
	Setup: func(*flag.FlagSet) command.Runner { return runCheck },
}

func runCheck(_ context.Context, out *command.Output, args []string) error {
	d, err := load(args)
	if err != nil {
		return err
	}
	if err := dynamic.Check(d.base, d.overlay); err != nil {
		return err
	}
	c := d.merge()
	result := CheckResult{OK: true, Models: len(c.Models), Services: len(c.Services), Workspaces: len(c.Workspaces)}
	if out.JSON {
		return format.JSON(out.Out, result)
	}
	_, err = fmt.Fprintf(out.Out, "ok: %d models, %d services, %d workspaces\n", result.Models, result.Services, result.Workspaces)
	return err
}
