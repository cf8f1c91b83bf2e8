package clients

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// segmentBytes is the size of TCP segments. Those of the loopback interface would let
	// the gateway's socket hold some MB of responses that are not read.
	segmentBytes = 1400
	// socketBufferBytes is the size of the callers' socket buffers.
	socketBufferBytes = 32 << 10
	// routeOpenTime is the time over which connections to a route are opened. Bodies that
	// all grow at once displace each other, so that some memory remains free.
	routeOpenTime = 2 * time.Second
	// settleTime is how long callers have to send what they send.
	settleTime = 6 * time.Second
	// readTime is how long the gateway has afterwards to read it.
	readTime = time.Second
	// dripInterval is the pause of slow callers after each byte.
	dripInterval = 100 * time.Millisecond
)

// target is an address of the gateway and a path there.
type target struct {
	port   int
	method string
	path   string
}

// caller is one connection of a crowd.
type caller struct {
	net.Conn
	target
	n     int // number within the crowd
	conns int // size of the crowd
	id    string
	sizes []int // sizes of bodies, in descending order
}

// crowd is a group of callers that stay connected until the end of the test.
type crowd struct {
	g        *gateway
	ctx      context.Context // ends with the crowd
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	sent     sync.WaitGroup // callers that are still sending
	mu       sync.Mutex
	statuses map[string]int // of the responses that were read, by request ID
}

