// Package process tests a fleet of real daemon processes that are stopped,
// killed and paused while callers use it.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// daemonBinary is the program under test, built once for all tests.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the daemon and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cassialatchd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonBinary = filepath.Join(dir, "cassialatchd")
	build := exec.Command("go", "build", "-o", daemonBinary, "cassialatch.dev/cassialatchd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
