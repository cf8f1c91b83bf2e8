// Package operators tests the operators' tool as a process against daemons
// with mutual TLS.
package operators

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/standin/testca"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/operatorapi"
)

// Exit codes of the tool, as its help states them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUnreachable = 3
)

// tool is the built operators' tool.
type tool struct {
	t    *testing.T
	path string
	dir  string // of the certificates
}

// newTool builds the tool.
func newTool(t *testing.T, certificates string) *tool {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cassialatch")
	out, err := exec.Command("go", "build", "-o", path, "cassialatch.dev/cassialatch").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return &tool{t: t, path: path, dir: certificates}
}

// run runs one command and returns its output and exit code.
func (c *tool) run(args ...string) ([]byte, int) {
	c.t.Helper()
	cmd := exec.Command(c.path, args...)
	out, err := cmd.Output()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatal(err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// as returns the flags that name a daemon and a certificate.
func (c *tool) as(role, daemon string) []string {
	return []string{
		"-daemon", daemon, "-json",
		"-tls-ca", filepath.Join(c.dir, "ca.pem"),
		"-tls-cert", filepath.Join(c.dir, role+".pem"),
		"-tls-key", filepath.Join(c.dir, role+"-key.pem"),
	}
}

// call runs a command against a daemon and decodes its JSON.
func (c *tool) call(daemon string, into any, verb ...string) {
	c.t.Helper()
	out, code := c.run(append(verb, c.as("operator", daemon)...)...)
	if code != exitOK {
		c.t.Fatalf("%v: exit code %d\n%s", verb, code, out)
	}
	if err := json.Unmarshal(out, into); err != nil {
		c.t.Fatalf("%v: %v\n%s", verb, err, out)
	}
}

// startSecured starts a fleet with mutual TLS.
func startSecured(t *testing.T, certificates string) *harness.Fleet {
	t.Helper()
	if err := testca.Write(certificates, time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	return harness.Start(t, harness.Options{Daemons: 3, Engines: 3, Services: 1, ModifySettings: func(s *setting.Settings) {
		s.TLS = setting.TLS{
			Mode: setting.TLSMutual,
			CA:   filepath.Join(certificates, "ca.pem"),
			Cert: filepath.Join(certificates, "daemon.pem"),
			Key:  filepath.Join(certificates, "daemon-key.pem"),
		}
	}})
}

func TestToolShowsAndDrainsDaemonsOverMutualTLS(t *testing.T) {
	is := is.New(t)
	certificates := t.TempDir()
	f := startSecured(t, certificates)
	tool := newTool(t, certificates)
	address := f.Daemons[0].Settings.Listen.Operator

	var status operatorapi.Status
	tool.call(address, &status, "status")
	is.Equal(status.ID, "entry-0")
	is.True(status.Ready)
	is.Equal(len(status.Daemons), 3)
	is.Equal(len(status.Backends), 4)

	var config operatorapi.ConfigInForce
	tool.call(address, &config, "config", "show")
	is.Equal(config.BaseVersion, uint64(1))

	var explanation operatorapi.Explanation
	tool.call(address, &explanation, "route", "explain", "-workspace", harness.Workspace)
	is.Equal(explanation.Model, harness.Model)
	is.True(len(explanation.Candidates) > 0)

	_, code := tool.run(append([]string{"route", "explain", "-workspace", "nobody"}, tool.as("operator", address)...)...)
	is.Equal(code, exitFailed) // the daemon refuses

	var drained operatorapi.DrainResponse
	tool.call(address, &drained, "drain")
	f.Eventually("peers know of the drain", func() bool {
		for _, d := range f.Daemons[1].Node.Status().Daemons {
			if d.ID == "entry-0" {
				return d.Draining
			}
		}
		return false
	})
}

func TestToolWithoutACertificateIsNotAnswered(t *testing.T) {
	is := is.New(t)
	certificates := t.TempDir()
	f := startSecured(t, certificates)
	tool := newTool(t, certificates)
	address := f.Daemons[0].Settings.Listen.Operator

	_, code := tool.run("status", "-daemon", address, "-tls-off")
	is.Equal(code, exitFailed) // the daemon answers that it wants TLS

	foreign := t.TempDir()
	is.NoErr(testca.Write(foreign, time.Now(), time.Hour))
	tool.dir = foreign
	_, code = tool.run(append([]string{"status"}, tool.as("operator", address)...)...)
	is.Equal(code, exitUnreachable)
}
