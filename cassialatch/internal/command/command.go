// Package command defines what a verb of the tool is and runs the one that the
// command line names.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// Runner carries out a verb with its positional arguments.
type Runner func(ctx context.Context, out *Output, args []string) error

// Command is one verb of the tool.
type Command struct {
	Name    string // words of the verb, such as "config check"
	Args    string // positional arguments as shown in help
	MinArgs int
	MaxArgs int
	Summary string // one line
	Help    string // further lines
	// Setup binds the verb's flags and returns what runs it.
	Setup func(flags *flag.FlagSet) Runner
}

// Output is where a verb writes.
type Output struct {
	Out  io.Writer
	Err  io.Writer
	JSON bool // for scripts
}

// flagSet returns the command's flags and runner.
func (c *Command) flagSet(out *Output) (*flag.FlagSet, Runner) {
	flags := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Usage = func() {}
	flags.BoolVar(&out.JSON, "json", false, "write JSON for scripts")
	return flags, c.Setup(flags)
}

// writeHelp describes the command and its flags.
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

// parse returns the positional arguments; flags may stand among them.
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

func (c *Command) argsUsage() string {
	if c.MaxArgs == 0 {
		return "no arguments"
	}
	return c.Args
}
