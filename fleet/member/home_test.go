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

// zones of a fleet of two far daemons for each near one.
var zones = []string{"bergen-a", "bergen-b", "voss-c"}

// list returns a VM list with daemons d0 to dn, in turn in each zone, and an
// engine in the first.
func list(version uint64, n int) *platformapi.VMList {
	l := &platformapi.VMList{Version: version, VMs: []platformapi.VM{
		{ID: "engine", Role: platformapi.RoleBackend, Zone: zones[0]},
	}}
	for i := range n {
		l.VMs = append(l.VMs, platformapi.VM{ID: fmt.Sprint("d", i), Role: platformapi.RoleEntry, Zone: zones[i%len(zones)]})
	}
	return l
}

// directory returns what one daemon takes for the fleet, by a clock that stands
// still until the test moves it.
func directory(self string, now *time.Time) *member.Directory {
	options := member.Options{Self: &peerpb.Identity{Id: self}, PeerTimeout: peerTimeout}
	return member.NewDirectory(options, func() time.Time { return *now })
}

func TestGroupIsTheSameForAllAndNearDaemonsComeFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	a, b := directory("d0", &now), directory("d1", &now)
	shuffled := list(1, 18)
	slices.Reverse(shuffled.VMs)
	a.SetVMList(list(1, 18))
	b.SetVMList(shuffled)
	a.RecordMessage(&peerpb.Identity{Id: "d3"}, true) // what was heard has no part in it

	group := a.Lenders("engine")
	is.Equal(group, b.Lenders("engine"))
	is.Equal(len(group), member.MaxLenders)
	for place, id := range group {
		daemon, _ := a.Daemon(id)
		is.Equal(daemon.Zone == zones[0], place < 6) // six of the 18 are near
	}
	is.Equal(len(a.Lenders("no such server")), 0)
}

func TestHomeIsTheFirstOfTheGroupThatLivesAndStays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	d := directory("watcher", &now)
	d.SetVMList(list(1, 9))
	group := d.Lenders("engine")
	home := func() string { taken, _ := d.Home("engine"); return taken.ID }

	is.Equal(home(), "") // nobody was heard
	for _, id := range group {
		d.RecordMessage(&peerpb.Identity{Id: id}, false)
	}
	is.Equal(home(), group[0])
	d.RecordMessage(&peerpb.Identity{Id: group[0]}, true) // drains
	is.Equal(home(), group[1])
	now = now.Add(peerTimeout)
	is.Equal(home(), "") // all silent
	d.RecordMessage(&peerpb.Identity{Id: group[4]}, false)
	d.RecordMessage(&peerpb.Identity{Id: "stranger"}, false)
	is.Equal(home(), group[4])
}

func TestStaleListIsIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	d := directory("d0", &now)
	is.True(d.SetVMList(list(3, 3)))
	group := d.Lenders("engine")
	for _, stale := range []uint64{3, 2, 0} {
		is.True(!d.SetVMList(list(stale, 9)))
	}
	is.Equal(d.VMListVersion(), uint64(3))
	is.Equal(d.Lenders("engine"), group)
	is.True(d.SetVMList(list(4, 9)))
	is.Equal(len(d.Lenders("engine")), 9)
}
