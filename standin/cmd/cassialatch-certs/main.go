// Command cassialatch-certs creates a temporary certificate authority, a daemon
// certificate and an operator certificate in a directory. They are meant for demos
// and tests only.
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
	lifetime := flag.Duration("lifetime", 24*time.Hour, "lifetime of the certificates")
	flag.Parse()
	if err := testca.Write(*dir, time.Now(), *lifetime); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
