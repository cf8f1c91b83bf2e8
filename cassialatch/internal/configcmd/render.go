package configcmd

import (
	"context"
	"flag"
	"fmt"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/wire/operatorapi"
)

// Render is the subcommand "config render".
var Render = &command.Command{
	Name:    "config render",
	Args:    "BASE [OVERLAY]",
	MinArgs: 1,
	MaxArgs: 2,
	Summary: "Show the configuration merged from a base document and an overlay",
	Help: `Writes TOML with all default values. Overlay entries without effect are listed as
warnings and do not make the command fail, unlike with config check.`,
	Setup: func(*flag.FlagSet) command.Runner { return runRender },
}

func runRender(_ context.Context, out *command.Output, args []string) error {
	d, err := load(args)
	if err != nil {
		return err
	}
	c := d.merge()
	if out.JSON {
		return format.JSON(out.Out, operatorapi.ConfigInForce{
			TOML:     string(dynamic.Render(c)),
			Inactive: inactiveTexts(c),
		})
	}
	warnInactive(out, c)
	_, err = out.Out.Write(dynamic.Render(c))
	return err
}

// inactiveTexts returns the overlay entries without effect, with the reasons.
func inactiveTexts(c *dynamic.Config) []string {
	texts := make([]string, len(c.Inactive))
	for i, entry := range c.Inactive {
		texts[i] = entry.Key + ": " + entry.Reason
	}
	return texts
}

func warnInactive(out *command.Output, c *dynamic.Config) {
	for _, text := range inactiveTexts(c) {
		fmt.Fprintf(out.Err, "warning: inactive %s\n", text)
	}
}
