// Package process tests a fleet of separate daemon processes that are stopped,
// killed and paused while callers send requests. The platform and the backend
// servers are stand-ins in the test process.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// daemonBinary is the path of the daemon under test, built once for all tests.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the daemon, runs the tests and returns their exit code.
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
