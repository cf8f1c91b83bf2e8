package metric

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"cassialatch.dev/wire/operatorapi"
)

// HedgeResult tells which copy of a hedged request answered.
type HedgeResult string

// Results of hedges.
const (
	HedgeWon  HedgeResult = "won"  // the second copy answered first
	HedgeLost HedgeResult = "lost" // the first copy answered, or neither did
)

// control are the metrics of the daemon itself.
type control struct {
	root        tally.Scope
	leasesHeld  tally.Gauge
	leasesLent  tally.Gauge
	homes       tally.Gauge
	quarantined tally.Gauge
	retries     tally.Counter
	hedges      map[HedgeResult]tally.Counter

	mu   sync.Mutex
	last map[string]operatorapi.Traffic // totals already counted, by kind
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

// SetLeasesHeld sets the number of shares of limits lent to this daemon.
func (m *Metrics) SetLeasesHeld(n int) { m.control.leasesHeld.Update(float64(n)) }

// SetLeasesLent sets the number of shares that this daemon has lent.
func (m *Metrics) SetLeasesLent(n int) { m.control.leasesLent.Update(float64(n)) }

// SetHomes sets the number of backend servers that this daemon is home of.
func (m *Metrics) SetHomes(n int) { m.control.homes.Update(float64(n)) }

// SetQuarantined sets the number of request fingerprints that are refused.
func (m *Metrics) SetQuarantined(n int) { m.control.quarantined.Update(float64(n)) }

// RecordRetry counts a request sent to another backend server after a failure.
func (m *Metrics) RecordRetry() { m.control.retries.Inc(1) }

// RecordHedge counts a request sent to a second backend server as well.
func (m *Metrics) RecordHedge(r HedgeResult) {
	if c, ok := m.control.hedges[r]; ok {
		c.Inc(1)
	}
}

// RecordControlTraffic counts control traffic up to a snapshot of its totals since
// start, as traffic.Meter takes it. It is called now and then.
func (m *Metrics) RecordControlTraffic(snapshot []operatorapi.Traffic) {
	c := m.control
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, now := range snapshot {
		last := c.last[now.Kind]
		kind := c.root.Tagged(map[string]string{tagKind: now.Kind})
		grow(kind.Tagged(map[string]string{tagWay: "sent"}).Counter("control_bytes_total"), last.SentB, now.SentB)
		grow(kind.Tagged(map[string]string{tagWay: "read"}).Counter("control_bytes_total"), last.ReadB, now.ReadB)
		grow(kind.Counter("control_deferred_total"), last.Deferred, now.Deferred)
		kind.Gauge("control_bytes_per_second").Update(now.PerSec)
		c.last[now.Kind] = now
	}
}

// grow adds what a total has gained.
func grow(c tally.Counter, from, to uint64) {
	if to > from {
		c.Inc(int64(to - from))
	}
}
