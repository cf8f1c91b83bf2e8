package process

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/operatorapi"
)

// daemon is one daemon process.
type daemon struct {
	fleet    *fleet
	id       string
	zone, ip string

	command *exec.Cmd // nil while it does not run
	log     *logBuffer
}

func (d *daemon) caller() string   { return d.ip + ":8080" }
func (d *daemon) peer() string     { return d.ip + ":8081" }
func (d *daemon) operator() string { return d.ip + ":8082" }

// start starts the process.
func (d *daemon) start() {
	d.fleet.t.Helper()
	d.log = &logBuffer{}
	d.command = exec.Command(daemonBinary, "-config", d.fleet.settings(d))
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		d.fleet.t.Fatal(err)
	}
}

// signal sends the process a signal.
func (d *daemon) signal(s syscall.Signal) {
	d.fleet.t.Helper()
	if err := d.command.Process.Signal(s); err != nil {
		d.fleet.t.Fatal(err)
	}
}

// terminate asks the process to end and waits until it has.
func (d *daemon) terminate() {
	d.fleet.t.Helper()
	d.signal(syscall.SIGTERM)
	if err := d.command.Wait(); err != nil {
		d.fleet.t.Errorf("%s: %v\n%s", d.id, err, d.log)
	}
	d.command = nil
}

// kill ends the process without notice, if it runs.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	_ = d.command.Wait() // the signal is no news
	d.command = nil
}

var operators = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status asks the daemon what it knows; it is zero when there is no answer.
func (d *daemon) status() operatorapi.Status {
	var status operatorapi.Status
	resp, err := operators.Get("http://" + d.operator() + "/v1/status")
	if err != nil {
		return status
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&status) // then it stays zero
	return status
}

// ready reports whether the daemon is ready.
func (d *daemon) ready() bool {
	resp, err := operators.Get("http://" + d.operator() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serves reports whether the daemon is ready and knows a limit of each backend
// server.
func (d *daemon) serves() bool {
	status := d.status()
	for _, b := range status.Backends {
		if b.Limit == 0 && !b.Leaving {
			return false
		}
	}
	return status.Ready && len(status.Backends) > 0
}

// takesForDead reports whether the daemon takes another for dead.
func (d *daemon) takesForDead(other *daemon) bool {
	for _, seen := range d.status().Daemons {
		if seen.ID == other.id {
			return !seen.Alive
		}
	}
	return false
}

// awaitDeath waits until all other daemons take one for dead.
func (f *fleet) awaitDeath(dead *daemon) {
	f.t.Helper()
	for _, d := range f.others(dead) {
		harness.Eventually(f.t, d.id+" takes "+dead.id+" for dead", func() bool { return d.takesForDead(dead) })
	}
}

// logBuffer collects what a process prints.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String implements fmt.Stringer.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
