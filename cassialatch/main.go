// Command cassialatch is the command line tool for operators. It checks
// configuration documents and settings files before use, and queries and drains
// running daemons.
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
