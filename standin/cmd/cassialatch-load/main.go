// Command cassialatch-load puts the load of a scenario on cassialatch as its
// callers would, verifies every answer and prints a summary. It exits with 1
// when an answer was lost, truncated or another's, or when a call ran twice,
// and with 2 when it cannot run.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/standin/internal/serve"
	"cassialatch.dev/standin/scenario"
	"github.com/rs/zerolog"
)

const (
	exitLost           = 1
	exitCannotRun      = 2
	idBase             = 36
	jsonFileMode       = 0o644
	defaultWaitTimeout = 20 * time.Second
)

func main() {
	entries := flag.String("entry", "", "entry addresses, host:port, separated by commas")
	file := flag.String("scenario", "", "scenario file")
	jsonFile := flag.String("json", "", "write the summary as JSON to this file")
	run := flag.String("run", strconv.FormatInt(time.Now().UnixNano(), idBase), "part of each id; differs between runs")
	operators := flag.String("wait-ready", "", "operator addresses, host:port, of daemons that must be ready first")
	waitTimeout := flag.Duration("wait-timeout", defaultWaitTimeout, "longest wait for -wait-ready")
	verbose := flag.Bool("v", false, "log each failed request")
	flag.Parse()
	log := serve.Logger("load")
	s, err := scenario.Load(*file)
	if err != nil || *entries == "" {
		log.Error().Err(err).Msg("need -entry and a valid -scenario")
		os.Exit(exitCannotRun)
	}
	options := scenario.Options{EntryAddresses: strings.Split(*entries, ","), RunID: *run, OnProgress: printProgress}
	if *verbose {
		options.OnFailure = func(err error) { log.Warn().Err(err).Msg("request failed") }
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if err := waitReady(ctx, *operators, *waitTimeout); err != nil {
		log.Error().Err(err).Msg("cannot start")
		os.Exit(exitCannotRun)
	}
	summary := scenario.Run(ctx, s, options)
	stop()
	os.Exit(report(summary, *jsonFile, log))
}

func waitReady(ctx context.Context, operators string, timeout time.Duration) error {
	if operators == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h := caller.NewHTTPClient()
	defer h.CloseIdleConnections()
	return caller.WaitReady(ctx, h, strings.Split(operators, ","))
}

func printProgress(s scenario.Summary) { fmt.Fprintln(os.Stderr, s.Progress()) }

// report prints the summary and returns the exit code.
func report(s scenario.Summary, jsonFile string, log zerolog.Logger) int {
	s.Write(os.Stdout)
	if jsonFile != "" {
		if err := writeJSON(s, jsonFile); err != nil {
			log.Error().Err(err).Msg("cannot write the summary")
			return exitCannotRun
		}
	}
	if s.Failed() {
		return exitLost
	}
	return 0
}

func writeJSON(s scenario.Summary, file string) error {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(body, '\n'), jsonFileMode)
}
