// Package serve runs an HTTP handler as a process with graceful shutdown.
package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

// Options configures Main.
type Options struct {
	Name         string // name of the stand-in in log lines
	Listen       string // host:port
	Handler      http.Handler
	WrapListener func(net.Listener) net.Listener // may be nil
}

// Main serves requests until the process receives SIGTERM or SIGINT, and then shuts
// down gracefully. If it fails, it logs the error and exits with code 1.
func Main(o Options) {
	log := Logger(o.Name)
	if err := run(o, log); err != nil {
		log.Fatal().Err(err).Msg("stand-in failed")
	}
}

// Logger returns a logger that writes to standard error and adds the name of the
// stand-in to each line.
func Logger(name string) zerolog.Logger {
	return zerolog.New(os.Stderr).With().Timestamp().Str("standin", name).Logger()
}

func run(o Options, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if o.WrapListener != nil {
		listener = o.WrapListener(listener)
	}
	server := &http.Server{Handler: o.Handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info().Str("address", listener.Addr().String()).Msg("listening")
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return shutdown(server)
}

func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
