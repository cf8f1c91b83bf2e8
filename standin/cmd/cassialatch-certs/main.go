// Command cassialatch-certs writes a throw-away certificate authority, a daemon
// and an operator certificate into a directory, for demos and tests only.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"cassialatch.dev/standin/testca"
)

func main() {
	dir := flag.String("dir", "certs", "directory to write to")
	lifetime := flag.Duration("lifetime", 24*time.Hour, "validity of the certificates")
	flag.Parse()
	if err := testca.Write(*dir, time.Now(), *lifetime); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
