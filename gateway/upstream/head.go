package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"

	"cassialatch.dev/gateway/memory"
	"cassialatch.dev/wire/httpvalid"
)

const (
	// maxHeadBytes is the maximum size of a response head with the informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of lines of a response head.
	maxHeadLines = 256
	// lineOverhead is how much memory a line of a head takes beside its bytes once it is
	// parsed.
	lineOverhead = 128
	// maxKeptHead is the size up to which the buffer for heads is kept with a connection.
	maxKeptHead = 2 << 10
)

// ErrHeadTooLarge is the cause of an Error if the response head is too large.
var ErrHeadTooLarge = errors.New("upstream: response head exceeds the size limit")

// readResponse reads the head of the next final response and skips informational
// (1xx) responses before it. All of these may have maxHeadBytes, beside what is in
// the buffer already. The limit does not apply to the body. What the head takes is added
// to m. A malformed head is an error, and malformed trailers are one when the body is read.
func (c *conn) readResponse(method string, m *memory.Account) (*http.Response, error) {
	c.readLimit = maxHeadBytes
	defer func() { c.readLimit = math.MaxInt64 }()
	for {
		if err := c.readHead(m); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httpvalid.CheckHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			httpvalid.CheckTrailers(resp)
			return resp, nil
		}
	}
}

// readHead reads the bytes of a response head up to the empty line, and lets the next reads
// return them. A head is parsed only when it is complete, as it takes much more memory then.
func (c *conn) readHead(m *memory.Account) error {
	c.head = c.head[:0]
	if cap(c.head) > maxKeptHead {
		c.head = nil
	}
	for lines, lineStart := 0, 0; ; {
		part, err := c.br.ReadSlice('\n')
		if memoryErr := m.Grow(2*int64(len(part)) + lineOverhead); memoryErr != nil {
			return memoryErr
		}
		c.head = append(c.head, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return headError(err, len(c.head))
		}
		if lines++; lines > maxHeadLines {
			return ErrHeadTooLarge
		}
		if line := c.head[lineStart:]; len(line) == 1 || len(line) == 2 && line[0] == '\r' {
			break
		}
		lineStart = len(c.head)
	}
	if err := httpvalid.CheckLines(c.head); err != nil {
		return err
	}
	rest, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	c.head = append(c.head, rest...)
	c.unparsed = c.head
	c.br.Reset(c)
	return nil
}

// headError returns the error for a head that ended after n bytes because of err.
func headError(err error, n int) error {
	if errors.Is(err, io.EOF) && n > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
