package heartbeat

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// listCache keeps the VM list in use for peers that ask for it.
type listCache struct {
	mu   sync.Mutex
	list *platformapi.VMList
}

// set keeps a list.
func (c *listCache) set(list *platformapi.VMList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil || list.Version > c.list.Version {
		c.list = list
	}
}

// document returns the list as a document.
func (c *listCache) document() (*peerpb.Document, error) {
	c.mu.Lock()
	list := c.list
	c.mu.Unlock()
	if list == nil {
		return nil, &UnknownDocumentError{Name: DocumentVMs}
	}
	body, err := json.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeat: encode VM list")
	}
	return &peerpb.Document{Name: DocumentVMs, Version: list.Version, Body: body}, nil
}

// askedPeers notes which peer addresses have been asked at least once, whether
// or not they answered.
type askedPeers struct {
	mu    sync.Mutex
	asked map[string]struct{}
}

// newAskedPeers returns an empty askedPeers.
func newAskedPeers() askedPeers {
	return askedPeers{asked: make(map[string]struct{})}
}

// note marks an address as asked.
func (a *askedPeers) note(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[address] = struct{}{}
}

// has reports whether an address was asked.
func (a *askedPeers) has(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.asked[address]
	return ok
}
