package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/wire/engineapi"
)

// maxCacheEventBytes bounds what is read of one page of cache events. The rest
// of a longer page is left unread.
const maxCacheEventBytes = 8 << 10

// CachePage is the beginning of a page of cache events.
type CachePage struct {
	Events   []engineapi.CacheEvent
	More     bool   // the page went on
	Instance string // the engine's process instance, when it tells
}

// CacheEvents reads the cache events of a model engine after a number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CachePage, error) {
	var page CachePage
	url := fmt.Sprintf("http://%s/v1/cache-events?after=%d", address, after)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return page, errors.Wrap(err, "backend: cache events request")
	}
	resp, err := c.direct.Do(req)
	if err != nil {
		return page, errors.Wrap(err, "backend: cache events")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return page, &StatusError{Address: address, Status: resp.StatusCode}
	}
	page.Instance = resp.Header.Get(engineapi.HeaderInstance)
	body := io.LimitReader(resp.Body, maxCacheEventBytes)
	page.Events, err = decodeCacheEvents(json.NewDecoder(body))
	if errors.Is(err, io.ErrUnexpectedEOF) && len(page.Events) > 0 {
		page.More, err = true, nil
	}
	return page, errors.Wrap(err, "backend: decode cache events")
}

// decodeCacheEvents returns the events of a page as far as they can be read.
func decodeCacheEvents(decoder *json.Decoder) ([]engineapi.CacheEvent, error) {
	var events []engineapi.CacheEvent
	if _, err := decoder.Token(); err != nil { // the page's brace
		return nil, err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return events, err
		}
		if name != "events" {
			var other json.RawMessage
			if err := decoder.Decode(&other); err != nil {
				return events, err
			}
			continue
		}
		if events, err = decodeEventList(decoder); err != nil {
			return events, err
		}
	}
	return events, nil
}

// decodeEventList returns the events of a list as far as they can be read.
func decodeEventList(decoder *json.Decoder) ([]engineapi.CacheEvent, error) {
	var events []engineapi.CacheEvent
	if _, err := decoder.Token(); err != nil { // the list's bracket
		return nil, err
	}
	for decoder.More() {
		var event engineapi.CacheEvent
		if err := decoder.Decode(&event); err != nil {
			return events, cutShort(err)
		}
		events = append(events, event)
	}
	_, err := decoder.Token()
	return events, cutShort(err)
}

// cutShort takes an end of input within a list for an unexpected one.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
