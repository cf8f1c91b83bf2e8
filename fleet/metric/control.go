package metric

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"cassialatch.dev/wire/operatorapi"
)

// HedgeResult is the result of a hedged request.
type HedgeResult string

// Results of hedged requests.
const (
	HedgeWon  HedgeResult = "won"  // the second copy responded first
	HedgeLost HedgeResult = "lost" // the first copy responded first, or neither responded
)

// control holds the metrics without workspace and class labels.
type control struct {
	root        tally.Scope
	leasesHeld  tally.Gauge
	leasesLent  tally.Gauge
	homes       tally.Gauge
	quarantined tally.Gauge
	retries     tally.Counter
	hedges      map[HedgeResult]tally.Counter

	mu   sync.Mutex
	last map[string]operatorapi.Traffic // totals that are already added to the counters, by kind
}

func newControl(root tally.Scope) *control {
	hedge := func(r HedgeResult) tally.Counter {
		return root.Tagged(map[string]string{"result": string(r)}).Counter("hedges_total")
	}
	return &control{
		root:        root,
		leasesHeld:  root.Gauge("leases_held"),
		leasesLent:  root.Gauge("leases_lent"),
		homes:       root.Gauge("homes"),
		quarantined: root.Gauge("quarantined"),
		retries:     root.Counter("retries_total"),
		hedges:      map[HedgeResult]tally.Counter{HedgeWon: hedge(HedgeWon), HedgeLost: hedge(HedgeLost)},
		last:        make(map[string]operatorapi.Traffic),
	}
}

// SetLeasesHeld sets the number of leases on shares of load limits that
// this daemon holds.
func (m *Metrics) SetLeasesHeld(n int) { m.control.leasesHeld.Update(float64(n)) }

// SetLeasesLent sets the number of leases that this daemon has granted.
func (m *Metrics) SetLeasesLent(n int) { m.control.leasesLent.Update(float64(n)) }

// SetHomes sets the number of backend servers whose home is this daemon.
func (m *Metrics) SetHomes(n int) { m.control.homes.Update(float64(n)) }

// SetQuarantined sets the number of request fingerprints that are refused.
func (m *Metrics) SetQuarantined(n int) { m.control.quarantined.Update(float64(n)) }

// RecordRetry counts a request sent to another backend server after a failure.
func (m *Metrics) RecordRetry() { m.control.retries.Inc(1) }

// RecordHedge counts a hedged request: one that was also sent to a second backend
// server.
func (m *Metrics) RecordHedge(r HedgeResult) {
	if c, ok := m.control.hedges[r]; ok {
		c.Inc(1)
	}
}

// RecordControlTraffic updates the counters of control traffic from a snapshot of
// the totals since the start, as returned by traffic.Meter. It must be called
// periodically.
func (m *Metrics) RecordControlTraffic(snapshot []operatorapi.Traffic) {
	c := m.control
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, now := range snapshot {
		last := c.last[now.Kind]
		kind := c.root.Tagged(map[string]string{tagKind: now.Kind})
		addIncrease(kind.Tagged(map[string]string{tagDirection: "sent"}).Counter("control_bytes_total"), last.SentBytes, now.SentBytes)
		addIncrease(kind.Tagged(map[string]string{tagDirection: "read"}).Counter("control_bytes_total"), last.ReadBytes, now.ReadBytes)
		addIncrease(kind.Counter("control_deferred_total"), last.Deferred, now.Deferred)
		kind.Gauge("control_bytes_per_second").Update(now.BytesPerSecond)
		c.last[now.Kind] = now
	}
}

// addIncrease adds the increase of a total to its counter.
func addIncrease(c tally.Counter, from, to uint64) {
	if to > from {
		c.Inc(int64(to - from))
	}
}
