// Package operators tests the operator tool, run as a process, against daemons
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

// Exit codes of the operator tool, as documented in its help text.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUnreachable = 3
)

// tool is the compiled operator tool.
type tool struct {
	t    *testing.T
	path string
	dir  string // directory of the certificates
}

// newTool compiles the operator tool.
func newTool(t *testing.T, certificates string) *tool {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cassialatch")
	out, err := exec.Command("go", "build", "-o", path, "cassialatch.dev/cassialatch").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return &tool{t: t, path: path, dir: certificates}
}

// run runs the tool with args and returns its output and exit code.
func (c *tool) run(args ...string) ([]byte, int) {
	c.t.Helper()
	cmd := exec.Command(c.path, args...)
	out, err := cmd.Output()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatal(err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// connectionFlags returns the flags for JSON output that select the daemon and the
// certificate of the role.
func (c *tool) connectionFlags(role, daemon string) []string {
	return []string{
		"-daemon", daemon, "-json",
		"-tls-ca", filepath.Join(c.dir, "ca.pem"),
		"-tls-cert", filepath.Join(c.dir, role+".pem"),
		"-tls-key", filepath.Join(c.dir, role+"-key.pem"),
	}
}

// callJSON runs a command against a daemon as an operator and decodes its JSON
// output into the given value.
func (c *tool) callJSON(daemon string, into any, command ...string) {
	c.t.Helper()
	out, code := c.run(append(command, c.connectionFlags("operator", daemon)...)...)
	if code != exitOK {
		c.t.Fatalf("%v: exit code %d\n%s", command, code, out)
	}
	if err := json.Unmarshal(out, into); err != nil {
		c.t.Fatalf("%v: %v\n%s", command, err, out)
	}
}

// startFleetWithTLS starts a fleet with mutual TLS and writes its certificates to
// the given directory.
func startFleetWithTLS(t *testing.T, certificates string) *harness.Fleet {
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
	f := startFleetWithTLS(t, certificates)
	tool := newTool(t, certificates)
	address := f.Daemons[0].Settings.Listen.Operator

	var status operatorapi.Status
	tool.callJSON(address, &status, "status")
	is.Equal(status.ID, "entry-0")
	is.True(status.Ready)
	is.Equal(len(status.Daemons), 3)
	is.Equal(len(status.Backends), 4)

	var config operatorapi.ConfigInForce
	tool.callJSON(address, &config, "config", "show")
	is.Equal(config.BaseVersion, uint64(1))

	var explanation operatorapi.Explanation
	tool.callJSON(address, &explanation, "route", "explain", "-workspace", harness.Workspace)
	is.Equal(explanation.Model, harness.Model)
	is.True(len(explanation.Candidates) > 0)

	_, code := tool.run(append([]string{"route", "explain", "-workspace", "nobody"}, tool.connectionFlags("operator", address)...)...)
	is.Equal(code, exitFailed) // the daemon refuses the unknown workspace

	var drained operatorapi.DrainResponse
	tool.callJSON(address, &drained, "drain")
	f.Eventually("peers see the daemon draining", func() bool {
		for _, d := range f.Daemons[1].Node.Status().Daemons {
			if d.ID == "entry-0" {
				return d.Draining
			}
		}
		return false
	})
}

func TestToolWithoutValidCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	certificates := t.TempDir()
	f := startFleetWithTLS(t, certificates)
	tool := newTool(t, certificates)
	address := f.Daemons[0].Settings.Listen.Operator

	_, code := tool.run("status", "-daemon", address, "-tls-off")
	is.Equal(code, exitFailed) // the daemon responds that it requires TLS

	otherCA := t.TempDir()
	is.NoErr(testca.Write(otherCA, time.Now(), time.Hour))
	tool.dir = otherCA
	_, code = tool.run(append([]string{"status"}, tool.connectionFlags("operator", address)...)...)
	is.Equal(code, exitUnreachable)
}
