package fleetproc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/standin/caller"
	"cassialatch.dev/wire/operatorapi"
)

// ticksPerSecond is the number of clock ticks a second in the CPU times of
// /proc. It is constant on Linux.
const ticksPerSecond = 100

// Usage holds the CPU time and the memory use of one process.
type Usage struct {
	CPU           time.Duration // user and system time since the process started
	ResidentBytes uint64        // current resident set size
}

// Usage reads the resource usage of a daemon from /proc.
func (d *Daemon) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "fleetproc: read usage")
	}
	// The process name in parentheses may contain spaces, so fields are
	// counted from the closing parenthesis.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime, residentPages = 11, 12, 21
	var numbers [3]uint64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if numbers[i], err = strconv.ParseUint(string(fields[at]), 10, 64); err != nil {
			return Usage{}, errors.Wrap(err, "fleetproc: parse usage")
		}
	}
	return Usage{
		CPU:           time.Duration(numbers[0]+numbers[1]) * time.Second / ticksPerSecond,
		ResidentBytes: numbers[2] * uint64(os.Getpagesize()),
	}, nil
}

// Status requests the status of a daemon from its operator address.
func (f *Fleet) Status(ctx context.Context, d *Daemon) (operatorapi.Status, error) {
	var status operatorapi.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.OperatorAddress+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return status, errors.Wrap(err, "fleetproc: request status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, &caller.StatusError{Status: resp.StatusCode}
	}
	return status, errors.Wrap(json.NewDecoder(resp.Body).Decode(&status), "fleetproc: decode status")
}

// HomeOf returns the daemon that is the home of an engine and another daemon
// that is not. Either is nil if there is none.
func (f *Fleet) HomeOf(ctx context.Context, engineID string) (home, other *Daemon, err error) {
	for _, d := range f.Daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return nil, nil, err
		}
		for _, b := range status.Backends {
			if b.ID == engineID && b.Home == d.ID {
				home = d
			}
		}
		if home != d {
			other = d
		}
	}
	return home, other, nil
}

// Counter counts bytes. It is safe for concurrent use.
type Counter struct{ n atomic.Uint64 }

// Total returns the bytes counted so far.
func (c *Counter) Total() uint64 { return c.n.Load() }

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

// countedConn counts the bytes of one connection in both directions.
type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.n.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.n.Add(uint64(n))
	return n, err
}
