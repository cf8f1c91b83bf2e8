package heartbeat

import (
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// vmListCache stores the VM list in use, for peers that fetch it. It is safe for
// concurrent use.
type vmListCache struct {
	mu   sync.Mutex
	list *platformapi.VMList
}

// set stores list unless the stored one is as new or newer.
func (c *vmListCache) set(list *platformapi.VMList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil || list.Version > c.list.Version {
		c.list = list
	}
}

// document returns the list as a JSON document, or an UnknownDocumentError if there
// is none.
func (c *vmListCache) document() (*peerpb.Document, error) {
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

// contactedPeers is the set of peer addresses to which at least one heartbeat was
// sent, whether or not it succeeded. It is safe for concurrent use.
type contactedPeers struct {
	mu        sync.Mutex
	addresses map[string]struct{}
}

// newContactedPeers returns an empty set.
func newContactedPeers() contactedPeers {
	return contactedPeers{addresses: make(map[string]struct{})}
}

// add adds an address.
func (c *contactedPeers) add(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[address] = struct{}{}
}

// contains reports whether the set contains an address.
func (c *contactedPeers) contains(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.addresses[address]
	return ok
}
