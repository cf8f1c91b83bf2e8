package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"

	"cassialatch.dev/gateway/clientlimit"
	"cassialatch.dev/gateway/memory"
)

// Parts of Settings.MemoryBytes.
const (
	// BodyMemoryRatio is the part for callers' request bodies. A body that is being sent
	// takes twice its size.
	BodyMemoryRatio = 0.15
	// responseMemoryRatio is the part for what is held of the responses of servers.
	responseMemoryRatio = 0.15
	// headMemoryRatio is the part for the heads of callers' requests.
	headMemoryRatio = 0.10
	// connMemoryRatio is the part for callers' connections, of which each takes
	// connMemory: buffers of net/http and the kernel, goroutines, and what is not counted of
	// bodies.
	connMemoryRatio = 0.25
	connMemory      = 32 << 10 // bytes
	// receiveBuffer is the size of the kernel's receive buffer of a connection. Linux doubles
	// it for its own needs; about 45 KB of data fit. Ordinary bodies are up to 72 KB.
	receiveBuffer = 32 << 10 // bytes
)

const (
	// fileDescriptors are those of Settings.MaxFiles that are for files. Callers get at most
	// half of the others; the other half is for servers and peers.
	fileDescriptors = 200
	// minConnections is the least that the limit on callers' connections is derived to.
	minConnections = 64
	// auxConnections is the limit on connections of each endpoint other than the frontend,
	// directoryConnections that of the directory, and controlConnections that for peers: at a
	// start all daemons of a large fleet may fetch the state of the same one.
	auxConnections       = 64
	directoryConnections = 256
	controlConnections   = 512
	// auxTimeout limits how long a request to these endpoints is read, and how long its
	// response is written.
	auxTimeout     = 5 * time.Second
	auxHeaderBytes = 16 << 10
	auxIdleTimeout = time.Minute
)

// memoryPart returns a part of the memory in bytes; 0 if there is no limit.
func (s *Settings) memoryPart(ratio float64) int64 {
	return int64(float64(s.MemoryBytes) * ratio)
}

// bodyMemory returns the limit on the memory of bodies; 0 if there is none.
func (s *Settings) bodyMemory() int64 {
	if s.MaxBodyMemory > 0 {
		return s.MaxBodyMemory
	}
	return s.memoryPart(BodyMemoryRatio)
}

// headMemory returns the limit on the memory of request heads; 0 if there is none.
func (s *Settings) headMemory() int64 {
	if s.MaxHeadMemory > 0 {
		return s.MaxHeadMemory
	}
	return s.memoryPart(headMemoryRatio)
}

// maxConnections returns the limit on callers' connections; 0 if there is none.
func (s *Settings) maxConnections() int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	byMemory := int(s.memoryPart(connMemoryRatio) / connMemory)
	byFiles := (s.MaxFiles - fileDescriptors) / 2
	switch {
	case s.MemoryBytes <= 0 && s.MaxFiles <= 0:
		return 0
	case s.MemoryBytes <= 0:
		return max(byFiles, minConnections)
	case s.MaxFiles <= 0:
		return max(byMemory, minConnections)
	}
	return max(min(byMemory, byFiles), minConnections)
}

// endpointConnections returns the limit on the connections of an endpoint other than the
// frontend: the given number, but where there are few descriptors at most a quarter of those
// that are not for files. All limits together must fit in the descriptors.
func (s *Settings) endpointConnections(n int) int {
	if s.MaxFiles <= 0 {
		return n
	}
	return min(n, max((s.MaxFiles-fileDescriptors)/4, minConnections))
}

// clientTable returns the table of the connections of an endpoint.
func (d *Daemon) clientTable(endpoint string, maxConns int) *clientlimit.Table {
	return clientlimit.NewTable(clientlimit.Options{
		MaxConns: maxConns,
		Heads:    d.heads,
		Now:      time.Now,
		OnClose:  func(cause clientlimit.Cause) { d.clientClosed(endpoint, cause) },
	})
}

// newAuxServer returns the server of an endpoint other than the frontend.
func newAuxServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        clientlimit.Handler(h),
		ConnState:      clientlimit.ConnState,
		ConnContext:    clientlimit.ConnContext,
		ReadTimeout:    auxTimeout,
		WriteTimeout:   auxTimeout,
		IdleTimeout:    auxIdleTimeout,
		MaxHeaderBytes: auxHeaderBytes,
	}
}

// withTable returns a function that serves a listener whose connections are in the table.
func withTable(t *clientlimit.Table, serve func(net.Listener) error) func(net.Listener) error {
	return func(l net.Listener) error { return serve(t.Listener(l)) }
}

// closingLogInterval is the minimum time between two log lines about callers' connections
// that limits close. All of them are counted.
const closingLogInterval = 10 * time.Second

// closings are the callers' connections that limits have closed since the last log line.
type closings struct {
	mu       sync.Mutex
	loggedAt time.Time
	n        int
}

// clientClosed counts a caller's connection that a limit closes, and logs some.
func (d *Daemon) clientClosed(endpoint string, cause clientlimit.Cause) {
	d.metrics.Count("clients_closed_" + string(cause))
	now := time.Now()
	d.closings.mu.Lock()
	d.closings.n++
	n := d.closings.n
	due := now.Sub(d.closings.loggedAt) >= closingLogInterval
	if due {
		d.closings.loggedAt, d.closings.n = now, 0
	}
	d.closings.mu.Unlock()
	if due {
		d.log.ClientClosed(endpoint, string(cause), n)
	}
}

// newBudgets returns the memory for request heads, bodies and responses of servers.
func (d *Daemon) newBudgets() (heads *memory.Budget, bodies *clientlimit.Bodies, responses *memory.Budget) {
	s := &d.settings
	heads = memory.NewBudget(s.headMemory())
	bodies = clientlimit.NewBodies(s.bodyMemory(), time.Now, func(cause clientlimit.Cause) {
		d.clientClosed(frontendEndpoint, cause)
	})
	return heads, bodies, memory.NewBudget(s.memoryPart(responseMemoryRatio))
}
