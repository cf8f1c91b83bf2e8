package main

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	soundDocument = `{"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":"safe","service":"s"}],
		"services":[{"name":"s","maxConns":9}],
		"limits":{"headerTimeoutMs":3000,"maxBodyBytes":4194304,"idleTimeoutMs":15000}}`
	olderDocument = `{"version":1}`
)

// runCheck runs the program's check. It returns its output and its exit code.
func runCheck(t *testing.T, stdin string, args ...string) (string, int) {
	t.Helper()
	var f checkFlags
	set := flag.NewFlagSet("", flag.ContinueOnError)
	f.register(set)
	if err := set.Parse(args); err != nil {
		t.Fatal(err)
	}
	if err := f.validate(set.NArg()); err != nil {
		return "", exitUsage
	}
	var out bytes.Buffer
	code := f.check(strings.NewReader(stdin), &out, io.Discard)
	return out.String(), code
}

// Guards against a script that sends a document with errors, or that holds back one
// with warnings or differences only.
func TestCheck_ExitCode(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "in-force.json")
	is.NoErr(os.WriteFile(file, []byte(olderDocument), 0o600))
	for _, c := range []struct {
		stdin string
		args  []string
		want  int
		out   string
	}{
		{soundDocument, []string{"-check", "-"}, exitNoErrors, ""},
		{soundDocument, []string{"-check", "-", "-in-force", file}, exitNoErrors, "change version: changes from 1 to 2\n"},
		{soundDocument, []string{"-check", "-", "-daemons", "5"}, exitNoErrors, "warning services[0].maxConns: "},
		{soundDocument, []string{"-check", "-", "-memory-mb", "20"}, exitNoErrors, "warning limits.maxBodyBytes: "},
		{olderDocument, []string{"-check", "-", "-in-force", file}, exitErrors, "error version: 1 is not higher than 1"},
		{`{`, []string{"-check", "-"}, exitErrors, "error document: "},
		{soundDocument, []string{"-check", file + ".none"}, exitUsage, ""},
		{`{`, []string{"-check", file, "-in-force", "-"}, exitUsage, ""},
		{soundDocument, []string{"-check", "-", "-in-force", "-"}, exitUsage, ""},
		{soundDocument, []string{"-check", "-", "more"}, exitUsage, ""},
		{soundDocument, []string{"-check", "-", "-daemons", "-1"}, exitUsage, ""},
		{soundDocument, []string{"-in-force", file}, exitUsage, ""},
	} {
		out, code := runCheck(t, c.stdin, c.args...)
		is.Equal(code, c.want)
		is.True(strings.Contains(out, c.out))
	}
}

// Guards against a gateway that does not start because of the flags of the check.
func TestCheckFlags_NoneAreNeededToRunADaemon(t *testing.T) {
	is := is.New(t)
	is.NoErr((&checkFlags{}).validate(0))
}
