package clients

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ordinaryBodyBytes = 12 << 10
	// ordinaryTimeout is how long an ordinary caller tries again. It only ends a failed test.
	ordinaryTimeout  = 30 * time.Second
	ordinaryInterval = 200 * time.Millisecond
)

// kind is what the callers of a crowd do.
type kind struct {
	name       string
	routeConns int // connections at a route
	otherConns int // connections at each other place
	routePath  string
	send       func(*caller) error
	receive    func(*crowd, *caller)
}

// The numbers of connections. Bodies and heads fill the memory with few; many are more than
// there are descriptors.
const (
	some  = 120
	heads = 240
	many  = 450
)

var kinds = []kind{
	{"body_whole", some, many, "/plain/x", sendWhole, readStatus},
	{"body_pieces", some, many, "/plain/x", sendPieces, readStatus},
	{"body_chunked", some, many, "/plain/x", sendChunked, readStatus},
	{"body_above_declared", some, many, "/plain/x", sendAboveDeclared, readStatus},
	{"body_above_chunked", some, many, "/plain/x", sendAboveChunked, readStatus},
	{"head_complete", heads, heads, "/plain/x", sendHead, readStatus},
	{"head_incomplete", heads, heads, "/plain/x", sendHeadIncomplete, readStatus},
	{"pipelined", many, many, "/large/x", sendPipelined, readNothing},
	{"slow_senders", many, many, "/plain/x", sendSlowly, readStatus},
	{"slow_readers", many, many, "/large/x", sendPipelined, readSlowly},
}

// Sizes of bodies. At a route they leave no room for an ordinary body. Elsewhere net/http
// reads at most 256 KiB of a body, and closes the connection at once if it is declared larger.
var (
	routeSizes = []int{maxBodyBytes, 512 << 10, 64 << 10, ordinaryBodyBytes}
	otherSizes = []int{200 << 10, ordinaryBodyBytes}
)

// Load pattern: one crowd of a kind at one place, which stays connected. Guards against a
// process that ends, needs more memory or descriptors than its VM has, or no longer serves
// ordinary callers; and against reporting as not run what has run.
func TestClients_CrowdStaysWithinLimits(t *testing.T) {
	slot := 0
	for _, k := range kinds {
		places := []struct {
			name    string
			conns   int
			over    time.Duration // time in which the connections are opened
			sizes   []int
			targets []target
		}{
			{"route", k.routeConns, routeOpenTime, routeSizes, []target{{frontPort, http.MethodPost, k.routePath}}},
			{"no_route", k.otherConns, 0, otherSizes, []target{{frontPort, http.MethodPost, "/none/x"}}},
			{"endpoints", k.otherConns, 0, otherSizes, []target{
				{readyPort, http.MethodGet, "/readyz"}, {directoryPort, http.MethodGet, "/resolution"}}},
		}
		for _, p := range places {
			slot++
			t.Run(k.name+"/"+p.name, func(t *testing.T) {
				g := startGateway(t, slot)
				c := newCrowd(g)
				defer c.close()
				for _, to := range p.targets {
					c.open(p.conns, p.over, to, k, p.sizes)
				}
				c.check(t)
			})
		}
	}
}

// check waits until the crowd has sent what it sends and checks the gateway.
func (c *crowd) check(t *testing.T) {
	is := is.New(t)
	peakDescriptors := c.settle()
	served, tries := c.g.callOrdinary()
	peakDescriptors = max(peakDescriptors, c.g.descriptors())
	is.True(c.g.alive()) // the process that was started
	peak := c.g.peakMemory(t)
	t.Logf("peak memory %d MB of %d, descriptors %d of %d, ordinary request served %t after %d tries, responses %v",
		peak>>20, memoryMB, peakDescriptors, maxDescriptors, served, tries, c.countStatuses())
	c.close()
	c.checkNotRun(t)
	is.True(peak < memoryMB<<20)              // memory of the settings
	is.True(peakDescriptors < maxDescriptors) // descriptors of the settings
	is.True(served)                           // ordinary request
}

// callOrdinary sends an ordinary request until it is served. It returns false after
// ordinaryTimeout.
func (g *gateway) callOrdinary() (served bool, tries int) {
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end) && g.alive(); time.Sleep(ordinaryInterval) {
		tries++
		if g.call(fmt.Sprint("ordinary-", tries), make(http.Header), ordinaryBodyBytes) == http.StatusOK {
			return true, tries
		}
	}
	return false, tries
}

// countStatuses returns how many responses of each status the crowd has read.
func (c *crowd) countStatuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, status := range c.statuses {
		counts[status]++
	}
	return counts
}

// Load pattern: one request just within the limits. Guards against limits that refuse what is
// permitted.
func TestClients_LargestPermittedRequestIsServed(t *testing.T) {
	const calmSlot = 200 // above those of the crowds
	const fieldBytes, fields = 1 << 10, 15
	is := is.New(t)
	g := startGateway(t, calmSlot)
	header := make(http.Header)
	for n := range fields {
		header.Set(fmt.Sprint("X-Filler-", n), strings.Repeat("x", fieldBytes))
	}
	is.Equal(g.call("largest", header, maxBodyBytes), http.StatusOK)
	is.True(g.alive())
	is.True(g.peakMemory(t) < memoryMB<<20)
}
