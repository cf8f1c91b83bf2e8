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
	flag.Parse()
	if err := run(*metrics); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(metricsPort string) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if metricsPort != "" {
		s.Metrics = net.JoinHostPort(s.IP, metricsPort)
	}
	d := daemon.New(s.Settings, daemon.Adapter{
		Dialect:   platform.Dialect{},
		Source:    platform.NewSource(s.Store, boottime.Now),
		Lister:    platform.Lister{},
		Entry:     platform.Entry,
		Readiness: platform.Readiness,
		Reload:    reload,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnSignal(d)
	return d.Run(ctx)
}

func reload() (daemon.Settings, error) {
	s, err := platform.ReadSettings()
	return s.Settings, err
}

func reloadOnSignal(d *daemon.Daemon) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		d.Reload()
	}
}
