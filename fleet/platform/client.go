// Package platform reads and watches the documents that the platform serves: the
// configuration documents and the VM list.
//
// Client makes single reads and long polls. Watcher uses a Client to keep a Sink
// up to date. Both are safe for concurrent use.
package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/wire/httpvalid"
	"cassialatch.dev/wire/platformapi"
)

// Results of reads that are not failures of the platform.
var (
	ErrNotFound    = errors.New("platform: no such document")
	ErrNotModified = errors.New("platform: no newer version")
)

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform %s: status %d", e.Address, e.Status)
}

// maxResponseBytes bounds the body of a response. It leaves room for a document
// of the largest size with its JSON escapes.
const maxResponseBytes = 4 * platformapi.MaxBodyBytes

// Options configure a Client.
type Options struct {
	Addresses []string      // host:port; used in turn, see Client
	WatchWait time.Duration // how long the platform may hold a watch open
	Timeout   time.Duration // for one read; for a watch in addition to WatchWait
	HTTP      *http.Client
}

// Client reads from the platform. It uses one address until a read fails and then
// switches to the next; it does not retry by itself. It is safe for concurrent
// use.
type Client struct {
	opts Options
	next atomic.Uint32 // index of the address in use, modulo the number of addresses
}

// NewClient returns a Client. opts must have at least one address and an HTTP
// client.
func NewClient(opts Options) *Client {
	return &Client{opts: opts}
}

// Document reads the current version of a document. It returns ErrNotFound if
// the platform has none.
func (c *Client) Document(ctx context.Context, name string) (*platformapi.Document, error) {
	var doc platformapi.Document
	err := c.get(ctx, "/v1/documents/"+name, nil, c.opts.Timeout, &doc)
	return &doc, err
}

// WatchDocument waits for a version of a document above after. It returns
// ErrNotModified if there is none within Options.WatchWait.
func (c *Client) WatchDocument(ctx context.Context, name string, after uint64) (*platformapi.Document, error) {
	var doc platformapi.Document
	err := c.get(ctx, "/v1/documents/"+name, c.watchQuery(after), c.opts.WatchWait+c.opts.Timeout, &doc)
	return &doc, err
}

// VMs reads the current VM list.
func (c *Client) VMs(ctx context.Context) (*platformapi.VMList, error) {
	var list platformapi.VMList
	err := c.get(ctx, "/v1/vms", nil, c.opts.Timeout, &list)
	return &list, err
}

// WatchVMs waits for a version of the VM list above after. It returns
// ErrNotModified if there is none within Options.WatchWait.
func (c *Client) WatchVMs(ctx context.Context, after uint64) (*platformapi.VMList, error) {
	var list platformapi.VMList
	err := c.get(ctx, "/v1/vms", c.watchQuery(after), c.opts.WatchWait+c.opts.Timeout, &list)
	return &list, err
}

// watchQuery returns the query parameters of a watch.
func (c *Client) watchQuery(after uint64) url.Values {
	return url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.opts.WatchWait.Milliseconds(), 10)},
	}
}

// get reads one resource from the address in use into out. After a failure it
// switches to the next address, unless a concurrent call has already done so.
func (c *Client) get(ctx context.Context, path string, query url.Values, timeout time.Duration, out any) error {
	index := c.next.Load()
	address := c.opts.Addresses[int(index)%len(c.opts.Addresses)]
	err := c.getFrom(ctx, address, path, query, timeout, out)
	if err != nil && !errors.Is(err, ErrNotModified) && !errors.Is(err, ErrNotFound) {
		c.next.CompareAndSwap(index, index+1)
	}
	return err
}

// getFrom reads one resource from one address into out.
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
		err = httpvalid.DecodeJSON(http.MaxBytesReader(nil, resp.Body, maxResponseBytes), out)
		return errors.Wrap(err, "platform: decode")
	case http.StatusNotModified:
		return ErrNotModified
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return &StatusError{Address: address, Status: resp.StatusCode}
	}
}
