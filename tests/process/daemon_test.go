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

	command *exec.Cmd // nil while the process is not running
	log     *logBuffer
}

func (d *daemon) caller() string   { return d.ip + ":8080" }
func (d *daemon) peer() string     { return d.ip + ":8081" }
func (d *daemon) operator() string { return d.ip + ":8082" }

// start starts the process.
func (d *daemon) start() {
	d.fleet.t.Helper()
	d.log = &logBuffer{}
	d.command = exec.Command(daemonBinary, "-config", d.fleet.writeSettings(d))
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		d.fleet.t.Fatal(err)
	}
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.fleet.t.Helper()
	if err := d.command.Process.Signal(s); err != nil {
		d.fleet.t.Fatal(err)
	}
}

// terminate sends SIGTERM and waits until the process has exited.
func (d *daemon) terminate() {
	d.fleet.t.Helper()
	d.signal(syscall.SIGTERM)
	if err := d.command.Wait(); err != nil {
		d.fleet.t.Errorf("%s: %v\n%s", d.id, err, d.log)
	}
	d.command = nil
}

// kill sends SIGKILL to the process if it is running, and waits for its exit.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	_ = d.command.Wait() // the error is the expected exit by SIGKILL
	d.command = nil
}

// httpClient sends requests to daemons, each over a connection of its own.
var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the daemon's status, or a zero value if there is no valid
// response.
func (d *daemon) status() operatorapi.Status {
	var status operatorapi.Status
	resp, err := httpClient.Get("http://" + d.operator() + "/v1/status")
	if err != nil {
		return status
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&status) // on failure the status stays zero
	return status
}

// ready reports whether the daemon's readiness probe succeeds.
func (d *daemon) ready() bool {
	resp, err := httpClient.Get("http://" + d.operator() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serves reports whether the daemon is ready, has backend servers and knows a
// load limit for each one that is not leaving.
func (d *daemon) serves() bool {
	status := d.status()
	for _, b := range status.Backends {
		if b.Limit == 0 && !b.Leaving {
			return false
		}
	}
	return status.Ready && len(status.Backends) > 0
}

// reportsDead reports whether the daemon lists another as not alive.
func (d *daemon) reportsDead(other *daemon) bool {
	for _, seen := range d.status().Daemons {
		if seen.ID == other.id {
			return !seen.Alive
		}
	}
	return false
}

// awaitReportedDead waits until all other daemons list a daemon as not alive.
func (f *fleet) awaitReportedDead(dead *daemon) {
	f.t.Helper()
	for _, d := range f.others(dead) {
		harness.Eventually(f.t, d.id+" reports "+dead.id+" as dead", func() bool { return d.reportsDead(dead) })
	}
}

// logBuffer collects the output of a process. It is safe for concurrent use.
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
