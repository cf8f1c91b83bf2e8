package warmup

import (
	"time"

	"cassialatch.dev/gateway/catalog"
)

// ObserveState records what a new state publishes about the servers of services that have
// a limit. It must be called before requests use the view.
func (t *Table) ObserveState(next *catalog.View) {
	if next.Table == nil {
		return
	}
	for id, s := range next.Servers {
		service := next.Table.Service(s.Service)
		if service == nil {
			continue
		}
		t.Observe(id, LimitOf(service), time.Duration(s.ColdRemaining)*time.Millisecond)
	}
}
