package daemon

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

// childEnv is set in the process that TestLogReaderGone_ProcessGoesOn starts.
const childEnv = "CASSIALATCH_TEST_BROKEN_STDOUT"

// Guards against a process that is killed by SIGPIPE when the reader of its log
// is gone.
func TestLogReaderGone_ProcessGoesOn(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		d := New(Settings{Name: "edge-1"}, Adapter{})
		d.log.Lifecycle("start", "")
		d.writer.Close(10 * time.Second)
		os.Exit(0)
	}
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	is.NoErr(r.Close())
	defer w.Close()
	child := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	child.Env = append(os.Environ(), childEnv+"=1")
	child.Stdout = w
	is.NoErr(child.Run())
}
