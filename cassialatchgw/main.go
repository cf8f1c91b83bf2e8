// Command cassialatchgw is the gateway on the users' platform.
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

func main() {
	metrics := flag.String("metrics", "", "port of the metrics; none if empty")
	// Signals are caught first of all: one that comes while the process starts
	// must not end it.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	flag.Parse()
	if err := run(ctx, hup, *metrics); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, hup <-chan os.Signal, metricsPort string) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if metricsPort != "" {
		s.Metrics = net.JoinHostPort(s.IP, metricsPort)
	}
	d := daemon.New(s.Settings, daemon.Adapter{
		Dialect:          platform.Dialect{},
		Source:           platform.NewSource(s.StoreAddress, boottime.Now),
		Lister:           platform.Lister{},
		DirectoryHandler: platform.DirectoryHandler,
		ReadinessHandler: platform.ReadinessHandler,
		Reload:           reload,
	})
	go reloadOnSignal(d, hup)
	return d.Run(ctx)
}

func reload() (daemon.Settings, error) {
	s, err := platform.ReadSettings()
	return s.Settings, err
}

func reloadOnSignal(d *daemon.Daemon, hup <-chan os.Signal) {
	for range hup {
		d.Reload()
	}
}
