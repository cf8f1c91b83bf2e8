// Package adopt decides which configuration documents a daemon holds. A
// document is adopted when its version is above the one held and it is valid
// by itself, whatever the order in which documents arrive; the configuration
// in force is a pure function of the documents held. So daemons that have
// heard the same documents have the same configuration, and none goes back.
package adopt

import (
	"sync"
	"sync/atomic"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/wire/platformapi"
)

// Rejection is a document that was not adopted because it is not valid.
type Rejection struct {
	Version uint64
	Reason  error
}

// DocumentState is a document that this daemon holds.
type DocumentState struct {
	Name     string
	Version  uint64 // zero: none
	Body     string
	Rejected *Rejection // the highest version refused above Version
}

// Adopter holds the base document and the overlay of one site.
type Adopter struct {
	overlayName string
	onChange    func(*dynamic.Config)

	current atomic.Pointer[dynamic.Config]

	mu         sync.Mutex
	base       *dynamic.Base
	overlay    *dynamic.Overlay
	baseDoc    DocumentState
	overlayDoc DocumentState
}

// New returns an Adopter for a site. onChange is called with each
// configuration that comes into force, one call at a time.
func New(site string, onChange func(*dynamic.Config)) *Adopter {
	overlayName := platformapi.DocumentSitePrefix + site
	return &Adopter{
		overlayName: overlayName,
		onChange:    onChange,
		baseDoc:     DocumentState{Name: platformapi.DocumentBase},
		overlayDoc:  DocumentState{Name: overlayName},
	}
}

// DocumentNames returns the names of the documents that matter here.
func (a *Adopter) DocumentNames() []string {
	return []string{platformapi.DocumentBase, a.overlayName}
}

// Config returns the configuration in force; nil before the first base
// document.
func (a *Adopter) Config() *dynamic.Config { return a.current.Load() }

// Offer takes a document from the platform or from a peer and returns the
// version held afterwards. An older or invalid document changes nothing.
func (a *Adopter) Offer(doc *platformapi.Document) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch doc.Name {
	case platformapi.DocumentBase:
		return a.offerBaseLocked(doc)
	case a.overlayName:
		return a.offerOverlayLocked(doc)
	default:
		return 0
	}
}

// offerBaseLocked adopts a base document. The caller holds a.mu.
func (a *Adopter) offerBaseLocked(doc *platformapi.Document) uint64 {
	if doc.Version <= a.baseDoc.Version {
		return a.baseDoc.Version
	}
	base, err := dynamic.ParseBase(doc.Name, []byte(doc.Body))
	if err != nil {
		a.baseDoc.refuse(doc.Version, err)
		return a.baseDoc.Version
	}
	base.Version = doc.Version
	a.base = base
	a.baseDoc.hold(doc)
	a.mergeLocked()
	return doc.Version
}

// offerOverlayLocked adopts an overlay. The caller holds a.mu.
func (a *Adopter) offerOverlayLocked(doc *platformapi.Document) uint64 {
	if doc.Version <= a.overlayDoc.Version {
		return a.overlayDoc.Version
	}
	overlay, err := dynamic.ParseOverlay(doc.Name, []byte(doc.Body))
	if err != nil {
		a.overlayDoc.refuse(doc.Version, err)
		return a.overlayDoc.Version
	}
	overlay.Version = doc.Version
	a.overlay = overlay
	a.overlayDoc.hold(doc)
	a.mergeLocked()
	return doc.Version
}

// mergeLocked puts the merge of the documents held into force. The caller
// holds a.mu.
func (a *Adopter) mergeLocked() {
	if a.base == nil {
		return
	}
	config := dynamic.Merge(a.base, a.overlay)
	a.current.Store(config)
	a.onChange(config)
}

// Documents returns the state of both documents, base first.
func (a *Adopter) Documents() []DocumentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return []DocumentState{a.baseDoc, a.overlayDoc}
}

// hold notes an adopted document.
func (h *DocumentState) hold(doc *platformapi.Document) {
	h.Version = doc.Version
	h.Body = doc.Body
	if h.Rejected != nil && h.Rejected.Version <= doc.Version {
		h.Rejected = nil
	}
}

// refuse notes a document that is not valid.
func (h *DocumentState) refuse(version uint64, reason error) {
	if h.Rejected == nil || version > h.Rejected.Version {
		h.Rejected = &Rejection{Version: version, Reason: reason}
	}
}
