package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// respondRaw returns a script that sends the bytes, in which ID stands for the ID of the
// request, and closes its side of the connection.
func respondRaw(response string) func(*backend, *http.Request, net.Conn) {
	return func(_ *backend, req *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", req.Header.Get("Id")))
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

// checkBroken checks what callers get if a server sends the bytes, which are no sound response:
// 502 without anything of them where the request may not be repeated, and the response of
// another server where it may be.
func checkBroken(t *testing.T, response string) {
	is := is.New(t)
	broken := startBackend(t, respondRaw(response))
	f := newFixture(t, broken)
	for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x"} {
		resp, body, err := f.do(t, path)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get("Signature"), "")
		is.Equal(body, "")
	}
	for _, rec := range f.records.wait(3) {
		is.Equal(rec.Outcome, OutcomeUnknown) // the server may have run it
		is.Equal(rec.Attempts[0].Reason, ReasonConnectionBroken)
		is.True(rec.Attempts[0].Detail != "")
	}
	f = newFixture(t, broken, startBackend(t, respondOK))
	for before := broken.runs.Load(); broken.runs.Load() == before; {
		resp, body, err := f.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "fine")
	}
}

// soundHead is the head of a response without its end.
const soundHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: x\r\n"

// Guards against a response with a status that HTTP does not have, which callers took for the
// server's response.
func TestHandler_InvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "-00", "+99", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 "+status+" Odd\r\nId: ID\r\nSignature: x\r\nContent-Length: 4\r\n\r\nfine")
		})
	}
}

// Guards against a response in whose head the name of a field has a blank or a control byte:
// callers got it without the field, or with a body that ended elsewhere.
func TestHandler_MalformedFieldNameIsNoResponse(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\nfine"
	for name, response := range map[string]string{
		"blank":                  soundHead + "X Y: 1\r\n" + end,
		"blank at the end":       soundHead + "X : 1\r\n" + end,
		"blank at the start":     soundHead + " X: 1\r\n" + end,
		"tab":                    soundHead + "X\t: 1\r\n" + end,
		"tab at the start":       soundHead + "\tX: 1\r\n" + end,
		"control byte":           soundHead + "X\x01: 1\r\n" + end,
		"NUL":                    soundHead + "X\x00Y: 1\r\n" + end,
		"DEL":                    soundHead + "X\x7f: 1\r\n" + end,
		"carriage return":        soundHead + "X\rY: 1\r\n" + end,
		"no name":                soundHead + ": 1\r\n" + end,
		"length":                 soundHead + "Content-Length : 4\r\n\r\nfine and more",
		"encoding":               soundHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"informational response": "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + soundHead + end,
		"trailer":                soundHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX Y: 1\r\n\r\n",
		"trailer, control byte":  soundHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX\x01: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, response) })
	}
}

// Guards against a response that does not state the end of its body as HTTP/1.1 does: callers
// got bytes of its framing, or one of two possible bodies.
func TestHandler_AmbiguousFramingIsNoResponse(t *testing.T) {
	const fields = "Id: ID\r\nSignature: x\r\n"
	const chunks = "\r\n4\r\nfine\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"chunks in HTTP/1.0":  "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n" + chunks,
		"encoding and length": soundHead + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" + chunks,
		"length and encoding": soundHead + "content-length: 19\r\ntransfer-encoding: chunked\r\n" + chunks,
		"two lengths":         soundHead + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nfine",
		"list of lengths":     soundHead + "Content-Length: 4, 4\r\n\r\nfine",
		"negative length":     soundHead + "Content-Length: -4\r\n\r\nfine",
		"signed length":       soundHead + "Content-Length: +4\r\n\r\nfine",
		"empty length":        soundHead + "Content-Length: \r\n\r\nfine",
		"unknown encoding":    soundHead + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
		"two encodings":       soundHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"HTTP/2.0":            "HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
		"HTTP/0.9":            "HTTP/0.9 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nfine",
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, response) })
	}
}
