package router_test

import (
	"fmt"
	"testing"
	"time"

	"cassialatch.dev/fleet/loadtable"
	"cassialatch.dev/fleet/member"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/fleet/router"
	"cassialatch.dev/wire/peerpb"
	"cassialatch.dev/wire/platformapi"
)

// service is the only service of the benchmark's fleet.
const service = "bench-model"

// BenchmarkPlan measures one plan for fleets of different sizes. The load of all
// backend servers is known.
func BenchmarkPlan(b *testing.B) {
	for _, servers := range []int{10, 30, 200, 2000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r, _ := newRouter(servers)
			place := placement.Request{ChatKey: "skule/1", PromptTokens: 500}
			b.ReportAllocs()
			for b.Loop() {
				r.Plan(service, place)
			}
		})
	}
}

// BenchmarkPlanAfterHeartbeat measures one heartbeat from a home of six backend
// servers followed by one plan.
func BenchmarkPlanAfterHeartbeat(b *testing.B) {
	for _, servers := range []int{10, 30, 200, 2000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r, loads := newRouter(servers)
			place := placement.Request{ChatKey: "skule/1", PromptTokens: 500}
			seq := uint64(1)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				loads.Merge(loadsOf(6, seq))
				r.Plan(service, place)
			}
		})
	}
}

// newRouter returns a router with the given number of backend servers, the load of
// which is known, and its load table.
func newRouter(servers int) (*router.Router, *loadtable.Table) {
	directory := member.NewDirectory(member.Options{
		Self: &peerpb.Identity{Id: "entry-0"}, Site: "bench", PeerTimeout: time.Hour,
	}, time.Now)
	list := &platformapi.VMList{Version: 1}
	for i := range servers {
		list.VMs = append(list.VMs, platformapi.VM{
			ID: backendID(i), Role: platformapi.RoleBackend, State: platformapi.StateLive,
			Site: "bench", Zone: fmt.Sprintf("zone-%d", i%3), Service: service,
		})
	}
	directory.SetVMList(list)
	loads := loadtable.New(time.Hour, time.Now)
	loads.Merge(loadsOf(servers, 1))
	return router.New(router.Options{
		SelfID: "entry-0", Directory: directory, Loads: loads,
		Planner: placement.NewPlanner(placement.Options{}),
	}), loads
}

// loadsOf returns load reports for the first n backend servers.
func loadsOf(n int, seq uint64) []*peerpb.BackendLoad {
	loads := make([]*peerpb.BackendLoad, n)
	for i := range loads {
		loads[i] = &peerpb.BackendLoad{
			Backend: backendID(i), Home: "entry-0", Incarnation: 1, Seq: seq,
			InFlight: uint32(i % 8), Limit: 8, WeightPermille: 1000,
		}
	}
	return loads
}

// backendID returns the ID of the i-th backend server.
func backendID(i int) string { return fmt.Sprintf("engine-%04d", i) }
