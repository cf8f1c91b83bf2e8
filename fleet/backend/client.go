// Package backend is the HTTP client for backend servers. For each call it
// reports whether the response was complete, the request did not run, or its
// outcome is unknown.
//
// A call fails with the outcome "not run" only if no byte of it was written to
// a connection. A call that is not idempotent is sent at most once. A stream
// counts as complete only if it ends with the engine's final event.
//
// A Client is safe for concurrent use.
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
	"cassialatch.dev/wire/httpvalid"
)

// Limits of connections to backend servers.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	maxIdlePerServer  = 64
	maxHeaderBytes    = 64 << 10 // of a response, with those of interim (1xx) responses
	maxReportBytes    = 64 << 10
	orderTimeout      = 10 * time.Second
	responseBufferLen = 16 << 10 // of a response that is not streamed
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
	RequestID  string // a response that echoes another ID is rejected
}

// Sink receives a response while it arrives. An error from a method ends the
// call.
type Sink interface {
	// Head receives the status and headers. It is called once, before Data.
	Head(status int, header http.Header) error
	// Data receives the next bytes of the body. It must not retain p.
	Data(p []byte) error
}

// Result describes a response. It is complete only if Do returned no error.
type Result struct {
	Status    int
	Bytes     uint64
	FirstData time.Duration // from the start of the call to the first data
	LastData  time.Duration // from the start of the call to the last data
	Events    int           // number of server-sent events with data, 0 if not streamed
	Usage     engineapi.Usage
	Instance  string // the engine's process instance; empty if not reported
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	pooled  httpvalid.Transport // idempotent calls
	single  httpvalid.Transport // other calls: one connection for each, so that none is sent twice
	control *http.Client        // load reports and orders
}

// NewClient returns a Client. If wrapControl is not nil, it wraps each connection
// for load reports and orders, to count the bytes on it.
func NewClient(wrapControl func(net.Conn) net.Conn) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:            countingDial(dialer),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// http.Transport retries a request by itself only if it was sent on a reused
	// connection. Without keep-alive, a call that is not idempotent is sent once.
	single := &http.Transport{
		DialContext:            countingDial(dialer),
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	control := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err == nil && wrapControl != nil {
				conn = wrapControl(conn)
			}
			return conn, err
		},
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{
		pooled:  httpvalid.Transport{Transport: pooled},
		single:  httpvalid.Transport{Transport: single},
		control: &http.Client{Transport: httpvalid.Transport{Transport: control}, CheckRedirect: noRedirect},
	}
}

// noRedirect is a CheckRedirect function that returns a redirect as the response.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Do sends one call and forwards the response to sink while it arrives. Every
// error is an *outcome.Error.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) (Result, error) {
	trace := &writeTrace{}
	req, err := newRequest(trace.attach(ctx), call)
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
		return Result{}, sendError(ctx, err, trace.wrote())
	}
	defer resp.Body.Close()

	result := Result{Status: resp.StatusCode, Instance: resp.Header.Get(engineapi.HeaderInstance)}
	if err := checkResponse(call, resp); err != nil {
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

// sendError returns the typed error of a call that ended without a response.
// wrote reports whether any byte of the request may have been sent.
func sendError(ctx context.Context, err error, wrote bool) *outcome.Error {
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

// checkResponse rejects a response that echoes another request ID or whose
// status is not final.
func checkResponse(call Call, resp *http.Response) error {
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

// Report fetches the load report of the backend server at address (host:port). It
// returns a StatusError, a ReportError or, if the server sent no complete response,
// another error.
func (c *Client) Report(ctx context.Context, address string) (engineapi.LoadReport, error) {
	var report engineapi.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return report, errors.Wrap(err, "backend: create load report request")
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return report, errors.Wrap(err, "backend: get load report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, &StatusError{Address: address, Status: resp.StatusCode}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReportBytes))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return report, errors.Wrap(err, "backend: read load report")
	}
	if err == nil {
		err = httpvalid.DecodeJSON(bytes.NewReader(body), &report)
	}
	if err != nil {
		return engineapi.LoadReport{}, &ReportError{Address: address, Cause: err}
	}
	return report, nil
}

// Order sends an order to the model engine at address (host:port).
func (c *Client) Order(ctx context.Context, address string, order engineapi.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "backend: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "backend: create order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.control.Do(req)
	if err != nil {
		return errors.Wrap(err, "backend: send order")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Address: address, Status: resp.StatusCode}
	}
	return nil
}

// StatusError reports an unexpected HTTP status in the response to a load report
// request or an order.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend: server %s responded with status %d", e.Address, e.Status)
}

// ReportError reports that a load report can't be decoded or is too large.
type ReportError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("backend: load report of server %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Cause }

// HasResponded reports whether err is a StatusError or a ReportError, which means
// that the backend server is reachable.
func HasResponded(err error) bool {
	var status *StatusError
	var report *ReportError
	return errors.As(err, &status) || errors.As(err, &report)
}

// IsNotFound reports whether err is a StatusError with status 404, which means
// that the backend server provides no load reports.
func IsNotFound(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}
