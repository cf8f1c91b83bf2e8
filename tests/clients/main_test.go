// Package clients runs real gateway processes against groups of callers outside our control.
// It checks that the process stays alive, within the memory and the descriptors of its
// settings, and that an ordinary caller is served meanwhile.
package clients

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the gateway under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the gateway, runs the tests and returns their exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "cassialatchgw")
	build := exec.Command("go", "build", "-o", binary, "cassialatch.dev/cassialatchgw")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
