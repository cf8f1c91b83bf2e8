package process

import (
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/tests/harness"
)

// TestDaemon_GoesOnWithoutLogReader guards against a daemon that is killed by
// SIGPIPE when the reader of its log is gone.
func TestDaemon_GoesOnWithoutLogReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := start(t, options{daemons: 1, engines: 1, services: 1})
	d := f.daemons[0]
	d.kill()
	r, w, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(r.Close())
	defer w.Close()
	d.command = exec.Command(daemonBinary, "-config", f.writeSettings(d))
	d.command.Stdout = w
	is.NoErr(d.command.Start())
	harness.Eventually(t, d.id+" serves", d.serves)
	d.terminate()
}
