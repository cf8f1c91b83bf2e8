package heartbeat_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassialatch.dev/wire/peerpb"
)

// Maximum numbers of entries in one response.
const (
	maxQuarantined = 32
	maxDocuments   = 3 // base, overlay and VM list
)

// FuzzHeartbeat checks that no heartbeat makes the daemon panic or lend a share to
// a daemon other than the home, and that responses stay within their bounds.
func FuzzHeartbeat(f *testing.F) {
	from := &peerpb.Identity{Id: "A", Incarnation: 1}
	for _, req := range []*peerpb.HeartbeatRequest{
		{From: from, Claims: []*peerpb.Claim{{Backend: "engine"}, {Backend: "engine"}, {Backend: "none"}}},
		{From: from, Released: []string{"engine", "none"}, Draining: true},
		{From: from, Loads: []*peerpb.BackendLoad{{Backend: "engine", Home: "A", InFlight: 3, PerTokenUs: 1, AgeMs: 1}}},
		{From: from, Quarantined: []*peerpb.Quarantined{{Fingerprint: 1, Crashes: 1, TtlMs: 1000}}},
		{From: &peerpb.Identity{}, Documents: []*peerpb.DocumentVersion{{Name: "base", Version: 9}}},
	} {
		encoded, err := proto.Marshal(req)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var req peerpb.HeartbeatRequest
		if proto.Unmarshal(message, &req) != nil {
			return
		}
		d := newDaemon(nil)
		d.OfferVMList(listOf(1, "A", "B"))
		resp, err := d.Heartbeat(t.Context(), &req)
		if err != nil {
			return
		}
		if len(resp.Grants) != len(req.Claims) || len(resp.Quarantined) > maxQuarantined || len(resp.Documents) > maxDocuments {
			t.Fatalf("response out of bounds: %v", resp)
		}
		for _, grant := range resp.Grants {
			duration := time.Duration(grant.DurationMs) * time.Millisecond
			home, _ := d.directory.Home(grant.Backend)
			if duration > leaseTime || duration > 0 && (home.ID != req.From.Id || grant.GroupSize == 0) {
				t.Fatalf("grant %v to %v", grant, req.From)
			}
		}
		if d.loads.Summaries(); len(d.loads.AllReports()) > len(req.Loads) {
			t.Fatalf("%d load reports stored, %d received", len(d.loads.AllReports()), len(req.Loads))
		}
	})
}
