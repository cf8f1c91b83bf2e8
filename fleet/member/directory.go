// Package member knows the daemons and backend servers of the fleet: the
// published VM list, which lags, and what was heard from peers since.
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

// MaxLenders is the largest number of lenders of one backend server.
const MaxLenders = 9

// Daemon is one published daemon and what was heard of it.
type Daemon struct {
	platformapi.VM
	Incarnation uint64
	LastSeen    time.Time // zero: never
	Alive       bool
	Draining    bool
}

// Server is one published backend server.
type Server struct {
	platformapi.VM
}

// peerState is what was heard of one daemon.
type peerState struct {
	incarnation uint64
	heard       time.Time
	draining    bool
}

// Options configure a Directory.
type Options struct {
	Self        *peerpb.Identity
	Site        string
	PeerTimeout time.Duration // a peer not heard for this long is taken as dead
}

// Directory is a daemon's view of the fleet. It is safe for concurrent use.
type Directory struct {
	opts Options
	now  func() time.Time

	mu       sync.RWMutex
	version  uint64
	daemons  map[string]platformapi.VM // entry VMs of the site
	servers  map[string]platformapi.VM // backend servers of the site
	sorted   map[string][]Server       // backend servers by service and, under "", all
	groups   map[string][]string       // lender groups of this list, by backend server
	peers    map[string]peerState
	draining bool // this daemon itself
}

// NewDirectory returns a Directory that knows nobody yet.
func NewDirectory(opts Options, now func() time.Time) *Directory {
	return &Directory{
		opts:    opts,
		now:     now,
		daemons: make(map[string]platformapi.VM),
		servers: make(map[string]platformapi.VM),
		groups:  make(map[string][]string),
		peers:   make(map[string]peerState),
	}
}

// SetVMList takes a newer VM list and reports whether it was newer. An older
// one, as a stale platform replica serves it, is ignored.
func (d *Directory) SetVMList(list *platformapi.VMList) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Version <= d.version {
		return false
	}
	d.version = list.Version
	d.daemons = make(map[string]platformapi.VM)
	d.servers = make(map[string]platformapi.VM)
	d.groups = make(map[string][]string)
	for _, vm := range list.VMs {
		d.addLocked(vm)
	}
	d.sorted = sortServers(d.servers)
	return true
}

// sortServers returns backend servers by service and, under "", all of them,
// each list sorted by id.
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

// addLocked files one VM of the site. The caller holds d.mu.
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

// VMListVersion returns the version of the VM list in use; zero: none yet.
func (d *Directory) VMListVersion() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.version
}

// RecordMessage notes a message from a peer.
func (d *Directory) RecordMessage(from *peerpb.Identity, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[from.Id] = peerState{
		incarnation: from.Incarnation,
		heard:       d.now(),
		draining:    draining,
	}
}

// SetDraining marks this daemon as draining.
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

// Daemon returns one published daemon.
func (d *Directory) Daemon(id string) (Daemon, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	vm, ok := d.daemons[id]
	if !ok {
		return Daemon{}, false
	}
	return d.daemonLocked(vm), true
}

// daemonLocked joins a published daemon with what was heard of it. The caller
// holds d.mu.
func (d *Directory) daemonLocked(vm platformapi.VM) Daemon {
	if vm.ID == d.opts.Self.Id {
		return Daemon{VM: vm, Incarnation: d.opts.Self.Incarnation, LastSeen: d.now(), Alive: true, Draining: d.draining}
	}
	peer, heard := d.peers[vm.ID]
	if !heard {
		return Daemon{VM: vm}
	}
	return Daemon{
		VM:          vm,
		Incarnation: peer.incarnation,
		LastSeen:    peer.heard,
		Alive:       d.now().Sub(peer.heard) < d.opts.PeerTimeout,
		Draining:    peer.draining || vm.State == platformapi.StateLeaving,
	}
}

// PeerDown reports whether the published daemon with a peer address is not heard.
// An address that is not published may belong to a daemon of an older list.
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

// Daemons returns all published daemons of the site, sorted by id.
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

// Server returns one published backend server.
func (d *Directory) Server(id string) (Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	vm, ok := d.servers[id]
	return Server{VM: vm}, ok
}

// Servers returns the published backend servers of a service, or of all
// services when it is empty, sorted by id. Callers must not change the slice,
// which stays as it is when a newer list comes.
func (d *Directory) Servers(service string) []Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.sorted[service]
}

// Lenders returns the lenders of a backend server, in the order in which they
// become its home. It depends on the VM list alone: daemons of the server's
// availability zone first, then the others, each in rendezvous order.
func (d *Directory) Lenders(backend string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groupLocked(backend)
}

// groupLocked computes and keeps a group. The caller holds d.mu.
func (d *Directory) groupLocked(backend string) []string {
	if group, ok := d.groups[backend]; ok {
		return group
	}
	server, ok := d.servers[backend]
	if !ok {
		return nil
	}
	var near, far []string
	for id, vm := range d.daemons {
		if vm.Zone == server.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	group := append(placement.RendezvousOrder(backend, near), placement.RendezvousOrder(backend, far)...)
	group = group[:min(len(group), MaxLenders)]
	d.groups[backend] = group
	return group
}

// Home returns the daemon that this one takes for the home of a backend
// server: the first of its group that is alive and not draining.
func (d *Directory) Home(backend string) (Daemon, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.groupLocked(backend) {
		daemon := d.daemonLocked(d.daemons[id])
		if daemon.Alive && !daemon.Draining {
			return daemon, true
		}
	}
	return Daemon{}, false
}
