// Command cassialatch-load generates the load of a scenario as a client of
// cassialatch, verifies every response and prints a summary. Its exit code is 1 if a
// response was incomplete or did not match its request, or if a call ran more than
// once, and 2 if the scenario cannot be run or the summary cannot be written.
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
	exitViolation      = 1
	exitCannotRun      = 2
	idBase             = 36
	jsonFileMode       = 0o644
	defaultWaitTimeout = 20 * time.Second
)

func main() {
	entries := flag.String("entry", "", "comma-separated entry addresses, each host:port")
	file := flag.String("scenario", "", "scenario file")
	jsonFile := flag.String("json", "", "write the summary as JSON to this file")
	run := flag.String("run", strconv.FormatInt(time.Now().UnixNano(), idBase), "prefix of all IDs, unique for each run")
	operators := flag.String("wait-ready", "", "comma-separated operator addresses, each host:port, of the daemons to wait for before the start")
	waitTimeout := flag.Duration("wait-timeout", defaultWaitTimeout, "timeout of -wait-ready")
	verbose := flag.Bool("v", false, "log each failed request")
	flag.Parse()
	log := serve.Logger("load")
	s, err := scenario.Load(*file)
	if err != nil || *entries == "" {
		log.Error().Err(err).Msg("-entry and a valid -scenario are required")
		os.Exit(exitCannotRun)
	}
	options := scenario.Options{EntryAddresses: strings.Split(*entries, ","), RunID: *run, OnProgress: printProgress}
	if *verbose {
		options.OnFailure = func(err error) { log.Warn().Err(err).Msg("request failed") }
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	if err := waitReady(ctx, *operators, *waitTimeout); err != nil {
		log.Error().Err(err).Msg("daemons are not ready")
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
			log.Error().Err(err).Msg("failed to write the summary")
			return exitCannotRun
		}
	}
	if s.Failed() {
		return exitViolation
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
