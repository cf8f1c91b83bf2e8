// Package daemonclient is a client of the operator protocol, see package
// operatorapi. A Client is safe for concurrent use.
package daemonclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"cassialatch.dev/wire/httpvalid"
	"cassialatch.dev/wire/operatorapi"
)

const (
	callTimeout      = 10 * time.Second
	maxHeaderBytes   = 64 << 10 // of a response, with those of interim (1xx) responses
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 64 << 10
)

// codeUnknown is the code of a failed call whose response holds no
// operatorapi.Error.
const codeUnknown = "unknown"

// Client makes calls to one daemon.
type Client struct {
	address string
	scheme  string
	http    *http.Client
}

// Status returns the status of the daemon and its view of the fleet.
func (c *Client) Status(ctx context.Context) (*operatorapi.Status, error) {
	return call[operatorapi.Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Config returns the configuration in force on the daemon.
func (c *Client) Config(ctx context.Context) (*operatorapi.ConfigInForce, error) {
	return call[operatorapi.ConfigInForce](ctx, c, http.MethodGet, "/v1/config", nil)
}

// ExplainQuery describes a request whose placement is to be explained.
type ExplainQuery struct {
	Workspace string
	Model     string // optional; defaults to the workspace's first model
	Chat      string // optional chat token
}

// Explain returns the backend servers that the daemon would choose for a request,
// and why.
func (c *Client) Explain(ctx context.Context, r ExplainQuery) (*operatorapi.Explanation, error) {
	query := url.Values{"workspace": {r.Workspace}}
	if r.Model != "" {
		query.Set("model", r.Model)
	}
	if r.Chat != "" {
		query.Set("chat", r.Chat)
	}
	return call[operatorapi.Explanation](ctx, c, http.MethodGet, "/v1/explain", query)
}

// Drain starts a graceful shutdown: the daemon accepts no new requests and exits when
// the requests in flight have completed.
func (c *Client) Drain(ctx context.Context) (*operatorapi.DrainResponse, error) {
	return call[operatorapi.DrainResponse](ctx, c, http.MethodPost, "/v1/drain", nil)
}

// call makes one call and decodes the JSON of the response. The error is an
// UnreachableError, a StatusError or an InvalidResponseError.
func call[T any](ctx context.Context, c *Client, method, path string, query url.Values) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := url.URL{Scheme: c.scheme, Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, &UnreachableError{Address: c.address, cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{Address: c.address, cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return nil, newStatusError(resp)
	}
	body := new(T)
	if err := httpvalid.DecodeJSON(http.MaxBytesReader(nil, resp.Body, maxResponseBytes), body); err != nil {
		return nil, &InvalidResponseError{Path: path, cause: err}
	}
	return body, nil
}

// newStatusError returns the error for a response with a status other than 2xx.
func newStatusError(resp *http.Response) *StatusError {
	e := &StatusError{Status: resp.StatusCode, Code: codeUnknown, Message: http.StatusText(resp.StatusCode)}
	var body operatorapi.Error
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	if err == nil && body.Code != "" {
		e.Code, e.Message = body.Code, body.Message
	}
	return e
}
