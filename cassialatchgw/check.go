package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"cassialatch.dev/gateway/configcheck"
	"cassialatch.dev/platform"
)

// Exit codes of -check.
const (
	exitNoErrors = 0
	exitErrors   = 1
	exitUsage    = 2
)

// stdinName stands for standard input in place of a file.
const stdinName = "-"

// maxMemoryMB and maxDaemons exclude numbers that can only be mistakes.
const (
	maxMemoryMB = 1 << 30
	maxDaemons  = 1 << 20
)

// checkFlags are the flags that make the program check a configuration document
// instead of running a daemon.
type checkFlags struct {
	file     string
	inForce  string
	memoryMB int
	daemons  int
}

func (f *checkFlags) register(set *flag.FlagSet) {
	set.StringVar(&f.file, "check", "", "check the configuration document in this `file` (- for standard input) and exit")
	set.StringVar(&f.inForce, "in-force", "", "with -check: `file` with the document in force, to compare with")
	set.IntVar(&f.memoryMB, "memory-mb", 0, "with -check: memory of a daemon in MiB")
	set.IntVar(&f.daemons, "daemons", 0, "with -check: number of daemons")
}

var (
	errNoCheck   = errors.New("-in-force, -memory-mb and -daemons need -check")
	errTwoStdin  = errors.New("only one document can be read from standard input")
	errArguments = errors.New("-check takes no arguments besides flags")
	errRange     = errors.New("-memory-mb or -daemons is out of range")
)

// validate returns an error if the flags contradict each other.
func (f *checkFlags) validate(args int) error {
	switch {
	case f.file == "" && (f.inForce != "" || f.memoryMB != 0 || f.daemons != 0):
		return errNoCheck
	case f.file == stdinName && f.inForce == stdinName:
		return errTwoStdin
	case f.file != "" && args > 0:
		return errArguments
	case f.memoryMB < 0 || f.memoryMB > maxMemoryMB || f.daemons < 0 || f.daemons > maxDaemons:
		return errRange
	}
	return nil
}

// check writes the findings, one a line, and returns the exit code.
func (f *checkFlags) check(stdin io.Reader, stdout, stderr io.Writer) int {
	findings, err := f.findings(stdin)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	code := exitNoErrors
	out := bufio.NewWriter(stdout)
	for _, finding := range findings {
		fmt.Fprintln(out, finding)
		if finding.Severity == configcheck.Error {
			code = exitErrors
		}
	}
	if err := out.Flush(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	return code
}

func (f *checkFlags) findings(stdin io.Reader) ([]platform.ConfigFinding, error) {
	raw, err := readDocument(f.file, stdin)
	if err != nil {
		return nil, err
	}
	o := platform.CheckOptions{MemoryBytes: int64(f.memoryMB) << 20, Daemons: f.daemons}
	if f.inForce != "" {
		if o.InForce, err = readDocument(f.inForce, stdin); err != nil {
			return nil, err
		}
	}
	found, err := platform.CheckConfig(raw, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.inForce, err)
	}
	return found, nil
}

func readDocument(name string, stdin io.Reader) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}
