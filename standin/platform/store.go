package platform

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/wire/platformapi"
)

// snapshot is what readers see at one moment. Its parts are never changed in
// place.
type snapshot struct {
	documents map[string]platformapi.Document
	vms       platformapi.VMList
}

// store holds the published documents and VM list.
type store struct {
	vmLag time.Duration

	mu      sync.Mutex
	current snapshot
	frozen  *snapshot          // served while the platform is stale
	written platformapi.VMList // newest list; readers see it after vmLag
	outage  bool
	changed chan struct{} // closed and replaced at each change
}

func newStore(vmLag time.Duration) *store {
	return &store{
		vmLag:   vmLag,
		current: snapshot{documents: map[string]platformapi.Document{}},
		changed: make(chan struct{}),
	}
}

// view returns what readers see now, and a channel closed at the next change.
func (s *store) view() (snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		return *s.frozen, s.changed
	}
	return s.current, s.changed
}

func (s *store) isOut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.broadcast()
}

func (s *store) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.frozen == nil {
		frozen := s.current
		s.frozen = &frozen
	}
	if !on {
		s.frozen = nil
	}
	s.broadcast()
}

// putDocument publishes a body; version 0 means one above the last.
func (s *store) putDocument(name, body string, version uint64) platformapi.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 {
		version = s.current.documents[name].Version + 1
	}
	doc := platformapi.Document{Name: name, Version: version, Body: body}
	documents := maps.Clone(s.current.documents)
	documents[name] = doc
	s.current.documents = documents
	s.broadcast()
	return doc
}

// putVMs replaces the VM list.
func (s *store) putVMs(vms []platformapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeVMs(slices.Clone(vms))
}

// setState changes the state of one VM and tells whether it is listed.
func (s *store) setState(id string, state platformapi.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.index(id)
	if i < 0 {
		return false
	}
	vms := slices.Clone(s.written.VMs)
	vms[i].State = state
	s.writeVMs(vms)
	return true
}

// removeVM takes one VM off the list and tells whether it was listed.
func (s *store) removeVM(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.index(id)
	if i < 0 {
		return false
	}
	s.writeVMs(slices.Delete(slices.Clone(s.written.VMs), i, i+1))
	return true
}

func (s *store) index(id string) int {
	return slices.IndexFunc(s.written.VMs, func(vm platformapi.VM) bool { return vm.ID == id })
}

// writeVMs records a new list, which readers see after the lag. The first
// list is seen at once.
func (s *store) writeVMs(vms []platformapi.VM) {
	s.written = platformapi.VMList{Version: s.written.Version + 1, VMs: vms}
	list := s.written
	if s.vmLag <= 0 || list.Version == 1 {
		s.showVMs(list)
		return
	}
	time.AfterFunc(s.vmLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.showVMs(list)
	})
}

func (s *store) showVMs(list platformapi.VMList) {
	if list.Version <= s.current.vms.Version {
		return
	}
	s.current.vms = list
	s.broadcast()
}

func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}
