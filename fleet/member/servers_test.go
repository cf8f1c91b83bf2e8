package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/member"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// engine returns the VM of a backend server.
func engine(id, service, site string) platformapi.VM {
	return platformapi.VM{ID: id, Role: platformapi.RoleBackend, Site: site, Service: service}
}

// ids returns the IDs of servers.
func ids(servers []member.Server) []string {
	var all []string
	for _, s := range servers {
		all = append(all, s.ID)
	}
	return all
}

func TestServers_SortedAndFromNewestList(t *testing.T) {
	is := is.New(t)
	d := member.NewDirectory(member.Options{Self: &peerpb.Identity{Id: "self"}, Site: "vestland"}, time.Now)
	is.Equal(len(d.Servers("")), 0)

	d.SetVMList(&platformapi.VMList{Version: 2, VMs: []platformapi.VM{
		engine("c", "klang", "vestland"), engine("a", "klang", "vestland"),
		engine("b", "arkiv", "vestland"), engine("x", "klang", "junin"),
	}})
	first := d.Servers("klang")
	is.Equal(ids(first), []string{"a", "c"})
	is.Equal(ids(d.Servers("")), []string{"a", "b", "c"})

	d.SetVMList(&platformapi.VMList{Version: 3, VMs: []platformapi.VM{engine("d", "klang", "vestland")}})
	is.Equal(ids(d.Servers("klang")), []string{"d"})
	is.Equal(len(d.Servers("arkiv")), 0)
	is.Equal(ids(first), []string{"a", "c"}) // slice of the older list, unchanged
}
