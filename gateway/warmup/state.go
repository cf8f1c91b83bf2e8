package warmup

import (
	"slices"
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

// SuspectTags is Suspect for the servers with the tags.
func (t *Table) SuspectTags(view *catalog.View, tags []uint32) {
	if view.Table == nil {
		return
	}
	for id, s := range view.Servers {
		if service := view.Table.Service(s.Service); service != nil && slices.Contains(tags, s.Tag()) {
			t.Suspect(id, LimitOf(service))
		}
	}
}
