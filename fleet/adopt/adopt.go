// Package adopt decides which versions of the configuration documents a daemon
// adopts. A document is adopted if its version is higher than the adopted one and
// the document is valid by itself, without regard to the other document. The
// configuration in force is a pure function of the adopted documents. So daemons
// that received the same documents, in any order, have the same configuration,
// and a version never decreases.
package adopt

import (
	"sync"
	"sync/atomic"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/wire/platformapi"
)

// Rejection describes a document that was not adopted because it is invalid.
type Rejection struct {
	Version uint64
	Reason  error
}

// DocumentState is the state of one configuration document.
type DocumentState struct {
	Name     string
	Version  uint64     // adopted version; zero if none
	Body     string     // of the adopted version
	Rejected *Rejection // highest rejected version above Version; nil if none
}

// Adopter holds the base document and the overlay of one site. It is safe for
// concurrent use.
type Adopter struct {
	overlayName string
	onChange    func(*dynamic.Config)

	current atomic.Pointer[dynamic.Config]

	mu           sync.Mutex
	base         *dynamic.Base
	overlay      *dynamic.Overlay
	baseState    DocumentState
	overlayState DocumentState
}

// New returns an Adopter for a site. onChange is called with each configuration
// that comes into force, one call at a time. It must not call methods of the
// Adopter that lock it, that is, Offer and Documents.
func New(site string, onChange func(*dynamic.Config)) *Adopter {
	overlayName := platformapi.DocumentSitePrefix + site
	return &Adopter{
		overlayName:  overlayName,
		onChange:     onChange,
		baseState:    DocumentState{Name: platformapi.DocumentBase},
		overlayState: DocumentState{Name: overlayName},
	}
}

// DocumentNames returns the names of the documents that apply to the site, base
// first.
func (a *Adopter) DocumentNames() []string {
	return []string{platformapi.DocumentBase, a.overlayName}
}

// Config returns the configuration in force. It is nil until a base document is
// adopted.
func (a *Adopter) Config() *dynamic.Config { return a.current.Load() }

// Offer adopts a document from the platform or from a peer if it is newer and
// valid. It returns the adopted version afterwards, or 0 for a document that does
// not apply to the site. An older or invalid document does not change the
// configuration.
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

// offerBaseLocked is Offer for a base document. The caller holds a.mu.
func (a *Adopter) offerBaseLocked(doc *platformapi.Document) uint64 {
	if doc.Version <= a.baseState.Version {
		return a.baseState.Version
	}
	base, err := dynamic.ParseBase(doc.Name, []byte(doc.Body))
	if err != nil {
		a.baseState.reject(doc.Version, err)
		return a.baseState.Version
	}
	base.Version = doc.Version
	a.base = base
	a.baseState.adopt(doc)
	a.mergeLocked()
	return doc.Version
}

// offerOverlayLocked is Offer for an overlay. The caller holds a.mu.
func (a *Adopter) offerOverlayLocked(doc *platformapi.Document) uint64 {
	if doc.Version <= a.overlayState.Version {
		return a.overlayState.Version
	}
	overlay, err := dynamic.ParseOverlay(doc.Name, []byte(doc.Body))
	if err != nil {
		a.overlayState.reject(doc.Version, err)
		return a.overlayState.Version
	}
	overlay.Version = doc.Version
	a.overlay = overlay
	a.overlayState.adopt(doc)
	a.mergeLocked()
	return doc.Version
}

// mergeLocked merges the adopted documents and puts the result into force. The
// caller holds a.mu.
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
	return []DocumentState{a.baseState, a.overlayState}
}

// adopt records an adopted document.
func (d *DocumentState) adopt(doc *platformapi.Document) {
	d.Version = doc.Version
	d.Body = doc.Body
	if d.Rejected != nil && d.Rejected.Version <= doc.Version {
		d.Rejected = nil
	}
}

// reject records an invalid document.
func (d *DocumentState) reject(version uint64, reason error) {
	if d.Rejected == nil || version > d.Rejected.Version {
		d.Rejected = &Rejection{Version: version, Reason: reason}
	}
}