func newCrowd(g *gateway) *crowd {
	c := &crowd{g: g, statuses: make(map[string]int)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// close closes all connections.
func (c *crowd) close() {
	c.cancel()
	c.wg.Wait()
}

// open opens connections to a target, spread over a time.
func (c *crowd) open(conns int, over time.Duration, to target, k kind, sizes []int) {
	c.sent.Add(conns)
	c.wg.Go(func() {
		for n := range conns {
			who := &caller{target: to, n: n, conns: conns, id: fmt.Sprintf("crowd-%d-%d", to.port, n), sizes: sizes}
			c.wg.Go(func() { c.run(who, k) })
			time.Sleep(over / time.Duration(conns))
		}
	})
}

// run opens a connection, on which the caller sends and another goroutine receives.
func (c *crowd) run(who *caller, k kind) {
	defer c.sent.Done()
	conn, err := dial(c.ctx, c.g.address(who.port))
	if err != nil {
		return // refusing it is allowed
	}
	who.Conn = conn
	context.AfterFunc(c.ctx, func() { conn.Close() })
	c.wg.Go(func() { k.receive(c, who) })
	_ = k.send(who) // the gateway may close the connection
}

// settle waits until all callers have sent what they send, but no longer than settleTime. It
// returns the largest number of descriptors of the gateway meanwhile.
func (c *crowd) settle() int {
	sent := make(chan struct{})
	c.wg.Go(func() {
		c.sent.Wait()
		close(sent)
	})
	end := time.After(settleTime)
	for peak := 0; ; time.Sleep(20 * time.Millisecond) {
		peak = max(peak, c.g.descriptors())
		select {
		case <-sent:
			time.Sleep(readTime)
			return max(peak, c.g.descriptors())
		case <-end:
			return max(peak, c.g.descriptors())
		default:
		}
	}
}

// dial connects with small socket buffers and segments.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var optErr error
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		err := raw.Control(func(fd uintptr) {
			for _, o := range []struct{ level, name, value int }{
				{syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes},
				{syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes},
				{syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes},
			} {
				if err := syscall.SetsockoptInt(int(fd), o.level, o.name, o.value); err != nil {
					optErr = err
				}
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// readStatus reads one response and records its status.
func readStatus(c *crowd, who *caller) {
	resp, err := http.ReadResponse(bufio.NewReader(who), nil)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[who.id] = resp.StatusCode
}

// readNothing lets the responses stay in the socket buffers.
func readNothing(*crowd, *caller) {}

// readSlowly reads a byte at a time.
func readSlowly(_ *crowd, who *caller) {
	for b := make([]byte, 1); ; time.Sleep(dripInterval) {
		if _, err := who.Read(b); err != nil {
			return
		}
	}
}

// write sends text.
func (c *caller) write(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// head returns a request head without the empty line at its end.
func (c *caller) head(fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-0\r\nCassialatch-Attempt-Id: %s\r\n%s",
		c.method, c.path, host, c.id, fields)
}

// size returns the size of the caller's body. The first half of a crowd has the sizes in their
// order, the second half has the last one, so that small bodies take what large ones leave.
func (c *caller) size() int {
	return c.sizes[min(2*c.n*len(c.sizes)/c.conns, len(c.sizes)-1)]
}

// late reports whether the caller belongs to the second half of the crowd.
func (c *caller) late() bool { return c.n >= c.conns/2 }

// filler is the content of all bodies.
var filler = strings.Repeat("x", maxBodyBytes)

const (
	pieceBytes = 1 << 10  // of bodies in small pieces
	chunkBytes = 16 << 10 // of chunked bodies
	// aboveBytes is the size of bodies far above the limit.
	aboveBytes = 16 * maxBodyBytes
	// headFieldBytes is the size of the fields of a head. The gateway's limit for heads is
	// 64 KiB.
	headFieldBytes = 62 << 10
	// longValueBytes is the size of the values of fewer than 512 fields of that size.
	longValueBytes = 120
	// pipelineRequests is how many requests are sent in one write.
	pipelineRequests = 32
)

// sendWhole sends a body in one piece and stops before its last byte.
func sendWhole(c *caller) error {
	size := c.size()
	return c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", size)) + filler[:size-1])
}

// sendPieces sends a body in small pieces and stops before its last byte.
func sendPieces(c *caller) error {
	size := c.size()
	if err := c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", size))); err != nil {
		return err
	}
	for left := size - 1; left > 0; left -= pieceBytes {
		if err := c.write(filler[:min(left, pieceBytes)]); err != nil {
			return err
		}
	}
	return nil
}

// sendChunked sends a body in chunks and stops before its last chunk.
func sendChunked(c *caller) error { return c.sendChunks(c.size()) }

// sendChunks sends chunks of size bytes in total, without the last chunk.
func (c *caller) sendChunks(size int) error {
	if err := c.write(c.head("Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return err
	}
	for left := size; left > 0; left -= chunkBytes {
		n := min(left, chunkBytes)
		if err := c.write(fmt.Sprintf("%x\r\n%s\r\n", n, filler[:n])); err != nil {
			return err
		}
	}
	return nil
}

// sendAboveDeclared states a size far above the limit. The first half of the callers stop
// where a body within the limit would, the others send all of it.
func sendAboveDeclared(c *caller) error {
	if err := c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", aboveBytes))); err != nil {
		return err
	}
	if !c.late() {
		return c.write(filler[:c.size()-1])
	}
	for range aboveBytes / maxBodyBytes {
		if err := c.write(filler); err != nil {
			return err
		}
	}
	return nil
}

// sendAboveChunked does the same in chunks.
func sendAboveChunked(c *caller) error {
	if !c.late() {
		return c.sendChunks(c.size() - 1)
	}
	return c.sendChunks(aboveBytes)
}

// shortFields and longerFields are many fields of a head, no two of one name.
var (
	shortFields  = headFields("")
	longerFields = headFields(strings.Repeat("x", longValueBytes))
)

func headFields(value string) string {
	var b strings.Builder
	for n := 0; b.Len() < headFieldBytes; n++ {
		fmt.Fprintf(&b, "%x:%s\r\n", n, value)
	}
	return b.String()
}

// fields returns the fields of the caller's head: the shortest ones, or for every second
// caller fewer than a limit on the number of lines would stop.
func (c *caller) fields() string {
	if c.n%2 == 0 {
		return shortFields
	}
	return longerFields
}

// sendHead sends a complete head of many fields, and a body that stops before its last
// byte, so that the request does not end.
func sendHead(c *caller) error {
	return c.write(c.head(c.fields() + "Content-Length: 2\r\n\r\nx"))
}

// sendHeadIncomplete does not send the empty line at the end of the head.
func sendHeadIncomplete(c *caller) error { return c.write(c.head(c.fields())) }

// sendPipelined sends requests until the connection is closed.
func sendPipelined(c *caller) error {
	requests := strings.Repeat(c.head("Content-Length: 0\r\n\r\n"), pipelineRequests)
	for {
		if err := c.write(requests); err != nil {
			return err
		}
	}
}

// sendSlowly sends a byte at a time: a head, or every second caller a body.
func sendSlowly(c *caller) error {
	text := c.head("")
	if c.n%2 == 0 {
		if err := c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", ordinaryBodyBytes))); err != nil {
			return err
		}
		text = filler[:ordinaryBodyBytes-1]
	}
	for i := range text {
		if err := c.write(text[i : i+1]); err != nil {
			return err
		}
		time.Sleep(dripInterval)
	}
	return nil
}

// checkNotRun checks that what was refused as not run has not run.
func (c *crowd) checkNotRun(t *testing.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.statuses {
		switch status {
		case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if runs := c.g.ledger.Runs(id); len(runs) > 0 {
				t.Errorf("request %s got status %d and was run", id, status)
			}
		}
	}
}
