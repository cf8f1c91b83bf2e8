// Package platform reads and watches the platform: configuration documents
// and the VM list.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/wire/platformapi"
)

// Errors of reads.
var (
	ErrNotFound    = errors.New("platform: no such document")
	ErrNotModified = errors.New("platform: nothing newer")
)

// StatusError is an answer with an unexpected HTTP status.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform %s: status %d", e.Address, e.Status)
}

// maxReplyBytes bounds one reply: a document with its JSON escapes.
const maxReplyBytes = 4 * platformapi.MaxBodyBytes

// Options configure a Client.
type Options struct {
	Addresses []string      // host:port, tried in turn
	WatchWait time.Duration // how long one watch waits
	Timeout   time.Duration // for one read, beyond the wait
	HTTP      *http.Client
}

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	opts Options
	next atomic.Uint32 // index of the address to use; moves on after a failure
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	return &Client{opts: opts}
}

// Document reads one document at once.
func (c *Client) Document(ctx context.Context, name string) (*platformapi.Document, error) {
	var doc platformapi.Document
	err := c.get(ctx, "/v1/documents/"+name, nil, c.opts.Timeout, &doc)
	return &doc, err
}

// WatchDocument waits for a version above after. It returns ErrNotModified
// when none came within the wait.
func (c *Client) WatchDocument(ctx context.Context, name string, after uint64) (*platformapi.Document, error) {
	var doc platformapi.Document
	err := c.get(ctx, "/v1/documents/"+name, c.watch(after), c.opts.WatchWait+c.opts.Timeout, &doc)
	return &doc, err
}

// VMs reads the VM list at once.
func (c *Client) VMs(ctx context.Context) (*platformapi.VMList, error) {
	var list platformapi.VMList
	err := c.get(ctx, "/v1/vms", nil, c.opts.Timeout, &list)
	return &list, err
}

// WatchVMs waits for a list above version after.
func (c *Client) WatchVMs(ctx context.Context, after uint64) (*platformapi.VMList, error) {
	var list platformapi.VMList
	err := c.get(ctx, "/v1/vms", c.watch(after), c.opts.WatchWait+c.opts.Timeout, &list)
	return &list, err
}

// watch returns the query of a watch.
func (c *Client) watch(after uint64) url.Values {
	return url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.opts.WatchWait.Milliseconds(), 10)},
	}
}

// get reads one resource into out from the address in use. After a failure
// the next call uses the next address.
func (c *Client) get(ctx context.Context, path string, query url.Values, timeout time.Duration, out any) error {
	at := c.next.Load()
	address := c.opts.Addresses[int(at)%len(c.opts.Addresses)]
	err := c.getFrom(ctx, address, path, query, timeout, out)
	if err != nil && !errors.Is(err, ErrNotModified) && !errors.Is(err, ErrNotFound) {
		c.next.CompareAndSwap(at, at+1)
	}
	return err
}

// getFrom reads one resource from one address.
func (c *Client) getFrom(ctx context.Context, address, path string, query url.Values, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "platform: request")
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "platform: read")
	}
	defer resp.Body.Close()

	switch resp.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out)
		return errors.Wrap(err, "platform: decode")
	case http.StatusNotModified:
		return ErrNotModified
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return &StatusError{Address: address, Status: resp.StatusCode}
	}
}
