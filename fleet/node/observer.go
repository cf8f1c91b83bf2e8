package node

import (
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/metric"
	"cassialatch.dev/outcome"
)

// observer passes what the parts observe to the metrics, which know a class by
// its name only.
type observer struct {
	metrics *metric.Metrics
}

// QueueWait implements home.Observer.
func (o observer) QueueWait(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.QueueWait(workspace, string(class), d)
}

// FirstToken implements entry.Observer.
func (o observer) FirstToken(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.FirstToken(workspace, string(class), d)
}

// BetweenTokens implements entry.Observer.
func (o observer) BetweenTokens(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.BetweenTokens(workspace, string(class), d)
}

// Answer implements entry.Observer.
func (o observer) Answer(workspace string, class dynamic.Class, d time.Duration) {
	o.metrics.Answer(workspace, string(class), d)
}

// Outcome implements entry.Observer.
func (o observer) Outcome(workspace string, class dynamic.Class, result outcome.Outcome, code outcome.Code) {
	o.metrics.Outcome(workspace, string(class), result, code)
}

// Hedge hears how a hedged request went; see router.Options.
func (o observer) Hedge(won bool) {
	if won {
		o.metrics.Hedge(metric.HedgeWon)
		return
	}
	o.metrics.Hedge(metric.HedgeLost)
}
