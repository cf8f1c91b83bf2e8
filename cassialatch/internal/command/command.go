// Package command defines the subcommands of a command line tool, runs the one
// that the command line names and maps its error to an exit code.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Runner executes a subcommand with its positional arguments.
type Runner func(ctx context.Context, out *Output, args []string) error

// Command is one subcommand of the tool.
type Command struct {
	Name    string // one or more words, such as "config check"
	Args    string // positional arguments as shown in help
	MinArgs int
	MaxArgs int
	Summary string // one line without a full stop
	Help    string // details; shown below the summary
	// Setup defines the flags of the subcommand and returns its Runner.
	Setup func(flags *flag.FlagSet) Runner
}

// Output holds the writers and the output format of a subcommand.
type Output struct {
	Out  io.Writer
	Err  io.Writer
	JSON bool // write results and errors as JSON to Out
}

// flagSet returns the flags and the runner of the command. Parsing the flags sets
// out.JSON.
func (c *Command) flagSet(out *Output) (*flag.FlagSet, Runner) {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	flags.BoolVar(&out.JSON, "json", false, "write JSON for scripts")
	return flags, c.Setup(flags)
}

// writeHelp writes the help text of the command.
func (c *Command) writeHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s %s [flags]\n\n%s.\n", Program, strings.TrimSpace(c.Name+" "+c.Args), c.Summary)
	if c.Help != "" {
		fmt.Fprintf(w, "\n%s\n", c.Help)
	}
	fmt.Fprintf(w, "\nFlags:\n")
	flags, _ := c.flagSet(&Output{})
	flags.SetOutput(w)
	flags.PrintDefaults()
}

// parse parses the flags and returns the positional arguments. Flags may stand
// before, between and after positional arguments; "--" ends the flags.
func (c *Command) parse(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		err := flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		if err != nil {
			return nil, NewUsageError("%s: %v", c.Name, err)
		}
		left := flags.Args()
		used := len(args) - len(left)
		if used > 0 && args[used-1] == "--" {
			positional = append(positional, left...)
			break
		}
		if len(left) == 0 {
			break
		}
		positional = append(positional, left[0])
		args = left[1:]
	}
	if n := len(positional); n < c.MinArgs || n > c.MaxArgs {
		return nil, NewUsageError("%s takes %s, got %d arguments", c.Name, c.argsUsage(), n)
	}
	return positional, nil
}

// argsUsage describes the positional arguments for a usage error.
func (c *Command) argsUsage() string {
	if c.MaxArgs == 0 {
		return "no arguments"
	}
	return c.Args
}
