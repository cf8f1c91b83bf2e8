package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/member"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

const peerTimeout = 3 * time.Second

// zones are the availability zones of the fleet. The engine is in the first one,
// so one third of the daemons share its zone.
var zones = []string{"bergen-a", "bergen-b", "voss-c"}

// vmList returns a VM list with n daemons, d0, d1 and so on, spread over the zones
// in turn, and an engine in the first zone.
func vmList(version uint64, n int) *platformapi.VMList {
	l := &platformapi.VMList{Version: version, VMs: []platformapi.VM{
		{ID: "engine", Role: platformapi.RoleBackend, Zone: zones[0]},
	}}
	for i := range n {
		l.VMs = append(l.VMs, platformapi.VM{ID: fmt.Sprint("d", i), Role: platformapi.RoleEntry, Zone: zones[i%len(zones)]})
	}
	return l
}

// newDirectory returns the Directory of the daemon self. Its clock returns *now.
func newDirectory(self string, now *time.Time) *member.Directory {
	options := member.Options{Self: &peerpb.Identity{Id: self}, PeerTimeout: peerTimeout}
	return member.NewDirectory(options, func() time.Time { return *now })
}

func TestLenders_SameForAllDaemonsAndSameZoneFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := newDirectory("d0", &now), newDirectory("d1", &now)
	shuffled := vmList(1, 18)
	slices.Reverse(shuffled.VMs)
	a.SetVMList(vmList(1, 18))
	b.SetVMList(shuffled)
	a.RecordMessage(&peerpb.Identity{Id: "d3"}, true) // a message does not affect the result

	lenders := a.Lenders("engine")
	is.Equal(lenders, b.Lenders("engine"))
	is.Equal(len(lenders), member.MaxLenders)
	for i, id := range lenders {
		daemon, _ := a.Daemon(id)
		is.Equal(daemon.Zone == zones[0], i < 6) // 6 of the 18 daemons are in the engine's zone
	}
	is.Equal(len(a.Lenders("no such server")), 0)
}

func TestHome_FirstLenderAliveAndNotDraining(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	d := newDirectory("watcher", &now)
	d.SetVMList(vmList(1, 9))
	lenders := d.Lenders("engine")
	home := func() string { daemon, _ := d.Home("engine"); return daemon.ID }

	is.Equal(home(), "") // no message was received
	for _, id := range lenders {
		d.RecordMessage(&peerpb.Identity{Id: id}, false)
	}
	is.Equal(home(), lenders[0])
	d.RecordMessage(&peerpb.Identity{Id: lenders[0]}, true) // draining
	is.Equal(home(), lenders[1])
	now = now.Add(peerTimeout)
	is.Equal(home(), "") // all timed out
	d.RecordMessage(&peerpb.Identity{Id: lenders[4]}, false)
	d.RecordMessage(&peerpb.Identity{Id: "unlisted"}, false)
	is.Equal(home(), lenders[4])
}

func TestSetVMList_IgnoresStaleList(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	d := newDirectory("d0", &now)
	is.True(d.SetVMList(vmList(3, 3)))
	lenders := d.Lenders("engine")
	for _, stale := range []uint64{3, 2, 0} {
		is.True(!d.SetVMList(vmList(stale, 9)))
	}
	is.Equal(d.VMListVersion(), uint64(3))
	is.Equal(d.Lenders("engine"), lenders)
	is.True(d.SetVMList(vmList(4, 9)))
	is.Equal(len(d.Lenders("engine")), 9)
}
