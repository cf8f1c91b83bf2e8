// Command cassialatchgw runs a gateway daemon on the users' platform.
//
// It reads its settings from the file named by CASSIALATCH_NODE_FILE. SIGTERM
// and SIGINT drain and stop the daemon; SIGHUP reads the settings again and adds
// new seeds. With -check it runs no daemon, but checks a configuration document.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/daemon"
	"cassialatch.dev/platform"
)

// limits are the limits on callers that the command line sets; 0: derived from the
// settings.
type limits struct {
	connections int   // open connections
	bodyMemory  int64 // bytes of request bodies
	headMemory  int64 // bytes of request heads
}

// limitError is returned for a limit that is negative.
type limitError struct{ flag string }

// Error implements error.
func (e *limitError) Error() string { return "cassialatchgw: -" + e.flag + " is negative" }

// apply sets the limits in the settings.
func (l *limits) apply(s *daemon.Settings) error {
	switch {
	case l.connections < 0:
		return &limitError{flagMaxConnections}
	case l.bodyMemory < 0:
		return &limitError{flagMaxBodyMemory}
	case l.headMemory < 0:
		return &limitError{flagMaxHeadMemory}
	}
	s.MaxConnections, s.MaxBodyMemory, s.MaxHeadMemory = l.connections, l.bodyMemory, l.headMemory
	return nil
}

// Names of the flags for limits.
const (
	flagMaxConnections = "max-connections"
	flagMaxBodyMemory  = "max-body-memory"
	flagMaxHeadMemory  = "max-head-memory"
)

func main() {
	metrics := flag.String("metrics", "", "port of the metrics endpoint; none if empty")
	overload := flag.String("overload", "on", "on: while servers have too little capacity, the requests that cost callers least are delayed or refused; off: all are sent")
	var callers limits
	flag.IntVar(&callers.connections, flagMaxConnections, 0, "callers' open connections; 0: derived from the settings")
	flag.Int64Var(&callers.bodyMemory, flagMaxBodyMemory, 0, "bytes of request bodies that are held at once; 0: derived from the settings")
	flag.Int64Var(&callers.headMemory, flagMaxHeadMemory, 0, "bytes of request heads that are held at once; 0: derived from the settings")
	// Signals are caught before anything else, so that a signal during the start
	// does not kill the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	var check checkFlags
	check.register(flag.CommandLine)
	flag.Parse()
	if err := check.validate(flag.NArg()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if check.file != "" {
		signal.Reset() // SIGINT ends the program, also while it reads
		os.Exit(check.check(os.Stdin, os.Stdout, os.Stderr))
	}
	if err := run(ctx, hup, *metrics, *overload, &callers); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run runs the daemon until the context ends and it has drained. metricsPort is
// empty if metrics are not served.
func run(ctx context.Context, hup <-chan os.Signal, metricsPort, overload string, callers *limits) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if s.Overload, err = parseOverload(overload); err != nil {
		return err
	}
	if metricsPort != "" {
		s.Metrics = net.JoinHostPort(s.IP, metricsPort)
	}
	if err := callers.apply(&s.Settings); err != nil {
		return err
	}
	source := platform.NewSource(s.StoreAddress, s.StoreValueBytes, boottime.Now)
	source.Places = s.Places
	d := daemon.New(s.Settings, daemon.Adapter{
		Dialect:          platform.Dialect{},
		Source:           source,
		Lister:           platform.Lister{},
		DirectoryHandler: platform.DirectoryHandler,
		ReadinessHandler: platform.ReadinessHandler,
		Reload:           reload,
	})
	go reloadOnSignal(d, hup)
	return d.Run(ctx)
}

// FlagError is returned for a flag whose value is not permitted.
type FlagError struct{ Flag, Value string }

// Error implements error.
func (e *FlagError) Error() string {
	return fmt.Sprintf("cassialatchgw: flag -%s: value %q is not permitted", e.Flag, e.Value)
}

// parseOverload parses the flag -overload.
func parseOverload(value string) (bool, error) {
	switch value {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, &FlagError{Flag: "overload", Value: value}
}

func reload() (daemon.Settings, error) {
	s, err := platform.ReadSettings()
	return s.Settings, err
}

// reloadOnSignal calls Reload for each signal.
func reloadOnSignal(d *daemon.Daemon, hup <-chan os.Signal) {
	for range hup {
		d.Reload()
	}
}
