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

// ticksPerSecond is the unit of processor time in /proc, fixed on Linux.
const ticksPerSecond = 100

// Usage is what one process has used so far.
type Usage struct {
	CPU           time.Duration
	ResidentBytes uint64 // bytes
}

// Usage reads what a daemon has used.
func (d *Daemon) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "fleetproc: usage")
	}
	// The name in parentheses may hold spaces; fields are counted after it.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const userTime, systemTime, residentPages = 11, 12, 21
	var numbers [3]uint64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if numbers[i], err = strconv.ParseUint(string(fields[at]), 10, 64); err != nil {
			return Usage{}, errors.Wrap(err, "fleetproc: usage")
		}
	}
	return Usage{
		CPU:           time.Duration(numbers[0]+numbers[1]) * time.Second / ticksPerSecond,
		ResidentBytes: numbers[2] * uint64(os.Getpagesize()),
	}, nil
}

// Status asks a daemon for its status.
func (f *Fleet) Status(ctx context.Context, d *Daemon) (operatorapi.Status, error) {
	var status operatorapi.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.OperatorAddress+"/v1/status", nil)
	if err != nil {
		return status, err
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return status, errors.Wrap(err, "fleetproc: status")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, &caller.StatusError{Status: resp.StatusCode}
	}
	return status, errors.Wrap(json.NewDecoder(resp.Body).Decode(&status), "fleetproc: status")
}

// HomeOf returns the daemon that is home of an engine and one that is not.
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

// countedListener counts the bytes of its connections, both ways.
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

// countedConn counts the bytes of one connection.
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
