// Command cassialatch is the operators' tool: it checks documents before they
// are published and asks running daemons.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cassialatch.dev/cassialatch/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
