package node

import (
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/metric"
	"cassialatch.dev/outcome"
)

// observer adapts Metrics to the Observer interfaces of packages entry and home. It
// converts classes to strings, since package metric does not depend on package
// dynamic.
type observer struct {
	metrics *metric.Metrics
}

// QueueWait implements home.Observer.
func (o observer) QueueWait(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.RecordQueueWait(workspace, string(class), d)
}

// FirstToken implements entry.Observer.
func (o observer) FirstToken(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.RecordFirstToken(workspace, string(class), d)
}

// BetweenTokens implements entry.Observer.
func (o observer) BetweenTokens(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.RecordBetweenTokens(workspace, string(class), d)
}

// ResponseTime implements entry.Observer.
func (o observer) ResponseTime(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.RecordResponseTime(workspace, string(class), d)
}

// Outcome implements entry.Observer.
func (o observer) Outcome(workspace string, class dynamic.Class, result outcome.Outcome, code outcome.Code) {
	o.metrics.RecordOutcome(workspace, string(class), result, code)
}

// Hedge records the result of a hedged request. It is called as
// router.Options.OnHedge.
func (o observer) Hedge(won bool) {
	if won {
		o.metrics.RecordHedge(metric.HedgeWon)
		return
	}
	o.metrics.RecordHedge(metric.HedgeLost)
}
