// Package rawserver simulates servers in trouble: it sends bytes that are no sound HTTP/1.1
// response, or ends connections in unusual ways. It is for tests of what reads responses.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// UnreadBytes is the size of a request body that exceeds the socket buffers of a connection, so
// that its write lasts until the server has read it or the connection ends.
const UnreadBytes = 6 << 20

// Start starts a server that reads the head of a request, responds with the bytes, passes the
// connection to end and closes it. It does so for one request on each connection, and stops at
// the end of the test. It returns its address, a host:port.
func Start(t testing.TB, response string, end func(c *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c.(*net.TCPConn), response, end)
		}
	}()
	return l.Addr().String()
}

// respond serves a connection.
func respond(c *net.TCPConn, response string, end func(c *net.TCPConn)) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, response); err == nil {
		end(c)
	}
}

// Close ends a connection at once.
func Close(*net.TCPConn) {}

// Reset ends a connection with a TCP reset.
func Reset(c *net.TCPConn) {
	// If SO_LINGER can't be set, the connection ends without a reset, and the test fails.
	_ = c.SetLinger(0)
	c.Close()
}

// ReadOn reads and drops what arrives until the client closes the connection.
func ReadOn(c *net.TCPConn) {
	_, _ = io.Copy(io.Discard, c) // a reset ends it, too
}

// Malformed returns responses that HTTP/1.1 does not allow, with a body if their status has one.
// That of the name "trailer" is malformed after its body.
func Malformed(body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	return map[string]string{
		"status 000":             "HTTP/1.1 000 Odd\r\n" + length,
		"status 101":             "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"version":                "HTTP/2.0 200 OK\r\n" + length,
		"blank in a field name":  ok + "X Y: 1\r\n" + length,
		"blank after the length": ok + "Content-Length : 1\r\n" + length,
		"informational response": "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + ok + length,
		"trailer":                ok + chunk + "X Y: 1\r\n\r\n",
	}
}

// Broken returns responses with a body that begins with the JSON value, and breaks off or goes
// on after it. They are to be used with Close.
func Broken(value string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	framed := func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(body), body)
	}
	return map[string]string{
		"length not reached": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", ok, len(value)+1, value),
		"no last chunk":      fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", ok, len(value), value),
		"second value":       framed(value + value),
		"other bytes":        framed(value + "\x00"),
		"second response":    ok + "\r\n" + value + ok + "\r\n" + value,
	}
}
