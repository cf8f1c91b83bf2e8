package platform

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/wire/platformapi"
)

// snapshot holds the documents and the VM list at one time. Its map and slice are
// replaced, never modified.
type snapshot struct {
	documents map[string]platformapi.Document
	vms       platformapi.VMList
}

// store holds the published documents and the VM list. It is safe for concurrent
// use.
type store struct {
	vmLag time.Duration

	mu            sync.Mutex
	current       snapshot
	staleSnapshot *snapshot          // served while the platform is stale
	latestVMs     platformapi.VMList // readers see it after vmLag
	outage        bool
	changed       chan struct{} // closed and replaced at each change
}

func newStore(vmLag time.Duration) *store {
	return &store{
		vmLag:   vmLag,
		current: snapshot{documents: map[string]platformapi.Document{}},
		changed: make(chan struct{}),
	}
}

// view returns the snapshot that readers see, and a channel that is closed at the
// next change.
func (s *store) view() (snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSnapshot != nil {
		return *s.staleSnapshot, s.changed
	}
	return s.current, s.changed
}

func (s *store) inOutage() bool {
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
	if on && s.staleSnapshot == nil {
		frozen := s.current
		s.staleSnapshot = &frozen
	}
	if !on {
		s.staleSnapshot = nil
	}
	s.broadcast()
}

// putDocument publishes a document; for version 0, its version is the last one plus
// 1.
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

// setState changes the state of a VM. It reports false if the VM is not listed.
func (s *store) setState(id string, state platformapi.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.index(id)
	if i < 0 {
		return false
	}
	vms := slices.Clone(s.latestVMs.VMs)
	vms[i].State = state
	s.writeVMs(vms)
	return true
}

// removeVM removes a VM from the list. It reports false if the VM is not listed.
func (s *store) removeVM(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.index(id)
	if i < 0 {
		return false
	}
	s.writeVMs(slices.Delete(slices.Clone(s.latestVMs.VMs), i, i+1))
	return true
}

func (s *store) index(id string) int {
	return slices.IndexFunc(s.latestVMs.VMs, func(vm platformapi.VM) bool { return vm.ID == id })
}

// writeVMs sets the latest list. Readers see the first list immediately and later
// ones after vmLag. The caller must hold s.mu.
func (s *store) writeVMs(vms []platformapi.VM) {
	s.latestVMs = platformapi.VMList{Version: s.latestVMs.Version + 1, VMs: vms}
	list := s.latestVMs
	if s.vmLag <= 0 || list.Version == 1 {
		s.publishVMs(list)
		return
	}
	time.AfterFunc(s.vmLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publishVMs(list)
	})
}

func (s *store) publishVMs(list platformapi.VMList) {
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
