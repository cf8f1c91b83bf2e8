// Package member tracks the daemons and backend servers of a site. It combines
// the published VM list, which may be out of date, with the messages received
// from peers.
package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// MaxLenders is the maximum number of lenders of one backend server.
const MaxLenders = 9

// Daemon is a daemon of the VM list with its last known state. The local daemon is
// always alive.
type Daemon struct {
	platformapi.VM
	Incarnation uint64
	LastSeen    time.Time // receipt of its last message; zero if none
	Alive       bool      // LastSeen is less than Options.PeerTimeout ago
	Draining    bool
}

// Server is a backend server of the VM list.
type Server struct {
	platformapi.VM
}

// peerState is the content of the last message from a daemon.
type peerState struct {
	incarnation uint64
	lastSeen    time.Time
	draining    bool
}

// Options configure a Directory.
type Options struct {
	Self        *peerpb.Identity
	Site        string
	PeerTimeout time.Duration // a peer without a message for this long is considered down
}

// Directory is a daemon's view of the members of its site. It is safe for
// concurrent use.
type Directory struct {
	opts Options
	now  func() time.Time

	mu       sync.RWMutex
	version  uint64
	daemons  map[string]platformapi.VM // entry VMs of the site, by ID
	servers  map[string]platformapi.VM // backend servers of the site, by ID
	sorted   map[string][]Server       // backend servers by service, and all under ""
	lenders  map[string][]string       // lenders by backend server, computed from the current list
	peers    map[string]peerState
	draining bool // this daemon itself
}

// NewDirectory returns a Directory without a VM list.
func NewDirectory(opts Options, now func() time.Time) *Directory {
	return &Directory{
		opts:    opts,
		now:     now,
		daemons: make(map[string]platformapi.VM),
		servers: make(map[string]platformapi.VM),
		lenders: make(map[string][]string),
		peers:   make(map[string]peerState),
	}
}

// SetVMList replaces the VM list if the given one is newer, and reports whether
// it is. A list that is not newer, such as one from a stale platform replica, is
// ignored.
func (d *Directory) SetVMList(list *platformapi.VMList) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Version <= d.version {
		return false
	}
	d.version = list.Version
	d.daemons = make(map[string]platformapi.VM)
	d.servers = make(map[string]platformapi.VM)
	d.lenders = make(map[string][]string)
	for _, vm := range list.VMs {
		d.addLocked(vm)
	}
	d.sorted = sortServers(d.servers)
	return true
}

// sortServers returns the backend servers of each service, and all backend
// servers under "", each list sorted by ID.
func sortServers(servers map[string]platformapi.VM) map[string][]Server {
	sorted := make(map[string][]Server)
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		server := Server{VM: servers[id]}
		sorted[""] = append(sorted[""], server)
		if server.Service != "" {
			sorted[server.Service] = append(sorted[server.Service], server)
		}
	}
	return sorted
}

// addLocked adds a VM if it belongs to the site. The caller holds d.mu.
func (d *Directory) addLocked(vm platformapi.VM) {
	if vm.Site != d.opts.Site {
		return
	}
	switch vm.Role {
	case platformapi.RoleEntry:
		d.daemons[vm.ID] = vm
	case platformapi.RoleBackend:
		d.servers[vm.ID] = vm
	}
}

// VMListVersion returns the version of the VM list in use, or zero if there is
// none.
func (d *Directory) VMListVersion() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// RecordMessage records that a message from a peer was received and whether the
// peer is draining.
func (d *Directory) RecordMessage(from *peerpb.Identity, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[from.Id] = peerState{
		incarnation: from.Incarnation,
		lastSeen:    d.now(),
		draining:    draining,
	}
}

// SetDraining marks this daemon as draining. This cannot be undone.
func (d *Directory) SetDraining() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
}

// Draining reports whether this daemon is draining.
func (d *Directory) Draining() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.draining
}

// Daemon returns a daemon of the VM list by ID.
func (d *Directory) Daemon(id string) (Daemon, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	vm, ok := d.daemons[id]
	if !ok {
		return Daemon{}, false
	}
	return d.daemonLocked(vm), true
}

// daemonLocked combines a daemon of the VM list with its last known state. The
// caller holds d.mu.
func (d *Directory) daemonLocked(vm platformapi.VM) Daemon {
	if vm.ID == d.opts.Self.Id {
		return Daemon{VM: vm, Incarnation: d.opts.Self.Incarnation, LastSeen: d.now(), Alive: true, Draining: d.draining}
	}
	peer, found := d.peers[vm.ID]
	if !found {
		return Daemon{VM: vm}
	}
	return Daemon{
		VM:          vm,
		Incarnation: peer.incarnation,
		LastSeen:    peer.lastSeen,
		Alive:       d.now().Sub(peer.lastSeen) < d.opts.PeerTimeout,
		Draining:    peer.draining || vm.State == platformapi.StateLeaving,
	}
}

// PeerDown reports whether the daemon with the given peer address is in the VM
// list and not alive. It returns false for an address that is not in the list,
// because it may belong to a daemon of an older list.
func (d *Directory) PeerDown(peerAddress string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, vm := range d.daemons {
		if vm.Peer == peerAddress {
			return !d.daemonLocked(vm).Alive
		}
	}
	return false
}

// Daemons returns all daemons of the VM list, sorted by ID.
func (d *Directory) Daemons() []Daemon {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]Daemon, 0, len(d.daemons))
	for _, vm := range d.daemons {
		all = append(all, d.daemonLocked(vm))
	}
	slices.SortFunc(all, func(a, b Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Server returns a backend server of the VM list by ID.
func (d *Directory) Server(id string) (Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	vm, ok := d.servers[id]
	return Server{VM: vm}, ok
}

// Servers returns the backend servers of a service, or of all services if service
// is empty, sorted by ID. Callers must not modify the slice. A newer VM list does
// not change slices returned before.
func (d *Directory) Servers(service string) []Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.sorted[service]
}

// Lenders returns the IDs of the lenders of a backend server, at most MaxLenders,
// in the order of precedence for being its home. The result depends only on the
// VM list: daemons of the server's availability zone come first, then the others,
// each part in rendezvous order. Callers must not modify the slice.
func (d *Directory) Lenders(backend string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lendersLocked(backend)
}

// lendersLocked computes and caches the lenders of a backend server. The caller
// holds d.mu.
func (d *Directory) lendersLocked(backend string) []string {
	if lenders, ok := d.lenders[backend]; ok {
		return lenders
	}
	server, ok := d.servers[backend]
	if !ok {
		return nil
	}
	var sameZone, otherZones []string
	for id, vm := range d.daemons {
		if vm.Zone == server.Zone {
			sameZone = append(sameZone, id)
		} else {
			otherZones = append(otherZones, id)
		}
	}
	lenders := append(placement.RendezvousOrder(backend, sameZone), placement.RendezvousOrder(backend, otherZones)...)
	lenders = lenders[:min(len(lenders), MaxLenders)]
	d.lenders[backend] = lenders
	return lenders
}

// Home returns the home of a backend server in this daemon's view: the first of
// its lenders that is alive and not draining. Views of other daemons may differ.
func (d *Directory) Home(backend string) (Daemon, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.lendersLocked(backend) {
		daemon := d.daemonLocked(d.daemons[id])
		if daemon.Alive && !daemon.Draining {
			return daemon, true
		}
	}
	return Daemon{}, false
}
