// Package backend calls backend servers over HTTP and tells, for each call,
// whether it was answered whole, did not run, or has an unknown outcome.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/outcome"
	"cassialatch.dev/wire/engineapi"
)

// Limits of connections to backend servers.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	maxIdlePerServer  = 64
	maxReportBytes    = 64 << 10
	orderTimeout      = 10 * time.Second
	responseBufferLen = 16 << 10 // of an answer that is not streamed
	streamBufferLen   = 4 << 10
)

// Call is one request to one backend server.
type Call struct {
	Address    string // host:port
	Method     string
	Path       string // with query
	Header     http.Header
	Body       []byte
	Idempotent bool
	RequestID  string // must be echoed by a server that echoes any
}

// Sink takes an answer as it comes. Its errors end the call.
type Sink interface {
	// Head takes the status and headers, once, before any data.
	Head(status int, header http.Header) error
	// Data takes the next bytes, which are only valid during the call.
	Data(p []byte) error
}

// Result is what is known of a whole answer.
type Result struct {
	Status    int
	Bytes     uint64
	FirstData time.Duration // from the start of the call to the first data
	LastData  time.Duration
	Events    int // of a stream
	Usage     engineapi.Usage
	Instance  string // the engine's process instance, when it tells
}

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport // idempotent calls
	single *http.Transport // others: a connection each, so nothing is sent twice
	direct *http.Client    // load reports and orders
}

// NewClient returns a Client. countReports wraps each connection for load
// reports and orders, to count its bytes; nil: none.
func NewClient(countReports func(net.Conn) net.Conn) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:         dial(dialer),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     idleConnTimeout,
	}
	// The transport repeats a request by itself only on a connection that it
	// used before. Without reuse a call that may not be repeated is sent once.
	single := &http.Transport{
		DialContext:        dial(dialer),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	reports := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil && countReports != nil {
				conn = countReports(conn)
			}
			return conn, err
		},
		IdleConnTimeout: idleConnTimeout,
	}
	return &Client{
		pooled: pooled,
		single: single,
		direct: &http.Client{Transport: reports},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
	c.direct.CloseIdleConnections()
}

// Do runs one call and passes the answer on as it comes. A failure is an
// *outcome.Error.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) (Result, error) {
	trace := &writeTrace{}
	req, err := newRequest(trace.context(ctx), call)
	if err != nil {
		return Result{}, outcome.NewNotRun(outcome.CodeBadRequest, "request cannot be sent").WithCause(err)
	}

	transport := c.single
	if call.Idempotent {
		transport = c.pooled
	}
	start := time.Now()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Result{}, sendFailure(ctx, err, trace.wrote())
	}
	defer resp.Body.Close()

	result := Result{Status: resp.StatusCode, Instance: resp.Header.Get(engineapi.HeaderInstance)}
	if err := checkAnswer(call, resp); err != nil {
		return result, err
	}
	if err := sink.Head(resp.StatusCode, resp.Header); err != nil {
		return result, outcome.NewUnknown(outcome.CodeCallerGone, "receiver went away").WithCause(err)
	}
	err = relay(ctx, resp, sink, start, &result)
	return result, err
}

// newRequest builds the HTTP request of a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	if call.RequestID != "" {
		req.Header.Set(outcome.HeaderRequestID, call.RequestID)
	}
	return req, nil
}

// sendFailure types a call that ended without an answer.
func sendFailure(ctx context.Context, err error, wrote bool) *outcome.Error {
	code := outcome.CodeBackendFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = outcome.CodeDeadlineExceeded
	case ctx.Err() != nil:
		code = outcome.CodeCallerGone
	}
	if !wrote {
		e := outcome.NewNotRun(code, "backend server was not reached").WithCause(err)
		e.Replan = code == outcome.CodeBackendFailed
		return e
	}
	return outcome.NewUnknown(code, "no answer from the backend server").WithCause(err)
}

// checkAnswer refuses an answer to another request or without a final status.
func checkAnswer(call Call, resp *http.Response) error {
	if !outcome.IsFinalStatus(resp.StatusCode) {
		message := fmt.Sprintf("backend server answered with status %d", resp.StatusCode)
		return outcome.NewUnknown(outcome.CodeBackendFailed, message)
	}
	echoed := resp.Header.Get(engineapi.HeaderRequestID)
	if call.RequestID == "" || echoed == "" || echoed == call.RequestID {
		return nil
	}
	message := fmt.Sprintf("answer to request %q came for %q", echoed, call.RequestID)
	return outcome.NewUnknown(outcome.CodeResponseMismatch, message)
}

// Report reads a backend server's load report.
func (c *Client) Report(ctx context.Context, address string) (engineapi.LoadReport, error) {
	var report engineapi.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return report, errors.Wrap(err, "backend: report request")
	}
	resp, err := c.direct.Do(req)
	if err != nil {
		return report, errors.Wrap(err, "backend: report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, &StatusError{Address: address, Status: resp.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report)
	return report, errors.Wrap(err, "backend: decode report")
}

// Order sends an order to a model engine.
func (c *Client) Order(ctx context.Context, address string, order engineapi.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "backend: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "backend: order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.direct.Do(req)
	if err != nil {
		return errors.Wrap(err, "backend: order")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Address: address, Status: resp.StatusCode}
	}
	return nil
}

// StatusError is an answer to a report call with an unexpected HTTP status.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s: status %d", e.Address, e.Status)
}

// IsStatusError reports whether err is an answer with an unexpected HTTP status, so
// that the backend server is there.
func IsStatusError(err error) bool {
	var status *StatusError
	return errors.As(err, &status)
}

// IsNotFound reports whether err says that the backend server has no reports.
func IsNotFound(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}
