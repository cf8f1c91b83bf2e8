// Command cassialatchd is the daemon that runs on each entry VM. One process
// accepts requests of callers, routes them, is the home of some of the backend
// servers and takes part in the protocol between daemons.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/node"
)

// version is the version of the program. Release builds set it with the linker.
var version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the daemon failed while it ran
	exitBadInput = 2 // invalid usage or settings, or the daemon could not start
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the program with the given arguments and output streams and returns
// the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cassialatchd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("config", "", "settings `file` (TOML)")
	showVersion := flags.Bool("version", false, "print the version and exit")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitBadInput
	}
	if *showVersion {
		fmt.Fprintln(stdout, "cassialatchd", version)
		return exitOK
	}
	if *file == "" {
		fmt.Fprintln(stderr, "cassialatchd: -config is required")
		return exitBadInput
	}
	settings, err := setting.Load(*file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadInput
	}
	return serve(settings, stdout)
}

// serve runs the daemon until it receives SIGTERM or an interrupt, and returns the
// exit code.
func serve(settings *setting.Settings, stdout io.Writer) int {
	signal.Ignore(syscall.SIGPIPE) // a write to standard output whose reader is gone would end the process
	log := newLogger(settings.Log, stdout)
	n, err := node.New(node.Options{Settings: settings, Version: version, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("daemon cannot start")
		return exitBadInput
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon failed")
		return exitFailed
	}
	return exitOK
}

// newLogger returns the logger of the process. An unknown level means info.
func newLogger(settings setting.Log, w io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
