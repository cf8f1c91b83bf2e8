package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/cassialatch/internal/format"
)

// Version is the output of the version subcommand with -json.
type Version struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"` // revision in version control
	Go       string `json:"go"`
}

// version is the version subcommand.
var version = &command.Command{
	Name:    "version",
	Summary: "Show the tool's version",
	Setup:   func(*flag.FlagSet) command.Runner { return runVersion },
}

func runVersion(_ context.Context, out *command.Output, _ []string) error {
	v := readVersion()
	if out.JSON {
		return format.JSON(out.Out, v)
	}
	_, err := fmt.Fprintf(out.Out, "%s %s %s %s\n", command.Program, v.Version, v.Revision, v.Go)
	return err
}

// readVersion returns the version that the Go toolchain embedded in the binary.
func readVersion() Version {
	v := Version{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
