package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/config/problem"
)

// Program is the name of the tool.
const Program = "cassialatch"

// Set holds the subcommands of the tool in the order of the help text.
type Set []*Command

// Failure is the output of a failed subcommand with -json.
type Failure struct {
	Error    string         `json:"error"`
	ExitCode ExitCode       `json:"exit_code"`
	Problems problem.Errors `json:"problems,omitempty"`
}

// Run executes a command line and returns the exit code.
func (s Set) Run(ctx context.Context, args []string, stdout, stderr io.Writer) ExitCode {
	if len(args) == 0 {
		s.writeHelp(stderr)
		return ExitBadInput
	}
	if isHelp(args[0]) {
		return s.help(args[1:], stdout, stderr)
	}
	c, rest := s.find(args)
	out := &Output{Out: stdout, Err: stderr}
	if c == nil {
		out.JSON = jsonRequested(args)
		return out.reportError(s.unknownCommand(args))
	}
	return c.run(ctx, out, rest)
}

// isHelp reports whether an argument asks for help.
func isHelp(word string) bool {
	return word == "help" || word == "-h" || word == "-help" || word == "--help"
}

// run parses the arguments, executes the command and returns the exit code.
func (c *Command) run(ctx context.Context, out *Output, args []string) ExitCode {
	flags, runner := c.flagSet(out)
	positional, err := c.parse(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp(out.Out)
		return ExitOK
	}
	if err != nil {
		out.JSON = jsonRequested(args)
		return out.reportError(err)
	}
	return out.reportError(runner(ctx, out, positional))
}

// jsonRequested reports whether a command line that cannot be parsed contains the
// flag -json.
func jsonRequested(args []string) bool {
	return slices.Contains(args, "-json") || slices.Contains(args, "--json")
}

// reportError writes err, unless it is nil, and returns its exit code.
func (o *Output) reportError(err error) ExitCode {
	code := exitCodeOf(err)
	if err == nil {
		return code
	}
	var problems problem.Errors
	errors.As(err, &problems)
	if o.JSON {
		failure := Failure{Error: err.Error(), ExitCode: code, Problems: problems}
		if err := format.JSON(o.Out, failure); err != nil {
			fmt.Fprintln(o.Err, err)
		}
		return code
	}
	if problems != nil {
		fmt.Fprintln(o.Err, problems)
		return code
	}
	fmt.Fprintf(o.Err, "%s: %v\n", Program, err)
	return code
}

// find returns the command with the longest name that is a prefix of the
// arguments, and the arguments after the name.
func (s Set) find(args []string) (*Command, []string) {
	var found *Command
	words := 0
	for _, c := range s {
		name := strings.Fields(c.Name)
		if len(name) > words && startsWith(args, name) {
			found, words = c, len(name)
		}
	}
	return found, args[words:]
}

// startsWith reports whether words is a prefix of args.
func startsWith(args, words []string) bool {
	if len(args) < len(words) {
		return false
	}
	for i, w := range words {
		if args[i] != w {
			return false
		}
	}
	return true
}

// unknownCommand returns the error for arguments that name no command.
func (s Set) unknownCommand(args []string) *UsageError {
	return NewUsageError("unknown command %q; see %s help", strings.Join(args, " "), Program)
}

// help writes the help text of the tool, or of the command in args.
func (s Set) help(args []string, stdout, stderr io.Writer) ExitCode {
	if len(args) == 0 {
		s.writeHelp(stdout)
		return ExitOK
	}
	c, rest := s.find(args)
	if c == nil || len(rest) > 0 {
		out := &Output{Out: stdout, Err: stderr, JSON: jsonRequested(args)}
		return out.reportError(s.unknownCommand(args))
	}
	c.writeHelp(stdout)
	return ExitOK
}

// writeHelp writes the help text of the tool.
func (s Set) writeHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s COMMAND [flags]\n\nCommands:\n", Program)
	table := tabwriter.NewWriter(w, 0, 0, format.ColumnGap, ' ', 0)
	for _, c := range s {
		fmt.Fprintf(table, "  %s\t%s\n", strings.TrimSpace(c.Name+" "+c.Args), c.Summary)
	}
	fmt.Fprintf(table, "  help [COMMAND]\tShow help for a command\n")
	table.Flush()
	fmt.Fprintf(w, "\nExit codes:\n")
	fmt.Fprintf(w, "  %d  success\n", ExitOK)
	fmt.Fprintf(w, "  %d  a call failed or the daemon refused it\n", ExitFailed)
	fmt.Fprintf(w, "  %d  wrong usage or a bad file\n", ExitBadInput)
	fmt.Fprintf(w, "  %d  daemon unreachable\n", ExitUnreachable)
}
