// Package settingscmd implements the subcommand that checks the settings file of a
// daemon.
package settingscmd

import (
	"context"
	"flag"
	"fmt"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/config/setting"
)

// CheckResult is the output of settings check with -json for a valid file.
type CheckResult struct {
	OK     bool   `json:"ok"`
	ID     string `json:"id"`
	Site   string `json:"site"`
	Zone   string `json:"zone"`
	TLSOff bool   `json:"tls_off"`
}

// Check is the subcommand "settings check".
var Check = &command.Command{
	Name:    "settings check",
	Args:    "FILE",
	MinArgs: 1,
	MaxArgs: 1,
	Summary: "Check a daemon's settings file",
	Help:    "Reports every problem with file, line and key. Does not open the TLS files.",
	Setup:   func(*flag.FlagSet) command.Runner { return run },
}

func run(_ context.Context, out *command.Output, args []string) error {
	s, err := setting.Load(args[0])
	if err != nil {
		return err
	}
	result := CheckResult{OK: true, ID: s.ID, Site: s.Site, Zone: s.Zone, TLSOff: s.TLS.Mode == setting.TLSOff}
	if out.JSON {
		return format.JSON(out.Out, result)
	}
	if result.TLSOff {
		fmt.Fprintln(out.Err, "warning: tls.mode is off")
	}
	_, err = fmt.Fprintf(out.Out, "ok: daemon %s, site %s, availability zone %s\n", s.ID, s.Site, s.Zone)
	return err
}
